import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'

/** The part of a node that the network uses. */
export interface INetworkNode {
  readonly nodeId: base.NodeId
  readonly address: string
  readonly zone: string
  tick(nowMs: base.Millis): void
  receive(from: base.NodeId, message: messages.ControlMessage, nowMs: base.Millis): void
  /** Returns the effects produced since the last call. */
  drain(): readonly messages.Effect[]
}

/** Executes the log effects of nodes. */
export interface ILogPort {
  handleEffect(node: INetworkNode, effect: messages.Effect, network: FakeNetwork): void
}

export interface FakeNetworkOptions {
  readonly random: base.IRandom
  readonly startMs: base.Millis
  readonly tickMs?: base.Millis
  /** Latency of one message. */
  readonly delayMs?: (from: INetworkNode, to: INetworkNode) => base.Millis
  /** Whether a message is lost. */
  readonly isLost?: (from: INetworkNode, to: INetworkNode, message: messages.ControlMessage) => boolean
  /** Called with each message that is sent, lost ones included. */
  readonly onSend?: (from: INetworkNode, to: INetworkNode, message: messages.ControlMessage) => void
  readonly log?: ILogPort
}

const TICK_MS = 100

/** Steps node cores in virtual time, with a queue of messages that may be delayed, lost or reordered. Uses no platform timers. */
export class FakeNetwork {
  public isLost: (from: INetworkNode, to: INetworkNode, message: messages.ControlMessage) => boolean
  public delayMs: (from: INetworkNode, to: INetworkNode) => base.Millis
  /** Replaces each message before its delivery. */
  public rewrite: (message: messages.ControlMessage) => messages.ControlMessage = message => message
  private readonly _options: FakeNetworkOptions
  private readonly _tickMs: base.Millis
  private readonly _events = new Map<base.Millis, (() => void)[]>()
  private readonly _nodes = new Map<base.NodeId, INetworkNode>()
  private readonly _byAddress = new Map<string, INetworkNode>()
  private readonly _ticking: Set<INetworkNode>[]
  private readonly _paused = new Map<INetworkNode, (() => void)[]>()
  private _nowMs: base.Millis

  constructor (options: FakeNetworkOptions) {
    this._options = options
    this._nowMs = options.startMs
    this._tickMs = options.tickMs ?? TICK_MS
    this._ticking = Array.from({ length: this._tickMs }, () => new Set<INetworkNode>())
    this.isLost = options.isLost ?? (() => false)
    this.delayMs = options.delayMs ?? (() => 1)
  }

  public get nowMs (): base.Millis {
    return this._nowMs
  }

  public add (node: INetworkNode): void {
    this._nodes.set(node.nodeId, node)
    this._byAddress.set(node.address, node)
    this._ticking[this._options.random.nextInt(this._tickMs)]?.add(node)
  }

  /** Ends a node at once, like a killed process. Messages to it are lost. */
  public remove (node: INetworkNode): void {
    if (this._nodes.get(node.nodeId) === node) this._nodes.delete(node.nodeId)
    if (this._byAddress.get(node.address) === node) this._byAddress.delete(node.address)
    for (const nodes of this._ticking) nodes.delete(node)
    this._paused.delete(node)
  }

  /** Suspends a node, like a stalled process. Messages to it are queued until `resume`. */
  public pause (node: INetworkNode): void {
    this._paused.set(node, [])
  }

  /** Resumes a paused node. Its timers run before it receives the queued messages, as in a real process. */
  public resume (node: INetworkNode): void {
    const queued = this._paused.get(node) ?? []
    this._paused.delete(node)
    node.tick(this._nowMs)
    this.flush(node)
    for (const deliver of queued) deliver()
  }

  public isRunning (node: INetworkNode): boolean {
    return this._nodes.get(node.nodeId) === node
  }

  /** Runs an action after `delayMs` of virtual time. */
  public schedule (delayMs: base.Millis, action: () => void): void {
    const atMs = this._nowMs + Math.max(1, Math.floor(delayMs))
    const actions = this._events.get(atMs)
    if (actions === undefined) this._events.set(atMs, [action])
    else actions.push(action)
  }

  public advance (durationMs: base.Millis): void {
    const endMs = this._nowMs + durationMs
    while (this._nowMs < endMs) this._step()
  }

  /** Advances until the condition holds, checked once per tick. Returns whether it held within `maxMs`. */
  public advanceUntil (condition: () => boolean, maxMs: base.Millis): boolean {
    const endMs = this._nowMs + maxMs
    while (!condition()) {
      if (this._nowMs >= endMs) return false
      this.advance(this._tickMs)
    }
    return true
  }

  /** Executes the pending effects of a node. Call this after calling the node from outside the network. */
  public flush (node: INetworkNode): void {
    for (const effect of node.drain()) {
      if (effect.kind === 'send') this._send(node, effect.to, effect.address, effect.message)
      else this._options.log?.handleEffect(node, effect, this)
    }
  }

  private _step (): void {
    this._nowMs += 1
    const actions = this._events.get(this._nowMs)
    this._events.delete(this._nowMs)
    for (const action of actions ?? []) action()
    for (const node of this._ticking[this._nowMs % this._tickMs] ?? []) {
      if (this._paused.has(node)) continue
      node.tick(this._nowMs)
      this.flush(node)
    }
  }

  private _send (from: INetworkNode, to: base.NodeId, address: string, message: messages.ControlMessage): void {
    const target = to === '' ? this._byAddress.get(address) : this._nodes.get(to)
    if (target === undefined) return
    this._options.onSend?.(from, target, message)
    if (this.isLost(from, target, message)) return
    const delivered = this.rewrite(message)
    this.schedule(this.delayMs(from, target), () => this._deliver(from.nodeId, target, delivered))
  }

  private _deliver (from: base.NodeId, target: INetworkNode, message: messages.ControlMessage): void {
    if (!this.isRunning(target)) return
    const deliver = (): void => {
      target.receive(from, message, this._nowMs)
      this.flush(target)
    }
    const queued = this._paused.get(target)
    if (queued === undefined) deliver()
    else queued.push(deliver)
  }
}
