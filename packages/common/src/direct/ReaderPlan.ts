import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Nodes of each zone that may read the store for the whole fleet. Others remain after the loss of a zone or of any one node. */
const CANDIDATES_PER_ZONE = 2
/** Candidates that read the store at the same time, because the loss of one's contact to the store is detected with a delay. */
const READERS = 2
/** A candidate counts as a reader if its last contact to the store is within this time: one long poll and a margin. */
const FRESH_MS = 4_500
/** A node reads the store itself when no node is known to have had contact to it for this time; spread, so that they do not start together. */
const FALLBACK_MS = 7_000
const FALLBACK_SPREAD_MS = 3_000

export interface ReaderPlanOptions {
  readonly selfId: base.NodeId
  readonly table: targetTable.TargetTable
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  readonly startedAtMs: base.Millis
  /** How long a new process waits for other nodes to report contact to the store before it reads the store itself. */
  readonly firstWaitMs: base.Millis
  /** Whether the records of all nodes have been read. Before that, a node knows few others and would consider itself a candidate. */
  readonly isFleetKnown: () => boolean
}

/**
 * Chooses the nodes that read the store. All nodes derive the same candidates from the table, and the candidates keep links
 * to each other. The other nodes only need to learn, through any number of nodes, that some node has contact to the store.
 */
export class ReaderPlan {
  private readonly _options: ReaderPlanOptions
  private readonly _fallbackMs: base.Millis
  /** Last contact of each candidate to the store. */
  private readonly _contactsAtMs = new Map<base.NodeId, base.Millis>()
  private _fleetContactAtMs = -Infinity
  private _candidates: readonly base.NodeId[] = []
  private _revision = -1

  constructor (options: ReaderPlanOptions) {
    this._options = options
    this._fallbackMs = FALLBACK_MS + FALLBACK_SPREAD_MS * options.random.nextFloat()
  }

  /** The best-ranked nodes of each zone: first the best one of each zone, then the second ones. */
  public get candidates (): readonly base.NodeId[] {
    const { table } = this._options
    if (this._revision !== table.revision) {
      this._revision = table.revision
      this._candidates = candidatesOf(table.all())
    }
    return this._candidates
  }

  public get isCandidate (): boolean {
    return this.candidates.includes(this._options.selfId)
  }

  /** Whether this node is the best-ranked candidate of its zone. */
  public get isZoneFirst (): boolean {
    const { selfId, table } = this._options
    const zone = table.get(selfId)?.zone
    return this.candidates.find(nodeId => table.get(nodeId)?.zone === zone) === selfId
  }

  /** Whether this node reads the store itself. */
  public get isReader (): boolean {
    const { selfId, nowMs, startedAtMs, firstWaitMs, isFleetKnown } = this._options
    const rank = this.candidates.indexOf(selfId)
    if (rank >= 0 && isFleetKnown()) return this._countReadersBefore(rank) < READERS
    if (this._fleetContactAtMs === -Infinity) return nowMs() - startedAtMs > firstWaitMs
    return nowMs() - this._fleetContactAtMs > this._fallbackMs
  }

  /** Whether this node writes to the store for the whole fleet. Two nodes may do so at the same time. */
  public get isWriter (): boolean {
    const rank = this.candidates.indexOf(this._options.selfId)
    return rank >= 0 && this._options.isFleetKnown() ? this._countReadersBefore(rank) === 0 : this.isReader
  }

  /** Time since the last known contact of any node to the store. */
  public get fleetStoreAgeMs (): base.Millis {
    return this._options.nowMs() - this._fleetContactAtMs
  }

  /** Records a node's report: the time since its own contact to the store, and since the last contact of any node that it knows of. */
  public recordStoreContact (nodeId: base.NodeId, storeAgeMs: base.Millis, fleetAgeMs: base.Millis): void {
    const nowMs = this._options.nowMs()
    if (this.candidates.includes(nodeId)) this._contactsAtMs.set(nodeId, nowMs - storeAgeMs)
    this._fleetContactAtMs = Math.max(this._fleetContactAtMs, nowMs - Math.min(storeAgeMs, fleetAgeMs))
  }

  private _countReadersBefore (rank: number): number {
    const { table, nowMs } = this._options
    const isReading = (nodeId: base.NodeId): boolean =>
      table.get(nodeId)?.isConnected === true && nowMs() - (this._contactsAtMs.get(nodeId) ?? -Infinity) < FRESH_MS
    return this.candidates.slice(0, rank).filter(isReading).length
  }
}

function candidatesOf (rows: Iterable<targetTable.TargetRow>): readonly base.NodeId[] {
  const zones = new Map<string, targetTable.TargetRow[]>()
  for (const row of rows) {
    const best = zones.get(row.zone) ?? []
    best.push(row)
    best.sort(byRank).splice(CANDIDATES_PER_ZONE)
    zones.set(row.zone, best)
  }
  const ranked = Array.from({ length: CANDIDATES_PER_ZONE }, (_, rank) => [...zones.values()].flatMap(best => best[rank] ?? []).sort(byRank))
  return ranked.flat().map(({ nodeId }) => nodeId)
}

/** VMs with fast links come first, because readers pass configurations on to other nodes. */
function byRank (one: targetTable.TargetRow, other: targetTable.TargetRow): number {
  return other.linkMbps - one.linkMbps || (one.nodeId < other.nodeId ? -1 : 1)
}
