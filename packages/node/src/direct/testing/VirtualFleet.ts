import * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import * as entryGate from '../EntryGate.js'
import * as linkPlan from '@elmpost/common/direct/LinkPlan.js'
import * as limitBound from '@elmpost/common/direct/testing/LimitBound.js'
import * as nestedCall from '../NestedCalls.js'
import * as noLimits from './NoLimits.js'
import * as noCrashes from './NoCrashes.js'
import * as random from '@elmpost/common/base/Random.js'
import * as retryBound from '@elmpost/common/direct/testing/RetryBound.js'
import * as targetHost from '../TargetHost.js'
import * as targetPicker from '@elmpost/common/direct/TargetPicker.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as virtualCallers from './VirtualCallers.js'
import * as virtualSlots from './VirtualSlots.js'
import type * as virtualLoad from './VirtualLoad.js'
import * as zoneCost from '@elmpost/common/direct/ZoneCost.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from '../Services.js'
import type * as types from '../Types.js'

const STATUS_INTERVAL_MS = 1_000
const TICK_MS = 100
const OVERSTATED_MS = 50
const TARGET_HEADER = 'target'
const LIMIT_HEADER = 'limit'
const CUSTOMER_HEADER = 'customer'
const DIALECT = {
  targetHeaders: () => [],
  readNotice: (headers: types.RawHeaders) => ({ maxCallsPerS: Number(valueOf(headers, LIMIT_HEADER)), isLeaving: false }),
  entryHeaders: (_service: string, customer?: string) => customer === undefined ? [] : [CUSTOMER_HEADER, customer],
  customerOf: (headers: types.RawHeaders) => valueOf(headers, CUSTOMER_HEADER) || undefined,
  callerOf: () => '',
  isSetByNode: () => false,
  parentIdOf: (id: string) => id.includes('.') ? id.slice(0, id.lastIndexOf('.')) : undefined
} as unknown as services.ICallDialect

export interface VirtualFleetOptions {
  /** Service of each node. */
  readonly nodes: readonly string[]
  readonly slots: number
  readonly routes: readonly virtualLoad.VirtualRoute[]
  readonly retryTerms: direct.RetryTerms
  readonly seed: number
  /** Whether the ids of nested calls do not contain the id of the run. */
  readonly hidesParentIds?: boolean
  /** Probability with which a target loses the answer of a run. */
  readonly lostShare: (service: string, nowMs: base.Millis) => number
  /** Without it, all nodes are in one zone and know one another, and messages take no time. With it, nodes know those that their link plan chooses. */
  readonly topology?: virtualLoad.VirtualTopology
  /** Speed of the target beside a node; 1 if not given. */
  readonly speedOf?: (at: number) => number
  /** Standard deviation of the work of calls, as a share of its mean. */
  readonly workSpread?: number
  readonly callers?: virtualCallers.CallerTerms
  readonly customers?: readonly virtualLoad.VirtualCustomer[]
  /** Limit in calls a second that the target beside a node names. Infinity without a limit. */
  readonly limitOf?: (nodeId: base.NodeId, nowMs: base.Millis) => number
  /** Probability with which the target beside a node rejects a call at once. */
  readonly rejectShareOf?: (at: number, nowMs: base.Millis) => number
}

/** Run of a target that makes a nested call. */
interface VirtualParent {
  readonly parentId: string | undefined
  readonly isRetry: boolean
}

interface VirtualNode {
  readonly id: base.NodeId
  readonly service: string
  readonly zone: string
  readonly at: number
  readonly table: targetTable.TargetTable
  readonly gate: entryGate.EntryGate
  readonly host: targetHost.TargetHost
}

