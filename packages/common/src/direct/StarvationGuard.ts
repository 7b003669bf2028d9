import * as decayingSum from './DecayingSum.js'
import type * as base from '../base/Types.js'

const HALF_LIFE_MS = 5_000
/**
 * A level whose tries are served this share as often as all tries is protected. Callers come back, so more of their requests than
 * of their tries are served, and of a level at this share about half as many requests as of all.
 */
const LEAST_SHARE = 0.4
/** Calls of a level that have to have ended before it counts as starved. */
const MIN_ENDED = 3

interface Counts {
  readonly ended: decayingSum.DecayingSum
  readonly served: decayingSum.DecayingSum
}

/** Finds levels of urgency that are served far less often than all calls, so that some of their calls go before others. */
export class StarvationGuard {
  private readonly _all = newCounts()
  private readonly _levels = new Map<number, Counts>()

  public recordEnd (level: number, isServed: boolean, nowMs: base.Millis): void {
    let counts = this._levels.get(level)
    if (counts === undefined) {
      counts = newCounts()
      this._levels.set(level, counts)
    }
    for (const { ended, served } of [counts, this._all]) {
      ended.add(1, nowMs)
      if (isServed) served.add(1, nowMs)
    }
  }

  public isStarved (level: number, nowMs: base.Millis): boolean {
    const counts = this._levels.get(level)
    if (counts === undefined || counts.ended.at(nowMs) < MIN_ENDED) return false
    return shareOf(counts, nowMs) < LEAST_SHARE * shareOf(this._all, nowMs)
  }
}

function newCounts (): Counts {
  return { ended: new decayingSum.DecayingSum(HALF_LIFE_MS), served: new decayingSum.DecayingSum(HALF_LIFE_MS) }
}

function shareOf ({ ended, served }: Counts, nowMs: base.Millis): number {
  return served.at(nowMs) / ended.at(nowMs)
}
