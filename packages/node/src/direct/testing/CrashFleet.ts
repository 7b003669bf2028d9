import * as crashGuards from '../CrashGuard.js'
import * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import * as entryGate from '../EntryGate.js'
import * as random from '@elmpost/common/base/Random.js'
import * as nestedCall from '../NestedCalls.js'
import * as noLimits from './NoLimits.js'
import * as targetHost from '../TargetHost.js'
import * as targetPicker from '@elmpost/common/direct/TargetPicker.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as testRules from '@elmpost/common/direct/testing/Rules.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from '../LinkCodec.js'
import type * as services from '../Services.js'
import type * as types from '../Types.js'

const TICK_MS = 100
const STATUS_INTERVAL_MS = 1_000
const LINK_MS = 2
/** A harmful request ends its target so long after it has begun there. */
const CRASH_AFTER_MS = 20
const DEADLINE_MS = 1_200
const HOST = 'shop.example'
const SERVICE = 'booking'
const DIALECT = {
  targetHeaders: () => [],
  readNotice: () => ({ maxCallsPerS: Infinity, isLeaving: false }),
  entryHeaders: () => [],
  callerOf: () => 'tutor',
  customerOf: () => undefined,
  isSetByNode: () => false,
  parentIdOf: () => undefined
} as unknown as services.ICallDialect

export interface CrashFleetOptions {
  readonly nodeCount: number
  readonly slots: number
  readonly workMs: base.Millis
  readonly downMs: base.Millis
  /** Nodes that each node has links to; all if there are fewer. */
  readonly links: number
  readonly isHarmful: (path: string) => boolean
  readonly seed: number
}

/** A request that a target has begun to run. */
export interface FleetRun {
  readonly path: string
  readonly atMs: base.Millis
}

export interface FleetAnswer {
  readonly path: string
  readonly atMs: base.Millis
  readonly reason: string
}

interface RunningRequest {
  readonly request: services.ITargetRequest
  readonly onResult: (result: types.RunResult) => void
  hasEnded: boolean
}

interface FleetNode {
  readonly id: base.NodeId
  peers: Set<FleetNode>
  table: targetTable.TargetTable
  gate: entryGate.EntryGate
  host: targetHost.TargetHost
  guard: crashGuards.CrashGuard
  /** Increases with each process of the node. Nothing that was meant for an earlier one arrives. */
  process: number
  targetStart: number
  isTargetUp: boolean
  running: Set<RunningRequest>
}

/** Nodes with targets that crash, in virtual time. Each node has links to a part of the fleet, and nothing is stored. */
export class CrashFleet {
  public readonly runs: FleetRun[] = []
  public readonly answers: FleetAnswer[] = []
  /** Crashes by the path of the request that caused them, and of others that were running. */
  public readonly crashesAtMs = new Map<string, base.Millis[]>()
  public lostBeside = 0
  public nowMs: base.Millis = 0
  private readonly _options: CrashFleetOptions
  private readonly _random: random.Random
  private readonly _nodes: FleetNode[] = []
  private readonly _due = new Map<base.Millis, (() => void)[]>()
  private _nextId = 1

  constructor (options: CrashFleetOptions) {
    this._options = options
    this._random = new random.Random(options.seed)
    for (let at = 0; at < options.nodeCount; at++) this._nodes.push({ id: `n${at}`, peers: new Set(), process: 0, targetStart: 1, isTargetUp: true, running: new Set() } as unknown as FleetNode)
    for (const node of this._nodes) {
      const others = this._nodes.filter(other => other !== node)
      while (node.peers.size < Math.min(options.links, others.length)) node.peers.add(others[this._random.nextInt(others.length)] as FleetNode)
    }
    for (const node of this._nodes) this._startProcess(node)
  }

  /** Plays until then; `each` is called each millisecond. */
  public run (untilMs: base.Millis, each: () => void = () => {}): void {
    for (; this.nowMs < untilMs; this.nowMs++) {
      for (const action of this._due.get(this.nowMs) ?? []) action()
      this._due.delete(this.nowMs)
      if (this.nowMs % STATUS_INTERVAL_MS === 0) this._nodes.forEach(node => { this._sendStatus(node) })
      if (this.nowMs % TICK_MS === 0) {
        for (const { host, guard } of this._nodes) {
          host.tick()
          guard.tick()
        }
      }
      each()
    }
  }

