import * as crashTable from '@elmpost/common/hosting/CrashTable.js'
import * as hostCalls from '@elmpost/common/hosting/HostCalls.js'
import * as keys from '@elmpost/common/hosting/Keys.js'
import * as ownershipTable from '@elmpost/common/hosting/OwnershipTable.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import * as windowCodec from '@elmpost/common/hosting/WindowCodec.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as delegateSelector from '@elmpost/common/node/DelegateSelector.js'
import * as entryCalls from '@elmpost/common/routing/EntryCalls.js'
import * as fakeMesh from '@elmpost/common/routing/FakeMesh.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import * as targetSelector from '@elmpost/common/routing/TargetSelector.js'
import type * as baselinePolicy from './BaselinePolicy.js'
import * as institutions from './institutions.js'
import * as hostModel from './HostModel.js'
import type * as modelFleet from './ModelFleet.js'
import type * as types from './Types.js'

const TICK_INTERVAL_MS = 100

const CONNECT_MS = 1

/** Times after which the members mark a killed node as suspect and as dead. */
const SUSPECT_AFTER_MS = 500
const DEAD_AFTER_MS = 3_500

/** Share of non-idempotent calls whose caller supplies the key. */
const SUPPLIED_KEY_SHARE = 0.5

const INCARNATION = 1

const HORIZON_MS = 600_000

type Send = Extract<routing.EntryDecision, { kind: 'send' }>

interface EntryNode {
  readonly node: modelFleet.ModelNode
  readonly calls: entryCalls.EntryCalls
  readonly selector: targetSelector.TargetSelector
  readonly host: hostModel.HostModel
  readonly pending: Map<number, PendingCall>
}

interface PendingCall {
  readonly call: types.ClientCall
  readonly reply: (end: types.CallEnd) => void
  to: modelFleet.ModelNode | undefined
}

/** Answer of an unreachable delegate: the call was not sent, so it has not run. */
const NOT_SENT: hosting.FinalAnswer = { outcome: 'not-run', reason: 'no-target', status: 0, headers: {}, body: undefined, retryAfterMs: 0 }

/** Runs the `EntryCalls`, `TargetSelector` and `HostCalls` of every node with modelled connections and targets. */
export class ElmpostPolicy implements baselinePolicy.IPolicy {
  private readonly _options: baselinePolicy.PolicyOptions
  private readonly _mesh: fakeMesh.FakeMesh
  private readonly _table = new ownershipTable.OwnershipTable()
  private readonly _calls = new Map<string, types.ClientCall>()
  private readonly _entries = new Map<string, EntryNode>()
  private readonly _peerConnections = new Set<string>()

  constructor (options: baselinePolicy.PolicyOptions) {
    this._options = options
    const rows = options.fleet.nodes.map(node => fakeMesh.rowOf({ nodeId: node.nodeId, zone: node.zone, service: node.service.name }))
    this._mesh = new fakeMesh.FakeMesh(rows, institutions.documentOf(options.institution))
    for (const [index, node] of options.fleet.nodes.entries()) this._addEntry(node, rows[index])
    this._assignPartitions()
    this._scheduleTick()
  }

