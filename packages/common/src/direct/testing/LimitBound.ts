import type * as base from '../../base/Types.js'

const WINDOW_MS = 4_000
/** A target may get this multiple of what its limit allows in a window, and the slack. */
const FACTOR = 1.5
const SLACK_CALLS = 5
/** The bound holds from this time after a target first advertises a rate limit. */
const ADAPTATION_MS = 3_000
/** A node is bound from this time after it has passed on an answer that advertises a rate limit. */
const PASSED_ON_MS = 500
const MS_PER_S = 1000

/** The window in which the calls to a target exceed its limit by most, or come closest to it. */
export interface WorstLimitWindow {
  readonly targetId: string
  readonly fromMs: base.Millis
  readonly calls: number
  readonly allowed: number
}

interface Target {
  /** Values of the limit with the times from which the target advertised them, in order. */
  readonly limits: { readonly atMs: base.Millis, readonly maxCallsPerS: number }[]
  /** By entry node: when it first passed on an answer that advertises a rate limit. */
  readonly passedOnAtMs: Map<string, base.Millis>
  readonly arrivalsMs: base.Millis[]
}

/** Checks the calls that targets with a limit get from all entry nodes that know of the limit. */
export class LimitBound {
  private readonly _targets = new Map<string, Target>()

  /** Records that the target advertises this limit from now on. Infinity: it advertises none. */
  public recordLimit (targetId: string, maxCallsPerS: number, atMs: base.Millis): void {
    const { limits, passedOnAtMs } = this._of(targetId)
    if ((limits.at(-1)?.maxCallsPerS ?? Infinity) === maxCallsPerS) return
    limits.push({ atMs, maxCallsPerS })
    if (maxCallsPerS === Infinity) passedOnAtMs.clear()
  }

  public recordPassedOn (targetId: string, entry: string, atMs: base.Millis): void {
    const { passedOnAtMs } = this._of(targetId)
    if (!passedOnAtMs.has(entry)) passedOnAtMs.set(entry, atMs)
  }

  /** An entry node that was restarted, paused or cut off is bound again when it passes on the next answer. */
  public recordInterruption (entry: string): void {
    for (const { passedOnAtMs } of this._targets.values()) passedOnAtMs.delete(entry)
  }

  public recordArrival (targetId: string, entry: string, atMs: base.Millis): void {
    const { arrivalsMs, passedOnAtMs, limits } = this._of(targetId)
    const advertisedSinceMs = limits.findLast(({ maxCallsPerS }, at) => maxCallsPerS < Infinity && (limits[at - 1]?.maxCallsPerS ?? Infinity) === Infinity)?.atMs ?? Infinity
    const isBound = (limits.at(-1)?.maxCallsPerS ?? Infinity) < Infinity && atMs >= advertisedSinceMs + ADAPTATION_MS
    if (isBound && atMs >= (passedOnAtMs.get(entry) ?? Infinity) + PASSED_ON_MS) arrivalsMs.push(atMs)
  }

  /** The window with the largest excess. It keeps the bound if `calls` is not above `allowed`. */
  public findWorstWindow (): WorstLimitWindow {
    let worst: WorstLimitWindow = { targetId: '', fromMs: 0, calls: 0, allowed: Infinity }
    for (const [targetId, { arrivalsMs, limits }] of this._targets) {
      arrivalsMs.forEach((fromMs, at) => {
        const calls = arrivalsMs.slice(at).findIndex(atMs => atMs >= fromMs + WINDOW_MS)
        const window = { targetId, fromMs, calls: calls < 0 ? arrivalsMs.length - at : calls, allowed: allowedIn(limits, fromMs) }
        if (worst.allowed === Infinity || window.calls - window.allowed > worst.calls - worst.allowed) worst = window
      })
    }
    return worst
  }

  private _of (targetId: string): Target {
    let target = this._targets.get(targetId)
    if (target === undefined) {
      target = { limits: [], passedOnAtMs: new Map(), arrivalsMs: [] }
      this._targets.set(targetId, target)
    }
    return target
  }
}

/** Calls allowed in the window by the highest limit that was advertised in it or in the time that nodes have to adapt before it. Calls after the end of a limit are not recorded. */
function allowedIn (limits: Target['limits'], fromMs: base.Millis): number {
  const advertised = limits.filter(({ atMs, maxCallsPerS }, at) => maxCallsPerS < Infinity && atMs < fromMs + WINDOW_MS && (limits[at + 1]?.atMs ?? Infinity) > fromMs - ADAPTATION_MS)
  return Math.max(...advertised.map(({ maxCallsPerS }) => maxCallsPerS)) * FACTOR * WINDOW_MS / MS_PER_S + SLACK_CALLS
}
