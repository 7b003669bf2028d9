import type * as base from '../base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const INTERVAL_MS = 1_000
/** Dead members contacted at once by a node that was partitioned and has just reached one of them. */
const REACHED_FANOUT = 16

/**
 * Decides when a dead member is contacted, in case it was only unreachable. A node alone on its side of a partition sends
 * one message a second, and a whole fleet contacts each dead member about once a second in total, at any size. Seed probes
 * do not suffice: each of 6,900 nodes contacts a seed only every 23 minutes.
 */
export class RejoinProbe {
  private readonly _dead = new Map<base.NodeId, types.MemberRow>()
  private _nextAtMs = 0
  private _hasReachedOne = false

  constructor (private readonly _random: base.IRandom, onChange: services.IMembership['onChange']) {
    onChange(change => { this._handleChange(change) })
  }

  /** Dead members to contact now. `size` counts the members, dead ones included. */
  public due (nowMs: base.Millis, size: number): readonly types.MemberRow[] {
    const hasReachedOne = this._hasReachedOne
    this._hasReachedOne = false
    if (this._dead.size === 0) return []
    // If most members are dead, this node was partitioned; one that is live again means that the others probably are too.
    if (hasReachedOne && this._dead.size * 2 > size) return this._pick(REACHED_FANOUT)
    if (nowMs < this._nextAtMs) return []
    this._nextAtMs = nowMs + INTERVAL_MS / 2 + this._random.nextInt(INTERVAL_MS)
    const others = Math.max(1, size - this._dead.size)
    if (this._random.nextFloat() * others >= this._dead.size) return []
    return this._pick(1)
  }

  private _pick (count: number): readonly types.MemberRow[] {
    const rows = [...this._dead.values()]
    const first = this._random.nextInt(rows.length)
    return [...rows.slice(first), ...rows.slice(0, first)].slice(0, count)
  }

  private _handleChange ({ previous, current, forgotten }: types.MemberChange): void {
    if (current.state === 'dead' && !forgotten) {
      this._dead.set(current.nodeId, current)
      return
    }
    this._dead.delete(current.nodeId)
    if (previous?.state === 'dead' && !forgotten) this._hasReachedOne = true
  }
}

/** Whether rows from a peer claim that the node is suspect, dead or has left. */
export function haveFailureClaim (rows: readonly types.WireRow[], nodeId: base.NodeId): boolean {
  return rows.some(([id, , state]) => id === nodeId && (state === 'suspect' || state === 'dead' || state === 'left'))
}
