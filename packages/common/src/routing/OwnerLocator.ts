import type * as results from 'ts-results-es'
import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as hostingServices from '../hosting/Services.js'
import type * as hosting from '../hosting/Types.js'
import type * as membershipServices from '../membership/Services.js'
import type * as membership from '../membership/Types.js'

/** Maximum number of successors that are followed; a longer chain of stopped nodes counts as unreachable. */
const MAX_SUCCESSORS = 8

export type OwnerLocation =
  | { readonly kind: 'found', readonly row: membership.MemberRow }
  /** The owner is dead, unknown, or its node id is now used at another address. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'beyond-horizon', readonly retryAfterMs: base.Millis }
  | { readonly kind: 'no-table' }

interface Succession {
  readonly incarnation: base.Incarnation
  readonly successor: base.NodeId
}

export interface OwnerLocatorOptions {
  readonly membership: Pick<membershipServices.IMembership, 'get' | 'onChange'>
  readonly ownership: Pick<hostingServices.IOwnershipTable, 'ownerOf' | 'isReleased'>
}

/** Finds the node that currently owns an idempotency key. */
export class OwnerLocator extends disposable.Disposable {
  private readonly _options: OwnerLocatorOptions
  /** First incarnation at the current address, for node ids whose address has changed. */
  private readonly _movedAt = new Map<base.NodeId, base.Incarnation>()
  /** Last handover of each node. Kept because a restart of the node replaces the row that names the successor. */
  private readonly _successions = new Map<base.NodeId, Succession>()

  constructor (options: OwnerLocatorOptions) {
    super()
    this._options = options
    this._register(options.membership.onChange(change => { this._handleMemberChange(change) }))
  }

  /** Finds an owner that is not in `exclude`. Fails if the key is malformed. */
  public locate (service: string, key: string, exclude: ReadonlySet<base.NodeId>): results.Result<OwnerLocation, Error> {
    return this._options.ownership.ownerOf(service, key).map(lookup => {
      if (lookup.kind !== 'owner') return lookup
      const row = this._takeover(lookup, exclude) ?? this._processOrSuccessor(lookup.owner, exclude)
      return row === undefined ? { kind: 'unreachable' } : { kind: 'found', row }
    })
  }

  /**
   * The node to which the ownership table sends calls of an owner that has handed its windows over. It can be the owner's
   * own node, if a later process there has taken the windows back from the successor.
   */
  private _takeover (lookup: { readonly owner: hosting.PartitionOwner, readonly sendTo: base.NodeId }, exclude: ReadonlySet<base.NodeId>): membership.MemberRow | undefined {
    if (exclude.has(lookup.sendTo)) return undefined
    if (lookup.sendTo === lookup.owner.nodeId && !this._options.ownership.isReleased(lookup.owner)) return undefined
    const row = this._options.membership.get(lookup.sendTo)
    return row === undefined || row.state === 'dead' || row.state === 'left' ? undefined : row
  }

  /**
   * The process at the owner's address, or the successor of the owner. After a handover and a restart either can own
   * the key, depending on its issue time; the process that is asked first refuses the call if it does not own the key.
   */
  private _processOrSuccessor (owner: hosting.PartitionOwner, exclude: ReadonlySet<base.NodeId>): membership.MemberRow | undefined {
    const current = this._options.ownership.isReleased(owner) ? undefined : this._currentProcess(owner)
    if (current !== undefined && !exclude.has(current.nodeId)) return current
    const successor = this._successor(owner)
    return successor === undefined || exclude.has(successor.nodeId) ? undefined : successor
  }

  private _currentProcess (owner: hosting.PartitionOwner): membership.MemberRow | undefined {
    // A later incarnation adopts windows only at the same address, where the earlier process cannot be alive.
    if (owner.incarnation < (this._movedAt.get(owner.nodeId) ?? 0)) return undefined
    const row = this._options.membership.get(owner.nodeId)
    if (row === undefined || row.state === 'dead') return undefined
    return row.state === 'left' && row.incarnation >= owner.incarnation ? undefined : row
  }

  private _successor (owner: hosting.PartitionOwner): membership.MemberRow | undefined {
    let succession = this._successionOf(owner.nodeId)
    if (succession === undefined || succession.incarnation < owner.incarnation) return undefined
    for (let i = 0; i < MAX_SUCCESSORS && succession !== undefined; i++) {
      const row = this._options.membership.get(succession.successor)
      if (row === undefined || row.state === 'dead') return undefined
      if (row.state !== 'left') return row
      succession = this._successionOf(row.nodeId)
    }
    return undefined
  }

  private _successionOf (nodeId: base.NodeId): Succession | undefined {
    const row = this._options.membership.get(nodeId)
    if (row?.state === 'left' && row.successor !== '') return row
    return this._successions.get(nodeId)
  }

  private _handleMemberChange (change: membership.MemberChange): void {
    const { previous, current, forgotten } = change
    if (forgotten) this._successions.delete(current.nodeId)
    else if (current.state === 'left' && current.successor !== '') this._successions.set(current.nodeId, current)
    if (previous === undefined || previous.peerAddress === current.peerAddress) return
    if (current.incarnation > previous.incarnation) this._movedAt.set(current.nodeId, current.incarnation)
  }
}
