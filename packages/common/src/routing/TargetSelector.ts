import type * as base from '../base/Types.js'
import type * as configServices from '../distribution/Services.js'
import * as ejection from './Ejection.js'
import type * as hosting from '../hosting/Types.js'
import * as latencyTable from './LatencyTable.js'
import * as loadTable from './LoadTable.js'
import type * as membershipServices from '../membership/Services.js'
import type * as membership from '../membership/Types.js'
import * as routeTable from './RouteTable.js'
import type * as services from './Services.js'
import * as subset from './Subset.js'
import type * as types from './Types.js'

/** Above this utilization calls spill over from the local target to its zone, and from the zone to other zones. */
const SPILL_UTILIZATION = 0.8

/** Maximum number of draws from a pool to find a usable target. */
const MAX_DRAWS = 4

/** Weight of a target that has just started, so that its first calls warm it up. */
const MIN_WEIGHT = 0.05

export interface TargetSelectorOptions {
  readonly membership: Pick<membershipServices.IMembership, 'self' | 'targetsOf'>
  /** Provides the configuration from which `select` reads services. */
  readonly enforcement: Pick<configServices.IEnforcement, 'current'>
  readonly random: base.IRandom
  /** Maximum number of targets of one service that this node connects to; 24 if absent. */
  readonly subsetSize?: number
}

interface Candidate {
  readonly nodeId: base.NodeId
  readonly readySinceMs: base.Millis
}

/** Candidates of a service, grouped by distance. */
interface View {
  readonly rows: readonly membership.MemberRow[]
  readonly service: types.ServiceTargets
  readonly local: Candidate | undefined
  readonly sameZone: readonly Candidate[]
  readonly otherZones: readonly Candidate[]
}

/** Inputs of one choice. */
interface Choice {
  readonly view: View
  readonly exclude: ReadonlySet<base.NodeId>
  readonly nowMs: base.Millis
}

/** Power of two choices by utilization, nearest targets first. */
export class TargetSelector implements services.ITargetSelector {
  private readonly _options: TargetSelectorOptions
  private readonly _loads = new loadTable.LoadTable()
  private readonly _latencies = new latencyTable.LatencyTable()
  private readonly _serviceOf = new Map<base.NodeId, string>()
  private readonly _ejection = new ejection.Ejection()
  private readonly _subset: subset.Subset
  private readonly _views = new Map<string, View>()

  constructor (options: TargetSelectorOptions) {
    this._options = options
    const self = options.membership.self
    this._subset = new subset.Subset({
      nodeId: self.nodeId,
      zone: self.zone,
      ...(options.subsetSize === undefined ? {} : { size: options.subsetSize })
    })
  }

