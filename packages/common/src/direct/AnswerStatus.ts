/** Bounds of the statuses that a final answer may have. */
const MIN_FINAL = 200
const MAX_FINAL = 599

/** Whether a final answer may have the status. Statuses from 100 to 199 belong to interim answers. */
export function isFinal (status: number): boolean {
  return Number.isInteger(status) && status >= MIN_FINAL && status <= MAX_FINAL
}

/** Whether a final answer may follow one with the status. */
export function isInterim (status: number): boolean {
  return status >= 100 && status < MIN_FINAL
}