/** Entry nodes, hosts and targets of a fleet in virtual time, without a network. Counts the calls and the retries that reach the targets. */
export class VirtualFleet {
  public readonly bound: retryBound.RetryBound
  /** As `bound`, but nested calls of first runs count as requests too. */
  public readonly looseBound: retryBound.RetryBound
  public readonly limitBound = new limitBound.LimitBound()
  public answered = 0
  /** Answered calls that took no longer than the objective of their route. */
  public onTime = 0
  public readonly ends: virtualCallers.VirtualEnd[] = []
  public readonly slots: virtualSlots.VirtualSlots
  /** Requests that targets began to run. */
  public readonly runs: { readonly nodeId: base.NodeId, readonly atMs: base.Millis }[] = []
  /** Calls that entry nodes passed to hosts, including themselves. */
  public sends = 0
  public failed = 0
  /** Calls of callers that were sent at once, and those of them whose caller had waited for less than the node took it for, by over 50 ms. */
  public readonly waits = { sent: 0, overstated: 0 }
  private readonly _options: VirtualFleetOptions
  private readonly _random: random.Random
  private readonly _nodes: VirtualNode[] = []
  private readonly _nodesById = new Map<base.NodeId, VirtualNode>()
  private readonly _callers: virtualCallers.VirtualCallers<VirtualNode>
  private readonly _due = new Map<number, (() => void)[]>()
  /** Entry nodes by the last part of the request id. */
  private readonly _entries = new Map<string, base.NodeId>()
  /** Since when the callers of the requests that begin now have been waiting. */
  private readonly _callerSinceMs = new Map<string, base.Millis>()
  private readonly _arrivedIds = new Set<string>()
  private _nowMs = 0
  private _nextRequest = 1

  constructor (options: VirtualFleetOptions) {
    this._options = options
    this._random = new random.Random(options.seed)
    this.bound = new retryBound.RetryBound(options.retryTerms)
    this.looseBound = new retryBound.RetryBound(options.retryTerms)
    this._callers = new virtualCallers.VirtualCallers({
      terms: options.callers ?? virtualCallers.NO_RETURN,
      random: this._random,
      nowMs: () => this._nowMs,
      after: (delayMs, action) => { this._after(delayMs, action) },
      entryIn: zone => this._entryIn(zone),
      begin: (entry, rule, { beganAtMs, remainingMs, customer }, onResult) => {
        const exchange = this._exchange(entry, rule.pathPrefix, remainingMs, { parentId: undefined, isRetry: false }, onResult, customer)
        this._callerSinceMs.set(exchange.info.requestId, beganAtMs)
        entry.gate.begin(exchange)
        this._callerSinceMs.delete(exchange.info.requestId)
      },
      onRefused: (entry, rule) => { this.slots.recordRefusal(entry, rule.parts[0]?.service ?? '') },
      onEnd: end => { this._recordEnd(end) }
    })
    options.nodes.forEach((service, at) => {
      const node = this._create(at, service)
      this._nodes.push(node)
      this._nodesById.set(node.id, node)
    })
    this.slots = new virtualSlots.VirtualSlots(this._nodes)
  }

  public run (lengthMs: base.Millis): void {
    for (; this._nowMs < lengthMs; this._nowMs++) {
      if (this._nowMs % STATUS_INTERVAL_MS === 0) this._broadcastStatus()
      if (this._nowMs % TICK_MS === 0) for (const { host } of this._nodes) host.tick()
      for (const action of this._due.get(this._nowMs) ?? []) action()
      this._due.delete(this._nowMs)
      for (const route of this._options.routes) this._callAtRate(route)
    }
    for (const { gate } of this._nodes) gate.dispose()
  }

  private _callAtRate ({ rule, callsPerS }: virtualLoad.VirtualRoute): void {
    for (let dueCalls = callsPerS / 1000; dueCalls > 0 && this._random.nextFloat() < dueCalls; dueCalls--) this._callers.call(rule, this._customer())
  }

  private _customer (): string | undefined {
    const { customers = [] } = this._options
    let left = this._random.nextFloat() * customers.reduce((sum, { weightAt }) => sum + weightAt(this._nowMs), 0)
    return customers.find(({ weightAt }) => (left -= weightAt(this._nowMs)) <= 0)?.rule.name
  }

