import * as results from 'ts-results-es'
import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Services.js'
import type * as hostingTypes from '../hosting/Types.js'
import type * as membership from '../membership/Services.js'

/** Drain without a handover of keys, until `Lifecycle` is there. */
export class InterimLifecycle implements hosting.ILifecycle {
  public isDraining = false

  constructor (private readonly _membership: membership.IMembership, private readonly _host: hosting.IHostCalls) {}

  public beginDrain (nowMs: base.Millis): readonly hostingTypes.HostUpdate[] {
    if (this.isDraining) return []
    this.isDraining = true
    this._membership.setState('draining', nowMs)
    return this._host.beginDrain(nowMs)
  }

  public undrain (nowMs: base.Millis): results.Result<void, Error> {
    this.isDraining = false
    this._membership.setState('ready', nowMs)
    this._host.endDrain()
    return new results.Ok(undefined)
  }

  public canExit (nowMs: base.Millis): boolean {
    if (!this.isDraining || !this._host.isIdle) return false
    this._membership.setState('left', nowMs)
    return true
  }

  public receive (): void {}
  public logAppended (): void {}
  public tick (): void {}
}

/** Reads nothing, until `OwnershipLog` is there; keyed calls are refused. */
export class InterimOwnershipLog implements hosting.IOwnershipLog {
  public readonly isCaughtUp = true
  public tick (): void {}
  public logRead (): void {}
  public logAppended (): void {}
}
