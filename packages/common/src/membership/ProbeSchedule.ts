import * as digests from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as rings from './ProbeRing.js'

interface PlannedProbe {
  readonly target: base.NodeId
  readonly atMs: base.Millis
}

/**
 * Decides which member this node probes next. In each round (one interval of the clock) all nodes shift the same ring by the
 * same offset, so every member has exactly one prober per round. The time within the round depends on the member only, so it is
 * probed once per interval; with independent random orders, a member among 1,000 went without a probe for up to 5.8 s.
 * Nodes whose tables or clocks differ probe a few members twice and miss a few until the next round.
 */
export class ProbeSchedule {
  private _round: number | undefined
  private _planned: PlannedProbe | undefined

  constructor (private readonly _ring: rings.ProbeRing, private readonly _selfId: base.NodeId) {}

  /**
   * Member to probe now, if one is due. Call it until it returns undefined: a probe that was still pending when its round
   * ended is returned in addition to the first one of the next round.
   */
  public due (nowMs: base.Millis, intervalMs: base.Millis): base.NodeId | undefined {
    const round = Math.floor(nowMs / intervalMs)
    if (round !== this._round) {
      const late = this._planned
      this._round = round
      this._planned = this._plan(round, intervalMs)
      if (late !== undefined) return late.target
    }
    if (this._planned === undefined || nowMs < this._planned.atMs) return undefined
    const { target } = this._planned
    this._planned = undefined
    return target
  }

  private _plan (round: number, intervalMs: base.Millis): PlannedProbe | undefined {
    const peers = this._ring.size
    if (peers === 0) return undefined
    // Cycles through all offsets: with random ones, some pairs among 10 nodes exchanged nothing for over 20 s.
    const offset = 1 + round % peers
    const rank = this._ring.rankOf(this._selfId)
    const shifted = (rank + offset) % (peers + 1)
    // The ring does not contain this node, whose position would be `rank`.
    const target = this._ring.at(shifted < rank ? shifted : shifted - 1)
    if (target === undefined) return undefined
    return { target, atMs: round * intervalMs + digests.placementHash(`phase/${target}`) % intervalMs }
  }
}