  private _compareWait ({ requestId, elapsedMs }: types.CallMessage): void {
    const sinceMs = this._callerSinceMs.get(requestId)
    if (sinceMs === undefined) return
    this.waits.sent += 1
    if (elapsedMs > this._nowMs - sinceMs + OVERSTATED_MS) this.waits.overstated += 1
  }

  private _entryIn (zone: string | undefined): VirtualNode {
    const nodes = zone === undefined ? this._nodes : this._nodes.filter(node => node.zone === zone)
    return nodes[this._random.nextInt(nodes.length)] as VirtualNode
  }

  private _recordEnd (end: virtualCallers.VirtualEnd): void {
    this.ends.push(end)
    if (end.isServed) this.answered += 1
    if (end.isOnTime) this.onTime += 1
    else this.failed += 1
  }

  /** Nested calls are no requests of callers, so they allow no retries. Those in a retried run are retries. */
  private _exchange (entry: VirtualNode, path: string, remainingMs: base.Millis, { parentId, isRetry }: VirtualParent, onResult: virtualCallers.OnResult, customerKey?: string): services.IExchange {
    const ownId = `r${this._nextRequest++}`
    this._entries.set(ownId, entry.id)
    const requestId = parentId === undefined || this._options.hidesParentIds === true ? ownId : `${parentId}.${ownId}`
    const service = this._routeOf(path).rule.parts[0]?.service ?? ''
    if (isRetry) this._arrivedIds.add(requestId)
    else this.looseBound.recordRequest(service, this._nowMs)
    if (parentId === undefined) this.bound.recordRequest(service, this._nowMs)
    return {
      method: 'GET',
      host: 'booth.example',
      path,
      headers: [],
      body: undefined,
      info: { requestId, remainingMs, customerKey },
      waitedMs: 0,
      acceptWaitMs: 0,
      answer: ({ status, headers }) => {
        if (Number(valueOf(headers, LIMIT_HEADER)) < Infinity) this.limitBound.recordPassedOn(valueOf(headers, TARGET_HEADER), entry.id, this._nowMs)
        onResult(status === 200 ? 'served' : 'failed', 0)
      },
      refuse: ({ kind, retryAfterMs }) => { onResult(kind === 'refuse' ? 'refused' : 'failed', retryAfterMs) }
    }
  }