  public select (service: string, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined {
    const state = this._options.enforcement.current
    if (state === undefined) return undefined
    const found = routeTable.RouteTable.of(state).service(service)
    if (found === undefined) return undefined
    return this.selectFor(found, exclude, nowMs)
  }

  public selectFor (service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): base.NodeId | undefined {
    const choice: Choice = { view: this._view(service, nowMs), exclude, nowMs }
    const chosen = this._nearest(choice) ?? this._coldOrEjected(choice)
    return chosen?.nodeId
  }

  public recordSend (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._loads.recordSend(nodeId, nowMs)
  }

  public recordResult (nodeId: base.NodeId, result: types.SendResult, load: hosting.LoadReport | undefined, nowMs: base.Millis, elapsedMs?: base.Millis): void {
    this._loads.recordEnd(nodeId)
    if (load !== undefined) this._loads.recordReport(nodeId, load, nowMs)
    const service = this._serviceOf.get(nodeId)
    if (service !== undefined && elapsedMs !== undefined && result === 'success') this._latencies.record(service, nodeId, elapsedMs, nowMs)
    if (result === 'success') this._ejection.recordSuccess(nodeId, nowMs)
    else if (result === 'failure') this._ejection.recordFailure(nodeId, nowMs)
    else if (result === 'refused') this._loads.recordRefusal(nodeId, nowMs)
  }

  public utilizationOf (nodeId: base.NodeId, slots: number, nowMs: base.Millis): number {
    if (this._ejection.isEjected(nodeId, nowMs)) return Infinity
    return this._cost(nodeId, slots, nowMs)
  }

  public tick (nowMs: base.Millis): void {
    this._loads.tick(nowMs)
    this._ejection.tick(nowMs)
    this._latencies.tick(nowMs)
  }

  private _view (service: types.ServiceTargets, nowMs: base.Millis): View {
    const name = service.config.name
    const rows = this._options.membership.targetsOf(name)
    const known = this._views.get(name)
    if (known !== undefined && known.rows === rows && known.service === service) return known
    const view = this._buildView(service, rows)
    this._views.set(name, view)
    for (const row of known?.rows ?? []) {
      if (this._serviceOf.get(row.nodeId) === name) this._serviceOf.delete(row.nodeId)
    }
    for (const row of rows) this._serviceOf.set(row.nodeId, name)
    this._ejection.setCandidates(name, candidatesOf(view).map(candidate => candidate.nodeId), nowMs)
    return view
  }

  private _buildView (service: types.ServiceTargets, rows: readonly membership.MemberRow[]): View {
    const self = this._options.membership.self
    const allowed = rows.filter(row => service.zones.has(row.zone))
    const ownRow = allowed.find(row => row.nodeId === self.nodeId)
    const chosen = this._subset.choose(allowed.filter(row => row !== ownRow)).map(candidateOf)
    const zones = new Map(allowed.map(row => [row.nodeId, row.zone]))
    if (service.zonePreference === 'any') {
      const all = ownRow === undefined ? chosen : [...chosen, candidateOf(ownRow)]
      return { rows, service, local: undefined, sameZone: all, otherZones: [] }
    }
    return {
      rows,
      service,
      local: ownRow === undefined ? undefined : candidateOf(ownRow),
      sameZone: chosen.filter(candidate => zones.get(candidate.nodeId) === self.zone),
      otherZones: chosen.filter(candidate => zones.get(candidate.nodeId) !== self.zone)
    }
  }

  /** Tries the local target, its zone and the other zones, in this order, until one is below the spill utilization. */
  private _nearest (choice: Choice): Candidate | undefined {
    const local = this._usableLocal(choice)
    if (local !== undefined && this._score(local, choice) < SPILL_UTILIZATION) return local
    const near = this._betterOfTwo(choice.view.sameZone, choice)
    if (near !== undefined && this._score(near, choice) <= SPILL_UTILIZATION) return near
    const far = this._betterOfTwo(choice.view.otherZones, choice)
    return this._lowestScored([near, far, local], choice)
  }

  private _usableLocal (choice: Choice): Candidate | undefined {
    const local = choice.view.local
    if (local === undefined || !this._isUsable(local, choice)) return undefined
    return this._passesSlowStart(local, choice) ? local : undefined
  }

  /** The less utilized of two random candidates. */
  private _betterOfTwo (pool: readonly Candidate[], choice: Choice): Candidate | undefined {
    const first = this._draw(pool, choice, -1)
    const second = first < 0 || pool.length === 1 ? -1 : this._draw(pool, choice, first)
    return this._lowestScored([pool[first], pool[second]], choice)
  }

  /** Index of a random usable candidate other than `taken`, or -1. `taken` is excluded exactly, because it would often be drawn again from a small pool. */
  private _draw (pool: readonly Candidate[], choice: Choice, taken: number): number {
    const count = taken < 0 ? pool.length : pool.length - 1
    // With more draws than candidates, a starting target would pass its slow start too often.
    const draws = Math.min(MAX_DRAWS, count)
    for (let i = 0; i < draws; i++) {
      const drawn = this._options.random.nextInt(count)
      const index = taken >= 0 && drawn >= taken ? drawn + 1 : drawn
      const candidate = pool[index]
      if (candidate !== undefined && this._isUsable(candidate, choice) && this._passesSlowStart(candidate, choice)) return index
    }
    return -1
  }

  private _lowestScored (candidates: ReadonlyArray<Candidate | undefined>, choice: Choice): Candidate | undefined {
    let lowest: Candidate | undefined
    let lowestScore = Infinity
    for (const candidate of candidates) {
      if (candidate === undefined) continue
      const score = this._score(candidate, choice)
      if (lowest !== undefined && score >= lowestScore) continue
      lowest = candidate
      lowestScore = score
    }
    return lowest
  }

  /** Fallback if no warm target was drawn: any usable target, or an ejected one if there is no other. */
  private _coldOrEjected (choice: Choice): Candidate | undefined {
    const remaining = candidatesOf(choice.view).filter(candidate => !choice.exclude.has(candidate.nodeId))
    const usable = remaining.filter(candidate => this._isUsable(candidate, choice))
    const pool = usable.length > 0 ? usable : remaining
    return this._lowestScored([pool[this._options.random.nextInt(pool.length)], pool[this._options.random.nextInt(pool.length)]], choice)
  }

  private _isUsable (candidate: Candidate, choice: Choice): boolean {
    return !choice.exclude.has(candidate.nodeId) && !this._ejection.isEjected(candidate.nodeId, choice.nowMs)
  }

  private _score (candidate: Candidate, choice: Choice): number {
    return this._cost(candidate.nodeId, choice.view.service.config.slots, choice.nowMs) / weightOf(candidate, choice)
  }

  /** Utilization, increased for a target that answers notably slower than its service. */
  private _cost (nodeId: base.NodeId, slots: number, nowMs: base.Millis): number {
    const utilization = this._loads.utilization(nodeId, slots, nowMs)
    const slowness = this._latencies.slowness(this._serviceOf.get(nodeId) ?? '', nodeId, nowMs)
    return utilization * slowness + (slowness - 1) / Math.max(1, slots)
  }

  /** Random check by which a target with weight w is accepted with w times the probability of a warm one. */
  private _passesSlowStart (candidate: Candidate, choice: Choice): boolean {
    const weight = weightOf(candidate, choice)
    return weight >= 1 || this._options.random.nextFloat() < weight
  }
}

function weightOf (candidate: Candidate, choice: Choice): number {
  const coldStartMs = choice.view.service.config.coldStartMs
  const ageMs = choice.nowMs - candidate.readySinceMs
  if (ageMs >= coldStartMs) return 1
  return Math.max(MIN_WEIGHT, ageMs / coldStartMs)
}

function candidateOf (row: membership.MemberRow): Candidate {
  return { nodeId: row.nodeId, readySinceMs: row.targetReadySinceMs }
}

function candidatesOf (view: View): readonly Candidate[] {
  const local = view.local === undefined ? [] : [view.local]
  return [...local, ...view.sameZone, ...view.otherZones]
}