  public dispose (): void {
    for (const { gate } of this._nodes) gate.dispose()
  }

  /** A caller at a node, chosen at random if none is given. */
  public call (path: string, at = this._random.nextInt(this._nodes.length)): void {
    const node = this._nodes[at] as FleetNode
    const answer = (reason: string): void => { this.answers.push({ path, atMs: this.nowMs, reason }) }
    node.gate.begin({
      method: 'GET',
      host: HOST,
      path,
      headers: ['Host', HOST],
      body: undefined,
      info: { requestId: `r${this._nextId++}`, remainingMs: DEADLINE_MS },
      waitedMs: 0,
      acceptWaitMs: 0,
      answer: ({ status }) => { answer(String(status)) },
      refuse: ({ reason }) => { answer(reason) }
    })
  }

  /** Kills the process of a node. Its target goes on, and the next process knows nothing. */
  public killNode (at: number): void {
    const node = this._nodes[at] as FleetNode
    node.gate.dispose()
    node.running.clear()
    this._startProcess(node)
  }

  public killTarget (at: number): void {
    this._crash(this._nodes[at] as FleetNode, undefined)
  }

  private _startProcess (node: FleetNode): void {
    const { id } = node
    const nowMs = (): base.Millis => this.nowMs
    const table = new targetTable.TargetTable()
    for (const other of [node, ...node.peers]) {
      table.put(other.id, 'vake', SERVICE)
      table.setConnected(other.id, true)
    }
    node.process += 1
    node.table = table
    const send = (to: FleetNode, message: linkCodec.LinkMessage): void => {
      this._deliver(to, () => { if (message.kind === 'nodes') to.guard.recordReports(message.crashes ?? []) })
    }
    const linkedTo = (): FleetNode[] => this._nodes.filter(({ peers }) => peers.has(node))
    const guard = new crashGuards.CrashGuard({
      dialect: DIALECT,
      service: SERVICE,
      nowMs,
      timeOfDayMs: nowMs,
      callLog: { log: () => {} },
      links: () => ({
        broadcast: message => { for (const other of linkedTo()) send(other, message) },
        sendToSome: (message, count) => {
          const peers = [...node.peers]
          for (let sent = 0; sent < count && peers.length > 0; sent++) send(peers.splice(this._random.nextInt(peers.length), 1)[0] as FleetNode, message)
        }
      }),
      onOwnCrash: () => {}
    })
    node.guard = guard
    const picker = new targetPicker.TargetPicker({ table, selfId: id, zone: 'vake', random: this._random, otherZoneCostMs: () => 5 })
    const calls = new directCalls.DirectCalls({ table, picker, random: this._random, retryTerms: { ratio: 0.2, slack: 1_000, windowMs: 10_000 }, nodeCount: () => this._nodes.length, startedAtMs: -10_000 })
    calls.enforce(testRules.rules([testRules.route({ name: 'browse', host: HOST, pathPrefix: '/', parts: [{ service: SERVICE, weight: 1 }], timeoutMs: DEADLINE_MS })]))
    const nestedCalls = new nestedCall.NestedCalls(calls, DIALECT, nowMs)
    node.host = new targetHost.TargetHost({
      nodeId: id,
      service: SERVICE,
      dialect: DIALECT,
      client: () => ({ run: (request, onResult) => this._run(node, request, onResult), health: () => Promise.resolve(undefined), dispose: () => {} }),
      targetId: () => `${id}-${node.targetStart}`,
      state: () => node.isTargetUp ? 'ready' : 'down',
      nowMs,
      uncountedMs: () => 0,
      endsAtMs: () => Infinity,
      probe: onResult => { onResult(node.isTargetUp ? 'up' : 'refused') },
      newCrashId: () => `${id}-${node.targetStart}`,
      crashes: guard,
      nestedCalls,
      customerWeight: customer => calls.inForce.customerWeight(customer),
      start: () => ({ targetId: `${id}-${node.targetStart}`, startedAtMs: node.targetStart }),
      events: { onTargetUnreachable: () => {}, onTargetSilent: () => {}, onTargetDisplaced: () => {}, onCallFailed: () => {}, onCallRefused: () => {}, onCallCancelled: () => {}, onTrial: () => {}, onTargetCrashed: () => {}, onTargetNotice: () => {} }
    })
    node.host.setSlots(this._options.slots)
    node.gate = new entryGate.EntryGate({
      nodeId: id,
      service: 'tutor',
      calls,
      table,
      dialect: DIALECT,
      nowMs,
      send: (to, call) => this._sendCall(node, to, call),
      cancel: (to, callId) => to === id && node.host.cancel(node.gate, callId),
      onCallEnd: () => {},
      onCallCancelled: () => {},
      limits: noLimits.NO_LIMITS,
      callsEndByMs: () => Infinity,
      suspectedMs: () => 0,
      crashes: guard,
      nestedCalls
    })
    for (const other of this._nodes) if (other !== node && other.process > 0) this._sendStatus(other)
    // Each side of a link tells the other what it knows.
    for (const other of new Set([...node.peers, ...linkedTo()])) if (other.process > 0) other.guard.greet(message => { send(node, message) })
    this._sendStatus(node)
  }

