import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as targetTable from './TargetTable.js'

/** Number of targets of each service that a node keeps links to. Of a smaller service it links to all of them. */
export const SUBSET_SIZE = 10
/** Number of these targets in other zones, for the time when the own zone has too little capacity. */
export const OTHER_ZONES_SIZE = 3
/** If the own zone has few targets of a service, targets of other zones are added up to this total. */
export const MIN_SIZE = 8
/** A zone counts as lost when more unusable nodes than this share of the wanted number have been found in it. */
const LOST_SHARE = 0.75
/** A node that has not become usable within this time no longer counts, and another node is chosen in addition. */
const USABLE_TIMEOUT_MS = 2_000

export interface LinkPlanOptions {
  readonly selfId: base.NodeId
  readonly zone: string
  /** Whether targets of several versions of the service are in use, so that links to those of each are needed. */
  readonly isMixed?: (service: string) => boolean
}

/**
 * Chooses the nodes that a node keeps links to: some targets of each service, most of them in its own zone, by rendezvous
 * hashing. Each target is chosen by about the same number of nodes, and the removal of one changes only the choices that
 * include it.
 */
export class LinkPlan {
  private readonly _options: LinkPlanOptions
  private readonly _scores = new Map<base.NodeId, number>()
  /** Time since which each chosen node has been unusable. */
  private readonly _unusableSinceMs = new Map<base.NodeId, base.Millis>()
  private _wanted = new Set<base.NodeId>()
  private _dueAtMs: base.Millis = Infinity

  constructor (options: LinkPlanOptions) {
    this._options = options
  }

  public isChosen (nodeId: base.NodeId): boolean {
    return this._wanted.has(nodeId)
  }

  /** Time of the next choice that may replace an unusable node. */
  public get nextChoiceAtMs (): base.Millis {
    return this._dueAtMs
  }

  /**
   * Chooses again. Chosen nodes that are unusable stay chosen, but further nodes are chosen in addition. The nodes in
   * `always` are chosen in any case.
   */
  public choose (rows: Iterable<targetTable.TargetRow>, nowMs: base.Millis, always: Iterable<base.NodeId> = []): ReadonlySet<base.NodeId> {
    const services = new Map<string, targetTable.TargetRow[]>()
    for (const row of rows) {
      if (row.nodeId === this._options.selfId) continue
      const group = this._options.isMixed?.(row.service) === true ? `${row.service} ${row.softwareVersion ?? ''}` : row.service
      const list = services.get(group)
      if (list === undefined) services.set(group, [row])
      else list.push(row)
    }
    const wanted = new Set<base.NodeId>(always)
    wanted.delete(this._options.selfId)
    for (const list of services.values()) this._chooseTargets(list, wanted, nowMs)
    this._wanted = wanted
    this._dueAtMs = Infinity
    for (const [nodeId, sinceMs] of this._unusableSinceMs) {
      if (!wanted.has(nodeId)) this._unusableSinceMs.delete(nodeId)
      else if (sinceMs + USABLE_TIMEOUT_MS > nowMs) this._dueAtMs = Math.min(this._dueAtMs, sinceMs + USABLE_TIMEOUT_MS)
    }
    return wanted
  }

  private _chooseTargets (rows: targetTable.TargetRow[], wanted: Set<base.NodeId>, nowMs: base.Millis): void {
    const near = rows.filter(({ zone }) => zone === this._options.zone)
    const far = rows.filter(({ zone }) => zone !== this._options.zone)
    const nearSize = Math.min(near.length, SUBSET_SIZE - Math.min(far.length, OTHER_ZONES_SIZE))
    const farSize = rows.length <= SUBSET_SIZE ? far.length : Math.max(OTHER_ZONES_SIZE, MIN_SIZE - nearSize)
    const missing = this._addNodes(near, nearSize, wanted, nowMs)
    this._addNodes(far, farSize + missing, wanted, nowMs)
  }

  /**
   * Returns how many usable nodes are missing. When most of the tried nodes are unusable, the zone counts as lost and all
   * are missing, because each further node of the zone would only time out as well.
   */
  private _addNodes (rows: targetTable.TargetRow[], size: number, wanted: Set<base.NodeId>, nowMs: base.Millis): number {
    rows.sort((one, other) => this._score(other.nodeId) - this._score(one.nodeId) || (one.nodeId < other.nodeId ? -1 : 1))
    let missing = size
    let unusable = 0
    for (const row of rows) {
      if (missing === 0) break
      wanted.add(row.nodeId)
      if (this._countsAsUsable(row, nowMs)) missing -= 1
      else unusable += 1
    }
    return unusable > size * LOST_SHARE ? size : missing
  }

  private _countsAsUsable (row: targetTable.TargetRow, nowMs: base.Millis): boolean {
    if (row.isConnected && row.state === 'ready') {
      this._unusableSinceMs.delete(row.nodeId)
      return true
    }
    const sinceMs = this._unusableSinceMs.get(row.nodeId)
    if (sinceMs === undefined) this._unusableSinceMs.set(row.nodeId, nowMs)
    return nowMs - (sinceMs ?? nowMs) < USABLE_TIMEOUT_MS
  }

  private _score (nodeId: base.NodeId): number {
    let score = this._scores.get(nodeId)
    if (score === undefined) {
      score = digest.placementHash(`${nodeId}|${this._options.selfId}`)
      this._scores.set(nodeId, score)
    }
    return score
  }
}
