import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'
import type * as versionFreshness from './VersionFreshness.js'

/** Nodes of each zone that may read the store for the whole fleet. Others remain after the loss of a zone or of any one node. */
const CANDIDATES_PER_ZONE = 2
/** Candidates that read the store at the same time, because the loss of one's contact to the store is detected with a delay. */
const READERS = 2
/** A candidate counts as a reader if its last contact to the store is within this time: one long poll and its margin, and the report. */
const FRESH_MS = 1_100
/**
 * A node reads the store itself when its version has not been confirmed as the newest one for this time; spread, so that they
 * do not start together. With one read it stays below the time within which a version has to be in force everywhere.
 */
const DOUBT_MS = 1_200
const DOUBT_SPREAD_MS = 400

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
  /** Until when the version in force is known to have been the newest one. */
  readonly freshness: versionFreshness.VersionFreshness
}

/**
 * Chooses the nodes that read the store. All nodes derive the same candidates from the table, and the candidates keep links
 * to each other. The other nodes keep links to those of their zone, from which they learn that their version is the newest one;
 * a node that does not learn it reads the store itself, also if it is a candidate and others read.
 */
export class ReaderPlan {
  private readonly _options: ReaderPlanOptions
  private readonly _doubtMs: base.Millis
  /** Last contact of each candidate to the store. */
  private readonly _contactsAtMs = new Map<base.NodeId, base.Millis>()
  private _candidates: readonly base.NodeId[] = []
  private _revision = -1

  constructor (options: ReaderPlanOptions) {
    this._options = options
    this._doubtMs = DOUBT_MS + DOUBT_SPREAD_MS * options.random.nextFloat()
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
    const rank = this.candidates.indexOf(this._options.selfId)
    return this._isInDoubt || (rank >= 0 && this._options.isFleetKnown() && this._countReadersBefore(rank) < READERS)
  }

  /** Whether this node writes to the store for the whole fleet. Two nodes may do so at the same time. */
  public get isWriter (): boolean {
    const rank = this.candidates.indexOf(this._options.selfId)
    return rank >= 0 && this._options.isFleetKnown() ? this._countReadersBefore(rank) === 0 : this.isReader
  }

  /** Whether this candidate passes on what the readers report, because the nodes of its zone need not have links to a reader. */
  public get isZoneRelay (): boolean {
    const { table, selfId } = this._options
    const zone = table.get(selfId)?.zone
    return this.isCandidate && !this.candidates.some(nodeId => table.get(nodeId)?.zone === zone && this._isReading(nodeId))
  }

  /** Nodes that this one keeps links to, so that versions and their confirmations reach it. */
  public get requiredPeers (): readonly base.NodeId[] {
    if (this.isCandidate) return this.candidates
    const { selfId, table } = this._options
    const zone = table.get(selfId)?.zone
    return this.candidates.filter(nodeId => table.get(nodeId)?.zone === zone)
  }

  /** Records the time since a node's last contact to the store. */
  public recordStoreContact (nodeId: base.NodeId, storeAgeMs: base.Millis): void {
    if (this.candidates.includes(nodeId)) this._contactsAtMs.set(nodeId, this._options.nowMs() - storeAgeMs)
  }

  /** Whether this node may have missed a version, whatever other nodes do. */
  private get _isInDoubt (): boolean {
    const { nowMs, startedAtMs, firstWaitMs, freshness } = this._options
    if (freshness.confirmedAtMs === -Infinity) return nowMs() - startedAtMs > firstWaitMs
    return freshness.ageMs > this._doubtMs
  }

  private _countReadersBefore (rank: number): number {
    return this.candidates.slice(0, rank).filter(nodeId => this._isReading(nodeId)).length
  }

  private _isReading (nodeId: base.NodeId): boolean {
    const { table, nowMs } = this._options
    return table.get(nodeId)?.isConnected === true && nowMs() - (this._contactsAtMs.get(nodeId) ?? -Infinity) < FRESH_MS
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
