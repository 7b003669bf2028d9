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

export interface OwnerLocatorOptions {
  readonly membership: Pick<membershipServices.IMembership, 'get' | 'onChange'>
  readonly ownership: Pick<hostingServices.IOwnershipTable, 'ownerOf'>
}

/** Finds the node that owns an idempotency key now. */
export class OwnerLocator extends disposable.Disposable {
  private readonly _options: OwnerLocatorOptions
  /** First incarnation at the present address, for node ids that changed their address. */
  private readonly _movedAt = new Map<base.NodeId, base.Incarnation>()

  constructor (options: OwnerLocatorOptions) {
    super()
    this._options = options
    this._register(options.membership.onChange(change => { this._noteMove(change) }))
  }

  /** Fails if the key is malformed. */
  public locate (service: string, key: string): results.Result<OwnerLocation, Error> {
    return this._options.ownership.ownerOf(service, key).map(lookup => {
      if (lookup.kind !== 'owner') return lookup
      const row = this._follow(lookup.owner)
      return row === undefined ? { kind: 'unreachable' } : { kind: 'found', row }
    })
  }

  private _follow (owner: hosting.PartitionOwner): membership.MemberRow | undefined {
    // Windows pass to a later incarnation only at the same address, where the earlier one cannot be alive.
    if (owner.incarnation < (this._movedAt.get(owner.nodeId) ?? 0)) return undefined
    let row = this._options.membership.get(owner.nodeId)
    if (row !== undefined && row.incarnation < owner.incarnation) return row
    for (let i = 0; i < LONGEST_SUCCESSION && row?.state === 'left'; i++) {
      row = row.successor === '' ? undefined : this._options.membership.get(row.successor)
    }
    if (row === undefined || row.state === 'left' || row.state === 'dead') return undefined
    return row
  }

  private _noteMove (change: membership.MemberChange): void {
    const { previous, current } = change
    if (previous === undefined || previous.peerAddress === current.peerAddress) return
    if (current.incarnation > previous.incarnation) this._movedAt.set(current.nodeId, current.incarnation)
  }
}
