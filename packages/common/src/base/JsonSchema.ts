import * as ajv from 'ajv'

/** A compiled JSON Schema. After a call that returned false, `errors` says why. */
export type Check = ajv.ValidateFunction

export type SchemaError = ajv.ErrorObject

/** Compiles JSON Schemas. The keyword `isBytes` accepts a `Uint8Array`. */
export class JsonSchema {
  private readonly _ajv: ajv.Ajv

  constructor (options: { readonly allErrors: boolean }) {
    this._ajv = new ajv.Ajv({ allErrors: options.allErrors })
    this._ajv.addKeyword({ keyword: 'isBytes', errors: false, validate: isBytes })
  }

  public compile (schema: Readonly<Record<string, unknown>>): Check {
    return this._ajv.compile(schema)
  }

  /** The errors of a failed check in one line. */
  public describe (check: Check): string {
    return this._ajv.errorsText(check.errors)
  }
}

function isBytes (_schema: unknown, data: unknown): boolean {
  return data instanceof Uint8Array
}
