import * as configSchema from '../config/ConfigSchema.js'
import type * as configServices from '../config/Services.js'
import type * as config from '../config/Types.js'

/** Number of earlier versions from which peers get a delta instead of the whole state. */
const MAX_STEPS = 32
/** If a patch would have more operations, the whole state is sent instead. */
const MAX_OPERATIONS = 512
/** Patches of several steps can be larger than the document, and peers refuse messages that are several times as large. */
const MAX_PATCH_BYTES = configSchema.MAX_DOCUMENT_BYTES

interface Step {
  readonly baseVersion: number
  readonly baseDigest: string
  readonly version: number
  readonly patch: readonly unknown[]
  /** Length of the patch as JSON. */
  readonly patchBytes: number
}

/**
 * Patches between the versions that this node has enforced. Old documents are not kept: the concatenated patches of
 * consecutive steps lead from any kept base to the current version.
 */
export class StateHistory {
  private _steps: Step[] = []

  constructor (private readonly _delta: configServices.IConfigDelta) {}

  /** Records the step to a newly enforced state. `delta` is the one from which the state was built, if any. */
  public add (previous: config.AcceptedState | undefined, next: config.AcceptedState, delta: config.ConfigDeltaMessage | undefined): void {
    if (previous === undefined) return
    const isOwnStep = delta?.baseVersion === previous.version && delta.version === next.version
    const patch = isOwnStep ? delta.patch : this._delta.make(previous, next).patch
    this._steps.push({ baseVersion: previous.version, baseDigest: previous.digest, version: next.version, patch, patchBytes: JSON.stringify(patch).length })
    if (this._steps.length > MAX_STEPS) this._steps.shift()
  }

  /** Delta from the base to the current state, if the base is among the kept versions. */
  public deltaFrom (baseVersion: number, baseDigest: string, current: config.AcceptedState): config.ConfigDeltaMessage | undefined {
    const first = this._steps.findIndex(step => step.baseVersion === baseVersion && step.baseDigest === baseDigest)
    if (first < 0) return undefined
    const steps = this._steps.slice(first)
    if (steps.reduce((sum, step) => sum + step.patchBytes, 0) > MAX_PATCH_BYTES) return undefined
    const patch = steps.flatMap(step => step.patch)
    if (patch.length > MAX_OPERATIONS) return undefined
    const { version, rulesVersion, digest, asOfOffset } = current
    return { version, rulesVersion, baseVersion, baseDigest, digest, patch, ...(asOfOffset === undefined ? {} : { asOfOffset }) }
  }

  /** Delta of the last step, if it led to the current state. */
  public lastDelta (current: config.AcceptedState): config.ConfigDeltaMessage | undefined {
    const last = this._steps.at(-1)
    if (last === undefined || last.version !== current.version) return undefined
    return this.deltaFrom(last.baseVersion, last.baseDigest, current)
  }
}
