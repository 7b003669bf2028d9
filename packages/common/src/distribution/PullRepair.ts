import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as memberTypes from '../membership/Types.js'

const PULL_TIMEOUT_MS = 1_000
/** Upper bound of the random delay before a pull, which leaves time for a push that is probably on its way. */
const PULL_DELAY_MS: Readonly<Record<config.DistributionPreference, base.Millis>> = { 'convergence-time': 100, 'control-bytes': 400 }
const MAX_CANDIDATES = 8

export interface PullRepairOptions {
  readonly random: base.IRandom
  readonly preference: () => config.DistributionPreference
  /** Whether the peer has something that this node lacks. */
  readonly isAhead: (peer: memberTypes.PeerVersion) => boolean
  /** Sends a pull. `wantsWhole`: asks for the whole state, because a delta could not be applied. */
  readonly pull: (to: base.NodeId, wantsWhole: boolean) => void
}

/** Pulls from peers that are ahead, one peer at a time. */
export class PullRepair {
  private readonly _options: PullRepairOptions
  private readonly _candidates = new Map<base.NodeId, memberTypes.PeerVersion>()
  private _outstanding: { readonly to: base.NodeId, readonly deadlineMs: base.Millis } | undefined
  private _nextAtMs = 0
  private _wantsWhole = false

  constructor (options: PullRepairOptions) {
    this._options = options
  }

  /** Handles the versions that a peer reported. */
  public handlePeerVersion (peer: memberTypes.PeerVersion, nowMs: base.Millis): void {
    if (!this._options.isAhead(peer)) return
    if (this._candidates.size === 0 && this._outstanding === undefined) {
      this._nextAtMs = Math.max(this._nextAtMs, nowMs + this._options.random.nextInt(PULL_DELAY_MS[this._options.preference()]))
    }
    if (this._candidates.size >= MAX_CANDIDATES && !this._candidates.has(peer.nodeId)) return
    this._candidates.set(peer.nodeId, peer)
  }

  /** Pulls from a peer without delay because its update could not be applied. `wantsWhole`: asks for the whole state instead of a delta. */
  public handleMismatch (peer: memberTypes.PeerVersion, wantsWhole: boolean, nowMs: base.Millis): void {
    this._wantsWhole = wantsWhole
    this._candidates.set(peer.nodeId, peer)
    this._nextAtMs = nowMs
  }

  public handleAnswer (from: base.NodeId): void {
    if (this._outstanding?.to === from) this._outstanding = undefined
    this._candidates.delete(from)
  }

  public handleBusy (peer: memberTypes.PeerVersion, retryAfterMs: base.Millis, nowMs: base.Millis): void {
    this.handleAnswer(peer.nodeId)
    if (this._candidates.size > 0) return
    this._candidates.set(peer.nodeId, peer)
    this._nextAtMs = nowMs + retryAfterMs
  }

  public tick (nowMs: base.Millis): void {
    if (this._outstanding !== undefined && nowMs >= this._outstanding.deadlineMs) this.handleAnswer(this._outstanding.to)
    if (this._outstanding !== undefined || this._candidates.size === 0 || nowMs < this._nextAtMs) return
    const best = this._best()
    if (best === undefined) return
    this._outstanding = { to: best.nodeId, deadlineMs: nowMs + PULL_TIMEOUT_MS }
    this._options.pull(best.nodeId, this._wantsWhole)
    this._wantsWhole = false
  }

  /** The candidate with the highest version that is still ahead; others are dropped. */
  private _best (): memberTypes.PeerVersion | undefined {
    let best: memberTypes.PeerVersion | undefined
    for (const peer of this._candidates.values()) {
      if (!this._options.isAhead(peer)) this._candidates.delete(peer.nodeId)
      else if (best === undefined || peer.version > best.version) best = peer
    }
    return best
  }
}