  private _create (at: number, service: string): VirtualNode {
    const id = idOf(at)
    const zone = this._zoneOf(at)
    const table = this._tableOf(id, zone)
    const nowMs = (): base.Millis => this._nowMs
    const otherZoneCostMs = this._options.topology === undefined ? () => 5 : zoneCost.otherZoneCostMs
    const picker = new targetPicker.TargetPicker({ table, selfId: id, zone, random: this._random, otherZoneCostMs })
    const calls = new directCalls.DirectCalls({ table, picker, random: this._random, retryTerms: this._options.retryTerms, nodeCount: () => this._options.nodes.length, startedAtMs: 0 })
    const limits = { maxBodyBytes: 65_536, idleTimeoutMs: 15_000 }
    calls.enforce({ version: 1, routes: this._options.routes.map(({ rule }) => rule), services: [], limits, customers: this._options.customers?.map(({ rule }) => rule) })
    const nestedCalls = new nestedCall.NestedCalls(calls, DIALECT, nowMs)
    const host: targetHost.TargetHost = new targetHost.TargetHost({
      nodeId: id,
      service,
      dialect: DIALECT,
      client: () => ({ run: (request, onResult, onNotice) => this._run(node, request, onResult, onNotice), health: () => Promise.resolve(undefined), dispose: () => {} }),
      targetId: () => id,
      state: () => 'ready',
      nowMs,
      uncountedMs: () => 0,
      endsAtMs: () => Infinity,
      probe: onResult => { onResult('up') },
      newCrashId: () => '',
      crashes: noCrashes.NO_CRASHES,
      nestedCalls,
      customerWeight: customer => calls.inForce.customerWeight(customer),
      start: () => ({ targetId: id, startedAtMs: 0 }),
      events: { onTargetUnreachable: () => {}, onTargetSilent: () => {}, onTargetDisplaced: () => {}, onCallFailed: () => {}, onCallRefused: () => {}, onCallCancelled: () => {}, onTrial: () => {}, onTargetCrashed: () => {}, onTargetNotice: (_targetId, { maxCallsPerS = Infinity }) => { host.setLimit(maxCallsPerS) } }
    })
    host.setSlots(this._options.slots)
    const gate: entryGate.EntryGate = new entryGate.EntryGate({
      nodeId: id,
      service,
      calls,
      table,
      dialect: DIALECT,
      nowMs,
      send: (nodeId, call) => {
        this.sends += 1
        this._compareWait(call)
        const waitMs = this._wayMs(node, nodeId)
        if (waitMs === 0) this._nodeOf(nodeId).host.accept(gate, call)
        else this._after(waitMs, () => { this._nodeOf(nodeId).host.accept(remote, { ...call, remainingMs: call.remainingMs - waitMs, elapsedMs: call.elapsedMs + waitMs }) })
        return true
      },
      cancel: (nodeId, callId) => {
        const waitMs = this._wayMs(node, nodeId)
        if (waitMs === 0) return this._nodeOf(nodeId).host.cancel(gate, callId)
        this._after(waitMs, () => { this._nodeOf(nodeId).host.cancel(remote, callId) })
        return false
      },
      onCallEnd: () => {},
      onCallCancelled: () => {},
      limits: noLimits.NO_LIMITS,
      callsEndByMs: () => Infinity,
      suspectedMs: () => 0,
      crashes: noCrashes.NO_CRASHES,
      nestedCalls
    })
    const remote: services.IHostCaller = {
      handleHostResult: (nodeId, callId, result, load) => { this._after(this._wayMs(node, nodeId), () => { gate.handleHostResult(nodeId, callId, result, load) }) }
    }
    const node = { id, service, zone, at, table, gate, host }
    return node
  }

  private _run (node: VirtualNode, request: services.ITargetRequest, onResult: (result: types.RunResult) => void, onNotice: (notice: direct.TargetNotice) => void): services.ITargetRun {
    const ownId = request.requestId.slice(request.requestId.lastIndexOf('.') + 1)
    this.runs.push({ nodeId: node.id, atMs: this._nowMs })
    this.limitBound.recordLimit(node.id, this._limitOf(node), this._nowMs)
    this.limitBound.recordArrival(node.id, this._entries.get(ownId) ?? '', this._nowMs)
    const isRetry = this._arrivedIds.has(request.requestId)
    this._arrivedIds.add(request.requestId)
    if (isRetry) for (const bound of [this.bound, this.looseBound]) bound.recordRetry(node.service, this._nowMs)
    const rejectShare = this._options.rejectShareOf?.(node.at, this._nowMs) ?? 0
    if (rejectShare > 0 && this._random.nextFloat() < rejectShare) {
      this._after(1, () => { onResult({ kind: 'declined', status: 503, targetId: undefined }) })
      return { abort: () => {} }
    }
    const { workMs: meanMs, below } = this._routeOf(request.path)
    const workMs = this._workMs(node, meanMs)
    const beganAtMs = this._nowMs
    let hasEnded = false
    const end = (status: number): void => {
      if (!hasEnded) this._answer(node, status, this._nowMs - beganAtMs, onResult)
      hasEnded = true
    }
    this._after(workMs, () => {
      if (hasEnded) return
      onNotice({ maxCallsPerS: this._limitOf(node), isLeaving: false })
      if (below === undefined || this._random.nextFloat() >= below.share) end(200)
      else node.gate.begin(this._exchange(node, below.path, below.remainingMs ?? meanMs * 4, { parentId: request.requestId, isRetry }, result => { end(result === 'served' ? 200 : 500) }))
    })
    return {
      abort: () => {
        if (hasEnded) return
        hasEnded = true
        onResult({ kind: 'failed', reason: 'timeout', detail: 'aborted' })
      }
    }
  }

