const FIRST_FAILURE_STATUS = 500

/** Status with which a target sheds load. */
const SHEDDING_STATUS = 503

/** Whether the target refused the call because it is overloaded, which is no failure. */
export function isShedding (status: number): boolean {
  return status === SHEDDING_STATUS
}

/** Whether the target answered, but failed to serve the call. */
export function isFailure (status: number): boolean {
  return status >= FIRST_FAILURE_STATUS && !isShedding(status)
}

/** Whether the target served the call. */
export function isSuccess (status: number): boolean {
  return status < FIRST_FAILURE_STATUS
}