  public submit (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void {
    const entryNode = this._entryOf(entry)
    const { institution, events } = this._options
    const number = `${this._calls.size}`
    this._calls.set(number, call)
    const decision = entryNode.calls.begin({
      method: call.route.method,
      path: call.route.path,
      // This number is also the fingerprint of the call, by which its runs are counted.
      headers: { number },
      body: undefined,
      remainingMs: institution.deadlineMs - 2 * institution.clientDelayMs,
      key: this._suppliedKey(call),
      depth: 0,
      attempt: 1
    }, events.nowMs)
    entryNode.pending.set(decision.callId, { call, reply, to: undefined })
    this._execute(entryNode, decision)
  }

  public handleFault (node: modelFleet.ModelNode): void {
    if (!node.isDead) return
    const { events, fleet } = this._options
    for (const pending of this._entryOf(node).pending.values()) pending.reply('unknown')
    this._entryOf(node).pending.clear()
    for (const entry of this._entries.values()) {
      events.after(fleet.delayMs(entry.node, node), () => { this._handleConnectionLost(entry, node) })
    }
    events.after(SUSPECT_AFTER_MS, () => { this._mesh.put({ nodeId: node.nodeId, state: 'suspect' }) })
    events.after(DEAD_AFTER_MS, () => { this._mesh.put({ nodeId: node.nodeId, state: 'dead' }) })
  }

  /** Assigns the partitions of each service to its nodes in turn. */
  private _assignPartitions (): void {
    const { institution, fleet, events } = this._options
    const services = institution.services.flatMap(service => {
      const nodes = fleet.targetsOf(service)
      return windowCodec.pack(Array.from({ length: keys.PARTITIONS }, (_, partition) => ({
        service: service.name,
        partition,
        startsAtMs: 0,
        owner: { nodeId: nodes[partition % nodes.length]?.nodeId ?? '', incarnation: INCARNATION }
      })))
    })
    this._table.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services }, 0)
    this._table.apply({ kind: 'horizon', untilMs: events.nowMs + HORIZON_MS }, 1)
  }

  private _addEntry (node: modelFleet.ModelNode, self: membership.MemberRow | undefined): void {
    if (self === undefined) return
    const mesh = this._mesh
    const view = {
      self,
      onChange: mesh.onChange,
      get: (nodeId: string) => mesh.get(nodeId),
      targetsOf: (service: string) => mesh.targetsOf(service)
    }
    const common = { membership: view, enforcement: mesh, random: this._options.random }
    const selector = new targetSelector.TargetSelector(common)
    const calls = new entryCalls.EntryCalls({ ...common, ownership: this._table, selector, fingerprint: request => request.headers.number ?? '' })
    const host = this._makeHost(node, self, selector)
    this._entries.set(node.nodeId, { node, calls, selector, host, pending: new Map() })
  }

  private _makeHost (node: modelFleet.ModelNode, self: membership.MemberRow, selector: targetSelector.TargetSelector): hostModel.HostModel {
    const host = new hostCalls.HostCalls({
      self: { nodeId: node.nodeId, incarnation: INCARNATION },
      currentIncarnation: () => INCARNATION,
      service: node.service.name,
      startedAtMs: 0,
      configuration: () => this._mesh.current?.document,
      targetReady: () => !node.isDead,
      table: this._table,
      isCaughtUp: () => true,
      crashes: new crashTable.CrashTable(),
      delegates: new delegateSelector.DelegateSelector({ membership: { self, get: nodeId => this._mesh.get(nodeId) }, selector, slotsOf: () => node.service.slots })
    })
    return new hostModel.HostModel({
      events: this._options.events,
      node,
      host,
      delegate: (to, message, reply) => { this._delegate(this._entryOf(node), to, message, reply) },
      onRun: message => {
        const call = this._calls.get(message.fingerprint)
        if (call !== undefined) call.runs += 1
      }
    })
  }

  private _entryOf (node: modelFleet.ModelNode): EntryNode {
    const entry = this._entries.get(node.nodeId)
    if (entry === undefined) throw new Error(`Node ${node.nodeId} is not part of the fleet; pass nodes of the same run.`)
    return entry
  }

  private _suppliedKey (call: types.ClientCall): string | undefined {
    const { random, events } = this._options
    if (call.route.idempotent || random.nextFloat() >= SUPPLIED_KEY_SHARE) return undefined
    return fakeMesh.keyOf(events.nowMs, random)
  }

  private _scheduleTick (): void {
    this._options.events.after(TICK_INTERVAL_MS, () => {
      for (const entry of this._entries.values()) {
        entry.host.tick()
        for (const decision of entry.calls.tick(this._options.events.nowMs)) this._execute(entry, decision)
      }
      this._scheduleTick()
    })
  }

  private _handleConnectionLost (entry: EntryNode, node: modelFleet.ModelNode): void {
    for (const [callId, pending] of [...entry.pending]) {
      if (pending.to === node) this._execute(entry, entry.calls.handleFailure(callId, 'peer-lost', this._options.events.nowMs, node.nodeId))
    }
  }

  private _execute (entry: EntryNode, decision: routing.EntryDecision | undefined): void {
    if (decision === undefined) return
    const pending = entry.pending.get(decision.callId)
    if (pending === undefined) return
    if (decision.kind === 'send') {
      this._send(entry, pending, decision)
      return
    }
    entry.pending.delete(decision.callId)
    pending.reply(endOf(decision.answer))
  }

  private _send (entry: EntryNode, pending: PendingCall, send: Send): void {
    const { events, fleet } = this._options
    const host = this._entries.get(send.to)
    if (host === undefined) return
    pending.call.sends += 1
    pending.to = host.node
    if (host.node.isDead) {
      events.after(0, () => { this._execute(entry, entry.calls.handleFailure(send.callId, 'not-sent', events.nowMs, send.to)) })
      return
    }
    const delayMs = fleet.delayMs(entry.node, host.node)
    const sentAtMs = events.nowMs
    events.after(delayMs + this._connectMs(entry, host), () => {
      const message = callMessageOf(pending.call, send, sentAtMs, send.deadlineAtMs - events.nowMs)
      host.host.accept(entry.node.nodeId, message, answer => {
        const load = host.host.load
        events.after(delayMs, () => {
          const message = fakeMesh.answerOf(send.callId, { ...answer, load })
          this._execute(entry, entry.calls.handleAnswer(send.callId, send.to, message, events.nowMs))
        })
      })
    })
  }

  /** Sends a keyed call from its owner to the node that runs it, and returns the answer. */
  private _delegate (owner: EntryNode, to: string, message: messages.CallMessage, reply: hostModel.Reply): void {
    const { events, fleet } = this._options
    const other = this._entries.get(to)
    if (other === undefined) return
    if (other.node.isDead) {
      events.after(0, () => { reply(NOT_SENT) })
      return
    }
    const delayMs = fleet.delayMs(owner.node, other.node)
    events.after(delayMs, () => {
      const arrived = { ...message, remainingMs: message.remainingMs - delayMs }
      other.host.accept(owner.node.nodeId, arrived, answer => {
        const load = other.host.load
        events.after(delayMs, () => { reply(answer, load) })
      })
    })
  }

  private _connectMs (entry: EntryNode, host: EntryNode): number {
    const pair = `${entry.node.nodeId}>${host.node.nodeId}`
    if (entry === host || this._peerConnections.has(pair)) return 0
    this._peerConnections.add(pair)
    return CONNECT_MS
  }
}

function callMessageOf (call: types.ClientCall, send: Send, sentAtMs: number, remainingMs: number): messages.CallMessage {
  return {
    kind: 'call',
    callId: send.callId,
    route: send.route.name,
    service: send.route.service,
    version: send.version,
    method: call.route.method,
    path: call.route.path,
    headers: {},
    body: undefined,
    remainingMs,
    sentAtMs,
    key: send.key,
    fingerprint: send.fingerprint,
    depth: 0,
    attempt: send.attempt
  }
}

function endOf (answer: hosting.FinalAnswer): types.CallEnd {
  if (answer.outcome === 'not-run') return 'refused'
  if (answer.outcome === 'unknown') return 'unknown'
  return answer.status < 500 ? 'answered' : 'failed'
}
