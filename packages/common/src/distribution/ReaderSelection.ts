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
 * The nodes of this node's zone that long-poll the log: the 2 live members with the highest rendezvous hash.
 * Every member computes the same choice from its table; no lease is involved.
 */
export class ReaderSelection implements services.IReaderSelection, base.IDisposable {
  private readonly _membership: membership.IMembership
  private _readers: readonly Candidate[] | undefined
  private readonly _subscription: base.IDisposable

  constructor (options: { readonly membership: membership.IMembership }) {
    this._membership = options.membership
    this._subscription = options.membership.onChange(change => this._changed(change))
  }

  /** Readers of this node's zone, the first one first. */
  public get readers (): readonly base.NodeId[] {
    this._readers ??= this._choose()
    return this._readers.map(candidate => candidate.nodeId)
  }

  /** Position of this node among the readers of its zone; -1 if it is none. */
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

  /** Only a change of a reader, or a member with a higher hash than a reader, changes the choice. */
  private _changed (change: memberTypes.MemberChange): void {
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
