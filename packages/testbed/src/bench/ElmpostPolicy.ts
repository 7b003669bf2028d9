import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as entryCalls from '@elmpost/common/routing/EntryCalls.js'
import * as fakeMesh from '@elmpost/common/routing/FakeMesh.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import * as targetSelector from '@elmpost/common/routing/TargetSelector.js'
import type * as baselinePolicy from './BaselinePolicy.js'
import * as institutions from './institutions.js'
import type * as modelFleet from './ModelFleet.js'
import type * as types from './Types.js'

const TICK_MS = 100

const CONNECTION_MS = 1

/** Times after which the members see a killed node as suspect and as dead. */
const SUSPECT_AFTER_MS = 500
const DEAD_AFTER_MS = 3_500

/** Share of non-idempotent calls whose caller supplies the key. */
const SUPPLIED_KEY_SHARE = 0.5

type Send = Extract<routing.EntryDecision, { kind: 'send' }>

interface EntryNode {
  readonly node: modelFleet.ModelNode
  readonly calls: entryCalls.EntryCalls
  readonly selector: targetSelector.TargetSelector
  readonly pending: Map<number, PendingCall>
}

interface PendingCall {
  readonly call: types.ClientCall
  readonly reply: (end: types.CallEnd) => void
  to: modelFleet.ModelNode | undefined
}

/** What a host node answers. */
type HostAnswer = Pick<messages.AnswerMessage, 'outcome' | 'reason' | 'status'>

const overloaded: HostAnswer = { outcome: 'not-run', reason: 'overloaded', status: 503 }
const lost: HostAnswer = { outcome: 'unknown', reason: 'target-lost', status: 502 }

/** Real EntryCalls and TargetSelector of every node against a model of the hosts. */
export class ElmpostPolicy implements baselinePolicy.IPolicy {
  private readonly _options: baselinePolicy.PolicyOptions
  private readonly _mesh: fakeMesh.FakeMesh
  private readonly _entries = new Map<string, EntryNode>()
  private readonly _peerConnections = new Set<string>()

  constructor (options: baselinePolicy.PolicyOptions) {
    this._options = options
    const rows = options.fleet.nodes.map(node => fakeMesh.rowOf({ nodeId: node.nodeId, zone: node.zone, service: node.service.name }))
    this._mesh = new fakeMesh.FakeMesh(rows, institutions.documentOf(options.institution))
    for (const [index, node] of options.fleet.nodes.entries()) this._addEntry(node, rows[index])
    this._scheduleTick()
  }