  private _sendCall (from: FleetNode, to: base.NodeId, call: types.CallMessage): boolean {
    const host = this._nodes.find(({ id }) => id === to) as FleetNode
    const { gate } = from
    if (host === from) {
      host.host.accept(gate, call)
      return true
    }
    const caller = { handleHostResult: (...result: Parameters<services.IHostCaller['handleHostResult']>) => { this._deliver(from, () => { gate.handleHostResult(...result) }) } }
    this._deliver(host, () => { host.host.accept(caller, call) })
    return true
  }

  private _run (node: FleetNode, request: services.ITargetRequest, onResult: (result: types.RunResult) => void): services.ITargetRun {
    if (!node.isTargetUp) {
      onResult({ kind: 'unreachable', code: 'ECONNREFUSED' })
      return { abort: () => {} }
    }
    const run: RunningRequest = { request, onResult, hasEnded: false }
    node.running.add(run)
    this.runs.push({ path: request.path, atMs: this.nowMs })
    const { workMs, isHarmful } = this._options
    const { process } = node
    const end = (result: types.RunResult): void => {
      if (run.hasEnded || node.process !== process) return
      run.hasEnded = true
      node.running.delete(run)
      onResult(result)
    }
    this._after(isHarmful(request.path) ? CRASH_AFTER_MS : workMs, () => {
      if (run.hasEnded || !node.isTargetUp) return
      if (isHarmful(request.path)) this._crash(node, run)
      else end({ kind: 'answered', answer: { status: 200, headers: [], body: undefined, isUnframed: false }, serviceMs: workMs })
    })
    return { abort: () => { end({ kind: 'failed', reason: 'timeout', detail: 'aborted' }) } }
  }

  private _crash (node: FleetNode, cause: RunningRequest | undefined): void {
    if (!node.isTargetUp) return
    const lost = [...node.running]
    node.running.clear()
    node.isTargetUp = false
    const path = cause?.request.path ?? ''
    this.crashesAtMs.set(path, [...this.crashesAtMs.get(path) ?? [], this.nowMs])
    this.lostBeside += lost.filter(({ request }) => !this._options.isHarmful(request.path)).length
    for (const run of lost) run.hasEnded = true
    for (const run of lost) run.onResult({ kind: 'failed', reason: 'target-lost', detail: 'TARGET_RESET' })
    this._sendStatus(node)
    this._after(this._options.downMs, () => {
      node.isTargetUp = true
      node.targetStart += 1
      node.host.handleNewStart()
      this._sendStatus(node)
    })
  }

  private _sendStatus (node: FleetNode): void {
    const status: direct.HostStatus = { state: node.isTargetUp ? 'ready' : 'down', load: node.host.load, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }
    for (const other of this._nodes) {
      if (other.process === 0) continue
      other.table.recordMessage(node.id, this.nowMs)
      if (other === node || other.peers.has(node)) other.table.updateStatus(node.id, status, this.nowMs)
    }
  }

  /** A message for the process that the node has now. */
  private _deliver (to: FleetNode, action: () => void): void {
    const { process } = to
    this._after(LINK_MS, () => { if (to.process === process) action() })
  }

  private _after (delayMs: base.Millis, action: () => void): void {
    const atMs = this.nowMs + Math.max(1, delayMs)
    const due = this._due.get(atMs) ?? []
    due.push(action)
    this._due.set(atMs, due)
  }
}
