import type * as results from 'ts-results-es'
import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as hostingServices from '../hosting/Services.js'
import type * as hosting from '../hosting/Types.js'
import type * as membershipServices from '../membership/Services.js'
import type * as membership from '../membership/Types.js'

/** Successors followed before a chain of stopped nodes counts as unreachable. */
const LONGEST_SUCCESSION = 8

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

/** Finds the node that owns an idempotency key now. */
export class OwnerLocator extends disposable.Disposable {
  private readonly _options: OwnerLocatorOptions
  /** First incarnation at the present address, for node ids that changed their address. */
  private readonly _movedAt = new Map<base.NodeId, base.Incarnation>()
  /** Last handover of each node; a restart of the node replaces its row, which named the successor. */
  private readonly _successions = new Map<base.NodeId, Succession>()

  constructor (options: OwnerLocatorOptions) {
    super()
    this._options = options
    this._register(options.membership.onChange(change => { this._note(change) }))
  }

  /** Finds an owner that is not in `exclude`. Fails if the key is malformed. */
  public locate (service: string, key: string, exclude: ReadonlySet<base.NodeId>): results.Result<OwnerLocation, Error> {
    return this._options.ownership.ownerOf(service, key).map(lookup => {
      if (lookup.kind !== 'owner') return lookup
      const row = this._heir(lookup, exclude) ?? this._find(lookup.owner, exclude)
      return row === undefined ? { kind: 'unreachable' } : { kind: 'found', row }
    })
  }

  /**
   * The node that the ownership table names instead of an owner that handed its windows over. It can be the node of the
   * owner itself: a later process there may have taken the windows back from the successor.
   */
  private _heir (lookup: { readonly owner: hosting.PartitionOwner, readonly sendTo: base.NodeId }, exclude: ReadonlySet<base.NodeId>): membership.MemberRow | undefined {
    if (exclude.has(lookup.sendTo)) return undefined
    if (lookup.sendTo === lookup.owner.nodeId && !this._options.ownership.isReleased(lookup.owner)) return undefined
    const row = this._options.membership.get(lookup.sendTo)
    return row === undefined || row.state === 'dead' || row.state === 'left' ? undefined : row
  }

  /**
   * The process at the owner's address, or the successor of the owner. After a handover and a restart both may be
   * right, depending on the key's time; the process asked first says whether it owns the key.
   */
  private _find (owner: hosting.PartitionOwner, exclude: ReadonlySet<base.NodeId>): membership.MemberRow | undefined {
    const present = this._options.ownership.isReleased(owner) ? undefined : this._present(owner)
    if (present !== undefined && !exclude.has(present.nodeId)) return present
    const successor = this._successor(owner)
    return successor === undefined || exclude.has(successor.nodeId) ? undefined : successor
  }

  private _present (owner: hosting.PartitionOwner): membership.MemberRow | undefined {
    // Windows pass to a later incarnation only at the same address, where the earlier one cannot be alive.
    if (owner.incarnation < (this._movedAt.get(owner.nodeId) ?? 0)) return undefined
    const row = this._options.membership.get(owner.nodeId)
    if (row === undefined || row.state === 'dead') return undefined
    return row.state === 'left' && row.incarnation >= owner.incarnation ? undefined : row
  }

  private _successor (owner: hosting.PartitionOwner): membership.MemberRow | undefined {
    let succession = this._successionOf(owner.nodeId)
    if (succession === undefined || succession.incarnation < owner.incarnation) return undefined
    for (let i = 0; i < LONGEST_SUCCESSION && succession !== undefined; i++) {
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

  private _note (change: membership.MemberChange): void {
    const { previous, current, forgotten } = change
    if (forgotten) this._successions.delete(current.nodeId)
    else if (current.state === 'left' && current.successor !== '') this._successions.set(current.nodeId, current)
    if (previous === undefined || previous.peerAddress === current.peerAddress) return
    if (current.incarnation > previous.incarnation) this._movedAt.set(current.nodeId, current.incarnation)
  }
}