  public submit (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void {
    const entryNode = this._entry(entry)
    const { institution, events } = this._options
    const decision = entryNode.calls.begin({
      method: call.route.method,
      path: call.route.path,
      headers: {},
      body: undefined,
      remainingMs: institution.deadlineMs - 2 * institution.clientDelayMs,
      key: this._suppliedKey(call),
      depth: 0,
      attempt: 1
    }, events.nowMs)
    entryNode.pending.set(decision.callId, { call, reply, to: undefined })
    this._carryOut(entryNode, decision)
  }

  public broken (node: modelFleet.ModelNode): void {
    if (node.fault !== 'killed') return
    const { events, fleet } = this._options
    for (const pending of this._entry(node).pending.values()) pending.reply('unknown')
    this._entry(node).pending.clear()
    for (const entry of this._entries.values()) {
      events.after(fleet.delayMs(entry.node, node), () => { this._connectionLost(entry, node) })
    }
    events.after(SUSPECT_AFTER_MS, () => { this._mesh.put({ nodeId: node.nodeId, state: 'suspect' }) })
    events.after(DEAD_AFTER_MS, () => { this._mesh.put({ nodeId: node.nodeId, state: 'dead' }) })
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
    const calls = new entryCalls.EntryCalls({ ...common, ownership: mesh, selector, fingerprint: () => '' })
    this._entries.set(node.nodeId, { node, calls, selector, pending: new Map() })
  }

  private _entry (node: modelFleet.ModelNode): EntryNode {
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
    this._options.events.after(TICK_MS, () => {
      for (const entry of this._entries.values()) {
        for (const decision of entry.calls.tick(this._options.events.nowMs)) this._carryOut(entry, decision)
      }
      this._scheduleTick()
    })
  }

  private _connectionLost (entry: EntryNode, node: modelFleet.ModelNode): void {
    for (const [callId, pending] of [...entry.pending]) {
      if (pending.to === node) this._carryOut(entry, entry.calls.failed(callId, 'peer-lost', this._options.events.nowMs, node.nodeId))
    }
  }

  private _carryOut (entry: EntryNode, decision: routing.EntryDecision | undefined): void {
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
    if (host.node.queue.isDead) {
      events.after(0, () => { this._carryOut(entry, entry.calls.failed(send.callId, 'not-sent', events.nowMs, send.to)) })
      return
    }
    const delayMs = fleet.delayMs(entry.node, host.node)
    const answer = (result: HostAnswer): void => {
      const load = host.node.queue.load
      events.after(delayMs, () => {
        const message = fakeMesh.answerOf(send.callId, { ...result, load, retryAfterMs: 100 })
        this._carryOut(entry, entry.calls.answered(send.callId, send.to, message, events.nowMs))
      })
    }
    events.after(delayMs + this._peerConnectionMs(entry, host), () => { this._accept(host, pending.call, send, answer) })
  }

  private _peerConnectionMs (entry: EntryNode, host: EntryNode): number {
    const pair = `${entry.node.nodeId}>${host.node.nodeId}`
    if (entry === host || this._peerConnections.has(pair)) return 0
    this._peerConnections.add(pair)
    return CONNECTION_MS
  }

  /** The owner of a key may let a less loaded node run the call; it stays the owner and passes the answer on. */
  private _accept (host: EntryNode, call: types.ClientCall, send: Send, answer: (result: HostAnswer) => void): void {
    const { events, fleet } = this._options
    const load = host.node.queue.load
    if (send.key === undefined || load.inFlight < load.slots) {
      this._run(host, call, send.deadlineAtMs, answer)
      return
    }
    const nodeId = host.selector.select(call.service.name, new Set([host.node.nodeId]), events.nowMs)
    const other = this._entries.get(nodeId ?? '')
    const ownUtilization = (load.inFlight + load.queued) / load.slots
    if (other === undefined || other.node.queue.isDead || host.selector.utilizationOf(other.node.nodeId, load.slots, events.nowMs) >= ownUtilization) {
      this._run(host, call, send.deadlineAtMs, answer)
      return
    }
    host.selector.sent(other.node.nodeId, events.nowMs)
    const delayMs = fleet.delayMs(host.node, other.node)
    events.after(delayMs, () => {
      this._run(other, call, send.deadlineAtMs, result => {
        const otherLoad = other.node.queue.load
        events.after(delayMs, () => {
          host.selector.observe(other.node.nodeId, result.outcome === 'answered' ? 'success' : 'refused', otherLoad, events.nowMs)
          answer(result)
        })
      })
    })
  }

  private _run (host: EntryNode, call: types.ClientCall, deadlineAtMs: number, answer: (result: HostAnswer) => void): void {
    const { events } = this._options
    const queue = host.node.queue
    if (queue.isDead) return
    const isTaken = queue.offer({
      deadlineAtMs,
      onStart: () => { call.runs += 1 },
      onDropped: () => { answer(overloaded) },
      onEnd: status => {
        answer(status === 0 ? lost : { outcome: 'answered', reason: 'ok', status })
      }
    }, deadlineAtMs - events.nowMs, this._options.institution.maxQueueMs)
    if (!isTaken) answer(overloaded)
  }
}

function endOf (answer: hosting.FinalAnswer): types.CallEnd {
  if (answer.outcome === 'not-run') return 'refused'
  if (answer.outcome === 'unknown') return 'unknown'
  return answer.status < 500 ? 'answered' : 'failed'
}
