/** Checks of decoded values. */

export function isNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

export function isWhole (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

export function isOptionalNumber (value: unknown): value is number | undefined {
  return value === undefined || isNumber(value)
}

export function isText (value: unknown): value is string {
  return typeof value === 'string'
}

export function isHeaders (value: unknown): value is string[] {
  return Array.isArray(value) && value.length % 2 === 0 && value.every(isText)
}

export function isBody (value: unknown): value is Uint8Array | null {
  return value === null || value instanceof Uint8Array
}
