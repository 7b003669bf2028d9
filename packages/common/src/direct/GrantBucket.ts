import * as slidingWindow from './SlidingWindow.js'
import type * as base from '../base/Types.js'

const MS_PER_S = 1000
/** Longest time between two updates that counts. A longer one means that the process stood still, and other nodes may have served its part meanwhile. */
export const MAX_STEP_MS = 300
/** Growth of the share up to which what was issued from it counts as known: a node that joins or comes back. */
const KNOWN_GROWTH = 1.1
/** Absorbs rounding errors of the accumulated grants. */
const EPSILON = 1e-6

/** Limit of a customer, as a bucket keeps it. */
export interface BucketLimit {
  readonly maxCallsPerS: number
  /** Grants that may be saved up. */
  readonly capacity: number
  /** Grants in each position of a window. More than `maxCallsPerS` fills into it: the burst comes back with each window. */
  readonly maxInWindow: number
  readonly windowMs: base.Millis
}

/**
 * Token bucket of a share of a customer's limit, which may change at any time. It starts empty and fills with the rate of the
 * limit, so a restart does not add grants. Once it knows what it has issued in a whole window it fills faster, up to the
 * number of grants in a window.
 */
export class GrantBucket {
  private _grants = 0
  private _share = 0
  /** Least share since the window began to count. */
  private _knownShare = 0
  private _updatedAtMs: base.Millis
  private _issued: slidingWindow.SlidingWindow
  /** Since when all that was issued is counted. */
  private _countedSinceMs: base.Millis

  constructor (private _limit: BucketLimit, nowMs: base.Millis) {
    this._updatedAtMs = nowMs
    this._countedSinceMs = nowMs
    this._issued = new slidingWindow.SlidingWindow(_limit.windowMs, nowMs)
  }

  /** Whole grants that can be taken. */
  public get available (): number {
    return Math.floor(Math.min(this._grants, this._leftInWindow) + EPSILON)
  }

  public get capacity (): number {
    return Math.max(1, this._limit.capacity * this._share)
  }

  public get callsPerS (): number {
    return this._fillPerS * this._share
  }

  public setLimit (limit: BucketLimit, nowMs: base.Millis): void {
    this.update(this._share, nowMs)
    this._limit = limit
    this._grants = Math.min(this._grants, this.capacity)
  }

  /** Adds the grants of the time since the last update, and sets the share from now on. */
  public update (share: number, nowMs: base.Millis): void {
    const passedMs = Math.max(0, nowMs - this._updatedAtMs)
    if (passedMs > MAX_STEP_MS) this._countedSinceMs = nowMs
    const elapsedMs = Math.min(MAX_STEP_MS, passedMs)
    this._updatedAtMs = Math.max(this._updatedAtMs, nowMs)
    this._grants += elapsedMs * this._fillPerS * Math.min(this._share, share) / MS_PER_S
    // What others have issued from the share that it gains is not known.
    this._knownShare = Math.min(this._knownShare, share)
    if (share > this._knownShare * KNOWN_GROWTH) {
      this._countedSinceMs = nowMs
      this._knownShare = share
    }
    this._share = share
    this._grants = Math.min(this._grants, this.capacity)
  }

  public take (count: number): number {
    const taken = Math.max(0, Math.min(count, this.available))
    this._grants -= taken
    this._issued.add(taken, this._updatedAtMs)
    return taken
  }

  public clear (): void {
    this._grants = 0
    this._countedSinceMs = this._updatedAtMs
  }

  /** Time until it holds `count` grants; Infinity without a share. */
  public waitMs (count: number): base.Millis {
    const missing = count - this._grants
    const leftMs = this._leftInWindow < count ? MS_PER_S / this.callsPerS : 0
    return Math.max(leftMs, missing <= EPSILON ? 0 : this.callsPerS > 0 ? missing * MS_PER_S / this.callsPerS : Infinity)
  }

  private get _fillPerS (): number {
    const { maxCallsPerS, maxInWindow, windowMs } = this._limit
    return this._updatedAtMs - this._countedSinceMs < windowMs ? maxCallsPerS : Math.max(maxCallsPerS, maxInWindow * MS_PER_S / windowMs)
  }

  private get _leftInWindow (): number {
    return Math.max(1, this._limit.maxInWindow * this._share) - this._issued.upperBound(this._updatedAtMs)
  }
}
