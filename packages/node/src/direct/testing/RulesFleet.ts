import * as virtualRulesNode from './VirtualRulesNode.js'
import * as virtualStore from './VirtualStore.js'
import * as virtualTime from './VirtualTime.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as linkCodec from '../LinkCodec.js'

const TICK_MS = 100
/** Interval of the reports of a node to those that have a link to it. */
const STATUS_MS = 1_000
const LINK_MS = 5
/** Nodes do not tick at the same time. */
const PHASE_MS = 30

/** Nodes that get configurations from a store and from each other, in virtual time. Replaces the global timers until it is disposed. */
export class RulesFleet implements virtualRulesNode.IVirtualLinks, base.IDisposable {
  /** Reports of the newest version that nodes have sent to each other. */
  public reports = 0
  public readonly nodes: virtualRulesNode.VirtualRulesNode[] = []
  public readonly store: virtualStore.VirtualStore
  /** What happened when, one line an event. Empty unless `isTraced`. */
  public readonly trace: string[] = []
  public isTraced = false
  private readonly _time = new virtualTime.VirtualTime()
  private readonly _zones: readonly string[]
  private _started = 0

  constructor (nodeCount: number, zones: readonly string[]) {
    this._zones = zones
    this.store = new virtualStore.VirtualStore(this._time)
    for (let at = 0; at < nodeCount; at++) this.nodes.push(this._create(at))
    for (const node of this.nodes) {
      for (const { nodeId } of this.nodes) node.table.setConnected(nodeId, true)
      this._start(node)
    }
  }

  public get nowMs (): base.Millis {
    return this._time.nowMs
  }

  /** Nodes that read the store for the fleet, best first, and then the others that may. */
  public get candidates (): readonly virtualRulesNode.VirtualRulesNode[] {
    const ids = this.nodes[0]?.rules.readers.candidates ?? []
    return ids.flatMap(nodeId => this._find(nodeId) ?? [])
  }

  public run (durationMs: base.Millis): Promise<void> {
    return this._time.run(durationMs)
  }

  /** Plays an event from outside at a time from now on. */
  public after (delayMs: base.Millis, play: () => void): void {
    this._time.schedule(undefined, delayMs, play)
  }

  /** Kills the process of a node, and starts another one with an empty memory after a time. */
  public restart (nodeId: base.NodeId, downMs: base.Millis): void {
    const node = this._find(nodeId)
    if (node === undefined || node.hasEnded) return
    this.record(node, 'is killed')
    node.hasEnded = true
    node.rules.dispose()
    for (const other of this.nodes) if (other !== node) this._time.schedule(other, LINK_MS, () => { other.lose(nodeId) })
    this.after(downMs, () => {
      const at = this.nodes.indexOf(node)
      const next = this._create(at)
      this.nodes[at] = next
      this.record(next, 'starts')
      next.table.setConnected(nodeId, true)
      this._start(next)
    })
  }

  public deliver (from: virtualRulesNode.VirtualRulesNode, to: base.NodeId, message: linkCodec.LinkMessage): void {
    const receiver = this._find(to)
    if (receiver !== undefined && receiver !== from) this._pass(from, receiver, () => { receiver.receive(from.nodeId, message) })
  }

  public ping (from: virtualRulesNode.VirtualRulesNode, to: base.NodeId, onAnswer: () => void): void {
    const receiver = this._find(to)
    if (receiver !== undefined) this._pass(from, receiver, () => { this._pass(receiver, from, onAnswer) })
  }

  /** Reaches the nodes that have a link to the sender: only those that are required, as in a large fleet. */
  public broadcast (from: virtualRulesNode.VirtualRulesNode, message: linkCodec.LinkMessage, only?: string): void {
    for (const { nodeId, zone, rules } of this.nodes) {
      if (!rules.readers.requiredPeers.includes(from.nodeId) || (only !== undefined && zone !== only)) continue
      if (message.kind === 'alive') this.reports += 1
      this.deliver(from, nodeId, message)
    }
  }

  public record (node: virtualRulesNode.VirtualRulesNode, event: string): void {
    if (this.isTraced) this.trace.push(`${String(this.nowMs).padStart(6)} ms ${node.nodeId} ${event}`)
  }

  public dispose (): void {
    for (const { rules } of this.nodes) rules.dispose()
    this._time.dispose()
  }

  private _create (at: number): virtualRulesNode.VirtualRulesNode {
    const node = new virtualRulesNode.VirtualRulesNode(idOf(at), this._zoneOf(at), ++this._started, this, this.store)
    const count = Math.max(this.nodes.length, at + 1)
    for (let other = 0; other < count; other++) {
      node.table.put(idOf(other), this._zoneOf(other), 'till')
      if (at >= this.nodes.length) this.nodes[other]?.table.put(node.nodeId, node.zone, 'till')
    }
    return node
  }

  private _start (node: virtualRulesNode.VirtualRulesNode): void {
    this._time.scheduleAwaited(node, 0, () => { node.rules.start() })
    const phaseMs = this.nodes.indexOf(node) * PHASE_MS
    this._repeat(node, TICK_MS, phaseMs % TICK_MS, () => { node.tick() })
    this._repeat(node, STATUS_MS, phaseMs % STATUS_MS, () => { node.report() })
  }

  private _repeat (node: virtualRulesNode.VirtualRulesNode, intervalMs: base.Millis, phaseMs: base.Millis, play: () => void): void {
    const next = (): void => {
      play()
      this._time.schedule(node, intervalMs, next)
    }
    this._time.schedule(node, phaseMs, next)
  }

  /** Plays an event at another process when what was sent has arrived and is read. */
  private _pass (from: virtualRulesNode.VirtualRulesNode, to: virtualRulesNode.VirtualRulesNode, play: () => void): void {
    if (from.isWithoutLinks) return
    this.after(LINK_MS, () => {
      if (!to.isWithoutLinks && !from.isWithoutLinks) this._time.schedule(to, 0, play)
    })
  }

  private _find (nodeId: base.NodeId): virtualRulesNode.VirtualRulesNode | undefined {
    return this.nodes[Number(nodeId.slice(1))]
  }

  private _zoneOf (at: number): string {
    return this._zones[at % this._zones.length] ?? ''
  }
}

function idOf (at: number): base.NodeId {
  return `n${String(at).padStart(3, '0')}`
}
