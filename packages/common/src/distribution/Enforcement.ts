import * as emitter from '../base/Emitter.js'
import type * as base from '../base/Types.js'
import type * as configServices from '../config/Services.js'
import type * as config from '../config/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface EnforcementOptions {
  readonly validator: configServices.IConfigValidator
  /** Called with the reason when a state is refused, for the log. */
  readonly onRefused?: (version: number, reason: string) => void
}

/** Holds the state in force. It is replaced as a whole, and its version never decreases. */
export class Enforcement implements services.IEnforcement {
  public readonly onEnforced: base.IEvent<types.VersionEnforced>
  private readonly _options: EnforcementOptions
  private readonly _enforced = new emitter.Emitter<types.VersionEnforced>()
  private _current: config.AcceptedState | undefined
  private _floorVersion = 0

  constructor (options: EnforcementOptions) {
    this._options = options
    this.onEnforced = this._enforced.event
  }

  public get current (): config.AcceptedState | undefined {
    return this._current
  }

  public get floorVersion (): number {
    return this._floorVersion
  }

  public raiseFloor (version: number): void {
    this._floorVersion = Math.max(this._floorVersion, version)
  }

  public enforce (state: config.AcceptedState, nowMs: base.Millis): boolean {
    if (state.version <= (this._current?.version ?? 0)) return false
    if (state.version < this._floorVersion) return this._refuse(state, `version ${this._floorVersion} is known to be in force`)
    const validated = this._options.validator.validate(state.document, state.rulesVersion)
    if (validated.isErr()) return this._refuse(state, validated.error[0]?.message ?? 'document is invalid')
    this._current = { ...state, document: validated.value }
    this._floorVersion = state.version
    this._enforced.fire({ version: state.version, digest: state.digest, atMs: nowMs })
    return true
  }

  private _refuse (state: config.AcceptedState, reason: string): false {
    this._options.onRefused?.(state.version, reason)
    return false
  }
}
