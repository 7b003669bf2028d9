import type * as configServices from '../config/Services.js'
import type * as config from '../config/Types.js'
import * as results from 'ts-results-es'

type Validated = ReturnType<configServices.IConfigValidator['validate']>

/**
 * Caches which documents are valid. The delta, the fold and the enforcement each validate a document; documents are
 * immutable, so a positive result holds for the object and rule set it was reached with.
 */
export class CachingValidator implements configServices.IConfigValidator {
  private readonly _inner: configServices.IConfigValidator
  private readonly _validRulesVersions = new WeakMap<object, number>()

  constructor (options: { readonly validator: configServices.IConfigValidator }) {
    this._inner = options.validator
  }

  public supports (rulesVersion: number): boolean {
    return this._inner.supports(rulesVersion)
  }

  public validate (document: unknown, rulesVersion: number): Validated {
    const isObject = typeof document === 'object' && document !== null
    if (isObject && this._validRulesVersions.get(document) === rulesVersion) return results.Ok(document as config.ConfigDocument)
    const validated = this._inner.validate(document, rulesVersion)
    if (validated.isOk()) this._validRulesVersions.set(validated.value, rulesVersion)
    return validated
  }
}
