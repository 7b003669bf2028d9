import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as membership from '../membership/Services.js'
import type * as memberTypes from '../membership/Types.js'
import type * as services from './Services.js'

const READERS_PER_ZONE = 2

interface Candidate {
  readonly nodeId: base.NodeId
  readonly weight: number
}

/**
 * Selects the nodes of this node's zone that long-poll the log: the 2 live members with the highest rendezvous hash.
 * Every member computes the same selection from its table, so no lease is needed.
 */
export class ReaderSelection implements services.IReaderSelection, base.IDisposable {
  private readonly _membership: membership.IMembership
  private _readers: readonly Candidate[] | undefined
  private readonly _subscription: base.IDisposable

  constructor (options: { readonly membership: membership.IMembership }) {
    this._membership = options.membership
    this._subscription = options.membership.onChange(change => this._handleChange(change))
  }

  /** Readers of this node's zone, the first one first. */
  public get readers (): readonly base.NodeId[] {
    this._readers ??= this._choose()
    return this._readers.map(candidate => candidate.nodeId)
  }

  /** Position of this node among the readers of its zone; -1 if it is not a reader. */
  public get ownRank (): number {
    return this.readers.indexOf(this._membership.self.nodeId)
  }

  /** Whether this node is the one that writes fleet-wide records: the first reader of the first zone. */
  public get isFirstOfFleet (): boolean {
    return this._membership.zones()[0] === this._membership.self.zone && this.ownRank === 0
  }

  public dispose (): void {
    this._subscription.dispose()
  }

  private _choose (): readonly Candidate[] {
    const zone = this._membership.self.zone
    return top(this._membership.liveIdsInZone(zone).map(nodeId => candidateOf(zone, nodeId)))
  }

  /** Updates the selection, which changes only with a reader itself or with a member whose hash is higher than that of a reader. */
  private _handleChange (change: memberTypes.MemberChange): void {
    if (this._readers === undefined) return
    const zone = this._membership.self.zone
    const { nodeId } = change.current
    if (this._readers.some(reader => reader.nodeId === nodeId)) {
      this._readers = undefined
      return
    }
    if (change.current.zone !== zone || change.forgotten || !isLive(change.current)) return
    this._readers = top([...this._readers, candidateOf(zone, nodeId)])
  }
}

function candidateOf (zone: string, nodeId: base.NodeId): Candidate {
  return { nodeId, weight: digest.placementHash(`${zone}/${nodeId}`) }
}

function top (candidates: readonly Candidate[]): readonly Candidate[] {
  return [...candidates].sort(compare).slice(0, READERS_PER_ZONE)
}

function compare (a: Candidate, b: Candidate): number {
  return b.weight - a.weight || (a.nodeId < b.nodeId ? -1 : 1)
}

function isLive (row: memberTypes.MemberRow): boolean {
  return row.state === 'joining' || row.state === 'ready' || row.state === 'draining'
}
