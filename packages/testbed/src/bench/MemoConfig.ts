import * as digests from '@elmpost/common/base/Digest.js'
import type * as configServices from '@elmpost/common/config/Services.js'
import type * as config from '@elmpost/common/config/Types.js'
import * as results from 'ts-results-es'

type Applied = ReturnType<configServices.IConfigDelta['apply']>
type Validated = ReturnType<configServices.IConfigValidator['validate']>

/**
 * Validates each document once for all nodes of the benchmark process, because all get the same result.
 * The cost for a single node is measured separately, in `microFigures`.
 */
export class MemoValidator implements configServices.IConfigValidator {
  private readonly _valid = new WeakSet<object>()

  constructor (private readonly _inner: configServices.IConfigValidator) {}

  public supports (rulesVersion: number): boolean {
    return this._inner.supports(rulesVersion)
  }

  public validate (document: unknown, rulesVersion: number): Validated {
    if (typeof document === 'object' && document !== null && this._valid.has(document)) return results.Ok(document as config.ConfigDocument)
    const validated = this._inner.validate(document, rulesVersion)
    if (validated.isOk()) this._valid.add(validated.value)
    return validated
  }
}

/** Makes and applies each delta once for all nodes of the benchmark process. */
export class MemoDelta implements configServices.IConfigDelta {
  private readonly _made = new Map<string, config.ConfigDeltaMessage>()
  private readonly _applied = new Map<string, Applied>()

  constructor (private readonly _inner: configServices.IConfigDelta) {}

  public make (from: config.AcceptedState, to: config.AcceptedState): config.ConfigDeltaMessage {
    return memo(this._made, `${from.digest}/${to.digest}`, () => this._inner.make(from, to))
  }

  public apply (base: config.AcceptedState, delta: config.ConfigDeltaMessage): Applied {
    return memo(this._applied, `${base.digest}/${delta.baseDigest}/${delta.digest}/${delta.version}`, () => this._inner.apply(base, delta))
  }
}

/** Computes the digest of each document once. */
export class MemoDigest {
  private readonly _digests = new WeakMap<object, string>()

  public digestOf (document: config.ConfigDocument): string {
    const known = this._digests.get(document)
    if (known !== undefined) return known
    const digest = digests.digestJson(document)
    this._digests.set(document, digest)
    return digest
  }
}

function memo<T> (cache: Map<string, T>, key: string, make: () => T): T {
  const known = cache.get(key)
  if (known !== undefined) return known
  const value = make()
  cache.set(key, value)
  return value
}
