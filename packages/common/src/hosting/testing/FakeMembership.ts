import type * as base from '../../base/Types.js'
import * as emitter from '../../base/Emitter.js'
import type * as services from '../Services.js'
import type * as types from '../../membership/Types.js'

/** Membership whose rows a test sets. Rows of other instances arrive only through `sync`. */
export class FakeMembership implements services.HostMembership {
  private readonly _changes = new emitter.Emitter<types.MemberChange>()
  private readonly _rows = new Map<base.NodeId, types.MemberRow>()
  public readonly onChange = this._changes.event

  constructor (private readonly _nodeId: base.NodeId, private readonly _onStateSet: (row: types.MemberRow) => void = () => {}) {}

  public get self (): types.MemberRow {
    const row = this._rows.get(this._nodeId)
    if (row === undefined) throw new Error('The row of this node is not set.')
    return row
  }

  public get (nodeId: base.NodeId): types.MemberRow | undefined {
    return this._rows.get(nodeId)
  }

  public all (): Iterable<types.MemberRow> {
    return this._rows.values()
  }

  public targetsOf (service: string): readonly types.MemberRow[] {
    return [...this._rows.values()].filter(row => row.service === service && row.state === 'ready' && row.targetReady)
  }

  public setState (state: 'ready' | 'draining' | 'left', _nowMs: base.Millis, successor = ''): void {
    const row = { ...this.self, state, successor }
    this.set(row)
    this._onStateSet(row)
  }

  public set (current: types.MemberRow): void {
    const previous = this._rows.get(current.nodeId)
    if (previous === current) return
    this._rows.set(current.nodeId, current)
    this._changes.fire({ previous, current, forgotten: false })
  }

  public sync (rows: Iterable<types.MemberRow>): void {
    for (const row of rows) this.set(row)
  }
}

export function memberRow (nodeId: base.NodeId, incarnation: base.Incarnation, change: Partial<types.MemberRow> = {}): types.MemberRow {
  return {
    nodeId,
    incarnation,
    state: 'ready',
    peerAddress: `${nodeId}:1`,
    callerAddress: `${nodeId}:2`,
    zone: 'vake',
    service: 'till',
    targetReady: true,
    targetReadySinceMs: 0,
    enforcedVersion: 1,
    adminAddress: `${nodeId}:3`,
    revision: 0,
    successor: '',
    ...change
  }
}
