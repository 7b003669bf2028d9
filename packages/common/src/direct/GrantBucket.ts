import type * as base from '../base/Types.js'

const MS_PER_S = 1000
/** Longest time between two updates that counts. A longer one means that the process stood still, and other nodes may have served its part meanwhile. */
export const MAX_STEP_MS = 300
/** Absorbs rounding errors of the accumulated grants. */
const EPSILON = 1e-6

/** Token bucket of a share of a customer's limit, which may change at any time. It starts empty, so a restart does not add grants. */
export class GrantBucket {
  private _grants = 0
  private _share = 0
  private _updatedAtMs: base.Millis

  constructor (private _maxCallsPerS: number, private _capacity: number, nowMs: base.Millis) {
    this._updatedAtMs = nowMs
  }

  /** Whole grants that can be taken. */
  public get available (): number {
    return Math.floor(this._grants + EPSILON)
  }

  public get capacity (): number {
    return Math.max(1, this._capacity * this._share)
  }

  public get callsPerS (): number {
    return this._maxCallsPerS * this._share
  }

  public setLimit (maxCallsPerS: number, capacity: number, nowMs: base.Millis): void {
    this.update(this._share, nowMs)
    this._maxCallsPerS = maxCallsPerS
    this._capacity = capacity
    this._grants = Math.min(this._grants, this.capacity)
  }

  /** Adds the grants of the time since the last update, and sets the share from now on. */
  public update (share: number, nowMs: base.Millis): void {
    const elapsedMs = Math.min(MAX_STEP_MS, Math.max(0, nowMs - this._updatedAtMs))
    this._updatedAtMs = Math.max(this._updatedAtMs, nowMs)
    this._grants += elapsedMs * this._maxCallsPerS * Math.min(this._share, share) / MS_PER_S
    this._share = share
    this._grants = Math.min(this._grants, this.capacity)
  }

  public take (count: number): number {
    const taken = Math.max(0, Math.min(count, this.available))
    this._grants -= taken
    return taken
  }

  public clear (): void {
    this._grants = 0
  }

  /** Time until it holds `count` grants; Infinity without a share. */
  public waitMs (count: number): base.Millis {
    const missing = count - this._grants
    return missing <= EPSILON ? 0 : this.callsPerS > 0 ? missing * MS_PER_S / this.callsPerS : Infinity
  }
}
