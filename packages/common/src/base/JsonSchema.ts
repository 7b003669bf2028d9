/** Types and texts of JSON Schema checks. The checks themselves are generated ahead of time; see `docs/generated.md`. */
import type * as ajv from 'ajv'

export type SchemaError = ajv.ErrorObject

/** A compiled JSON Schema. After a call that returned false, `errors` holds the reasons. */
export interface Check<T = unknown> {
  (data: unknown): data is T
  errors?: SchemaError[] | null
}

/** Formats the errors of a failed check in one line, like `errorsText` of `ajv`. */
export function describeErrors (check: Check): string {
  const errors = check.errors ?? []
  if (errors.length === 0) return 'No errors'
  return errors.map(error => `data${error.instancePath} ${error.message}`).join(', ')
}
