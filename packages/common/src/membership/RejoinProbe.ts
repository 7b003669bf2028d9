import type * as base from '../base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const INTERVAL_MS = 1_000

/**
 * Decides when a dead member is contacted, in case it was only cut off. A node alone on its side of a partition asks once a
 * second, and a fleet asks each dead member about once a second in total, at any size. Seeds do not suffice for this:
 * each of 6,900 nodes asks one only every 23 minutes.
 */
export class RejoinProbe {
  private readonly _dead = new Map<base.NodeId, types.MemberRow>()
  private _nextAtMs = 0

  constructor (private readonly _random: base.IRandom, onChange: services.IMembership['onChange']) {
    onChange(change => { this._changed(change) })
  }

  /** Dead member to contact now, if any. `size` counts the members, dead ones included. */
  public due (nowMs: base.Millis, size: number): types.MemberRow | undefined {
    if (this._dead.size === 0 || nowMs < this._nextAtMs) return undefined
    this._nextAtMs = nowMs + INTERVAL_MS / 2 + this._random.nextInt(INTERVAL_MS)
    const others = Math.max(1, size - this._dead.size)
    if (this._random.nextFloat() * others >= this._dead.size) return undefined
    return [...this._dead.values()][this._random.nextInt(this._dead.size)]
  }

  private _changed ({ current, forgotten }: types.MemberChange): void {
    if (current.state === 'dead' && !forgotten) this._dead.set(current.nodeId, current)
    else this._dead.delete(current.nodeId)
  }
}

/** Whether rows that a peer has sent say that the node is suspected or gone. */
export function doubts (rows: readonly types.WireRow[], nodeId: base.NodeId): boolean {
  return rows.some(([id, , state]) => id === nodeId && (state === 'suspect' || state === 'dead' || state === 'left'))
}
