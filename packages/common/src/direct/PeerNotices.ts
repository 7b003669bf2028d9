import * as targetRegister from './TargetRegister.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Number of nodes whose newest notice is kept while it is about a target that is not known yet. */
const MAX_NOTICES = 64

/** What entry nodes tell a host about its target. The host may have restarted since the target stated it. */
export class PeerNotices {
  private readonly _notices = new Map<base.NodeId, types.KnownNotice>()

  public put (nodeId: base.NodeId, notice: types.KnownNotice): void {
    this._notices.delete(nodeId)
    this._notices.set(nodeId, notice)
    const [oldest] = this._notices.keys()
    if (this._notices.size > MAX_NOTICES && oldest !== undefined) this._notices.delete(oldest)
  }

  /** Removes and combines the notices about this start of a target: the lowest limit, and whether it leaves. */
  public take (start: types.TargetStart): types.KnownNotice | undefined {
    let combined: types.KnownNotice | undefined
    for (const [nodeId, notice] of this._notices) {
      if (!targetRegister.isSameStart(start, notice)) continue
      this._notices.delete(nodeId)
      combined = combined === undefined ? notice : combine(combined, notice)
    }
    return combined
  }
}

function combine (one: types.KnownNotice, other: types.KnownNotice): types.KnownNotice {
  return {
    targetId: one.targetId,
    startedAtMs: Math.max(one.startedAtMs, other.startedAtMs),
    maxCallsPerS: Math.min(one.maxCallsPerS ?? Infinity, other.maxCallsPerS ?? Infinity),
    isLeaving: one.isLeaving || other.isLeaving
  }
}
