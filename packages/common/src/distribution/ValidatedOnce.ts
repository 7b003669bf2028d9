import type * as configServices from '../config/Services.js'
import type * as config from '../config/Types.js'
import * as results from 'ts-results-es'

type Validated = ReturnType<configServices.IConfigValidator['validate']>

/**
 * Remembers which documents were found valid. A document passes the delta, the fold and the enforcement, and each
 * validates it; documents are never changed, so the first verdict on an object holds.
 */
export class ValidatedOnce implements configServices.IConfigValidator {
  private readonly _inner: configServices.IConfigValidator
  private readonly _rulesOfValid = new WeakMap<object, number>()

  constructor (options: { readonly validator: configServices.IConfigValidator }) {
    this._inner = options.validator
  }

  public supports (rulesVersion: number): boolean {
    return this._inner.supports(rulesVersion)
  }

  public validate (document: unknown, rulesVersion: number): Validated {
    const isObject = typeof document === 'object' && document !== null
    if (isObject && this._rulesOfValid.get(document) === rulesVersion) return results.Ok(document as config.ConfigDocument)
    const validated = this._inner.validate(document, rulesVersion)
    if (validated.isOk()) this._rulesOfValid.set(validated.value, rulesVersion)
    return validated
  }
}