  /** Log-normal work at the speed of the target. */
  private _workMs ({ at }: VirtualNode, meanMs: base.Millis): base.Millis {
    const { workSpread = 0, speedOf } = this._options
    const speed = speedOf?.(at) ?? 1
    if (workSpread === 0) return meanMs / speed
    const sigma = Math.sqrt(Math.log(1 + workSpread ** 2))
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.nextFloat())) * Math.cos(2 * Math.PI * this._random.nextFloat())
    return meanMs / speed * Math.exp(sigma * normal - sigma ** 2 / 2)
  }

  private _answer (node: VirtualNode, status: number, serviceMs: base.Millis, onResult: (result: types.RunResult) => void): void {
    const isLost = this._random.nextFloat() < this._options.lostShare(node.service, this._nowMs)
    if (isLost) onResult({ kind: 'failed', reason: 'target-lost', detail: 'TARGET_RESET' })
    else onResult({ kind: 'answered', answer: { status, headers: [TARGET_HEADER, node.id, LIMIT_HEADER, String(this._limitOf(node))], body: undefined, isUnframed: false }, serviceMs })
  }

  private _limitOf ({ id }: VirtualNode): number {
    return this._options.limitOf?.(id, this._nowMs) ?? Infinity
  }

  private _broadcastStatus (): void {
    for (const { table } of this._nodes) {
      for (const { id, host } of this._nodes) {
        if (table.get(id)?.isConnected !== true) continue
        table.recordMessage(id, this._nowMs)
        table.updateStatus(id, { state: 'ready', load: host.load, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0, target: { targetId: id, startedAtMs: 0, isLeaving: false } }, this._nowMs)
      }
    }
  }

  private _after (delayMs: base.Millis, action: () => void): void {
    const atMs = this._nowMs + Math.max(1, Math.round(delayMs))
    const due = this._due.get(atMs) ?? []
    due.push(action)
    this._due.set(atMs, due)
  }

  private _nodeOf (id: base.NodeId): VirtualNode {
    const node = this._nodesById.get(id)
    if (node === undefined) throw new Error(`The fleet has no node ${id}.`)
    return node
  }

  private _zoneOf (at: number): string {
    return `z${at % (this._options.topology?.zones ?? 1)}`
  }

  private _wayMs (from: VirtualNode, to: base.NodeId): base.Millis {
    const { topology } = this._options
    if (topology === undefined || from.id === to) return 0
    return this._nodeOf(to).zone === from.zone ? topology.sameZoneMs : topology.otherZoneMs
  }

  private _tableOf (selfId: base.NodeId, zone: string): targetTable.TargetTable {
    const { nodes, topology } = this._options
    const table = new targetTable.TargetTable()
    nodes.forEach((service, at) => { table.put(idOf(at), this._zoneOf(at), service) })
    const known = topology === undefined ? nodes.map((_service, at) => idOf(at)) : new linkPlan.LinkPlan({ selfId, zone }).choose(table.all(), 0)
    for (const id of [selfId, ...known]) table.setConnected(id, true)
    return table
  }

  private _routeOf (path: string): virtualLoad.VirtualRoute {
    const route = this._options.routes.find(({ rule }) => path.startsWith(rule.pathPrefix))
    if (route === undefined) throw new Error(`The fleet has no route for ${path}.`)
    return route
  }
}

function idOf (at: number): base.NodeId {
  return `n${at}`
}

function valueOf (headers: types.RawHeaders, name: string): string {
  return headers[headers.indexOf(name) + 1] ?? ''
}
