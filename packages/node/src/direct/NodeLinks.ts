import * as connectionLimits from '../ConnectionLimits.js'
import * as bodyIntake from './BodyIntake.js'
import * as incomingLink from './IncomingLink.js'
import * as linkCodec from './LinkCodec.js'
import * as linkTraffic from './LinkTraffic.js'
import * as outgoingLink from './OutgoingLink.js'
import * as readAheads from '../ReadAhead.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as bodyMemory from './BodyMemory.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import type * as types from './Types.js'
import type * as ws from 'ws'

/** A cancellation stands behind its call on the same connection, and is read in the same turn of the event loop if it has arrived. */
const READ_AHEAD_TURNS = 1
/** Largest message on a link, in both directions. */
export const MAX_MESSAGE_BYTES = outgoingLink.MAX_MESSAGE_BYTES

export interface NodeLinksOptions {
  readonly selfId: base.NodeId
  /** Greeting for another node, or what all nodes are told. */
  readonly hello: (nodeId?: base.NodeId) => linkCodec.HelloMessage
  readonly nowMs: () => base.Millis
  readonly stalls: stallWatch.StallWatch
  readonly random: base.IRandom
  readonly host: services.IOfferedHost
  readonly bodies: bodyMemory.BodyMemory
  /** Capacity of this VM's link, in Mbit/s; 0 if it is not known. */
  readonly linkMbps: number
  /** Whether the configuration has calls with long bodies, which other nodes may offer. */
  readonly takesOffers: () => boolean
  readonly limits?: connectionLimits.ConnectionLimits
  readonly events: INodeLinksEvents
}

export interface INodeLinksEvents {
  /** Whether calls can be sent to the node has changed. */
  handleConnectionChange(nodeId: base.NodeId, isConnected: boolean): void
  /** Another node has opened a link to this one. */
  handleHello(hello: linkCodec.HelloMessage, reply: (message: linkCodec.LinkMessage) => void): void
  /** The link was lost. Its calls have no result and may have run. */
  handleLost(nodeId: base.NodeId, callIds: readonly number[]): void
  /** The node has been silent for too long. Results of its calls may still arrive. */
  handleSilent(nodeId: base.NodeId, callIds: readonly number[]): void
  handleResult(nodeId: base.NodeId, message: linkCodec.LinkMessage & { readonly kind: 'result' }): void
  /** A message other than a call, a cancellation or a result was received. */
  handleMessage(nodeId: base.NodeId, message: linkCodec.LinkMessage, reply: (message: linkCodec.LinkMessage) => void): void
  handleMalformed(nodeId: base.NodeId, error: Error): void
}

/** A call that was read and not begun. */
interface ReadCall {
  readonly link: incomingLink.IncomingLink
  readonly call: types.CallMessage
  /** Length of the body if it is sent on request; 0 otherwise. */
  readonly offeredBytes: number
  readonly readAtMs: base.Millis
  /** How long it may have waited before it was read. */
  readonly waitedMs: base.Millis
}

/** All connections of a node to other nodes: those that it opened for its own calls, and those that other nodes opened for theirs. */
export class NodeLinks implements outgoingLink.IOutgoingLinkEvents, incomingLink.IIncomingLinkEvents, base.IDisposable {
  public readonly traffic = new linkTraffic.LinkTraffic()
  private readonly _options: NodeLinksOptions
  private readonly _limits: connectionLimits.ConnectionLimits
  private readonly _codec = new linkCodec.LinkCodec()
  private readonly _outgoing = new Map<base.NodeId, outgoingLink.OutgoingLink>()
  private readonly _incoming = new Set<incomingLink.IncomingLink>()
  private readonly _held: readAheads.ReadAhead<ReadCall>
  private readonly _intake: bodyIntake.BodyIntake
  /** Nodes at the other end of these have been told that this one takes offers. */
  private readonly _told = new WeakSet<incomingLink.IncomingLink>()
  private readonly _heldOf = new Map<incomingLink.IncomingLink, Map<number, ReadCall>>()

  constructor (options: NodeLinksOptions) {
    this._options = options
    this._limits = options.limits ?? new connectionLimits.ConnectionLimits()
    this._intake = new bodyIntake.BodyIntake({ ...options, nodeId: options.selfId })
    this._held = new readAheads.ReadAhead<ReadCall>({ nowMs: options.nowMs, turns: READ_AHEAD_TURNS, isReading: () => false, begin: call => { this._begin(call) } })
  }

  /** Calls of other nodes that have been read and not begun, or whose bodies have not arrived. */
  public get heldCalls (): number {
    return this._held.size + this._intake.size
  }

  /** Opens a link to the node and keeps it open. */
  public connect (nodeId: base.NodeId): void {
    if (nodeId === this._options.selfId || this._outgoing.has(nodeId)) return
    const { hello, nowMs, stalls, random } = this._options
    this._outgoing.set(nodeId, new outgoingLink.OutgoingLink({ nodeId, codec: this._codec, hello: () => hello(nodeId), nowMs, sendClockMs: () => nowMs() + stalls.uncountedMs, random, traffic: this.traffic, events: this }))
  }

  public isConnected (nodeId: base.NodeId): boolean {
    return this._outgoing.get(nodeId)?.isOpen === true
  }

  public isIdle (nodeId: base.NodeId): boolean {
    return this._outgoing.get(nodeId)?.isIdle !== false
  }

  public disconnect (nodeId: base.NodeId): void {
    this._outgoing.get(nodeId)?.dispose()
    this._outgoing.delete(nodeId)
  }

  public sendCall (nodeId: base.NodeId, call: types.CallMessage): boolean {
    return this._outgoing.get(nodeId)?.sendCall(call) ?? false
  }

  public send (nodeId: base.NodeId, message: linkCodec.LinkMessage): void {
    this._outgoing.get(nodeId)?.send(message)
  }

  public cancel (nodeId: base.NodeId, callId: number): void {
    this._outgoing.get(nodeId)?.cancel(callId)
  }

  /** Sends the status to all nodes that have a link to this one, or only to those for which a status is due. */
  public broadcastStatus (status: direct.HostStatus, isForAll: boolean): void {
    const bytes = this._codec.encode({ kind: 'status', status })
    for (const link of this._incoming) if (isForAll || link.isStatusDue) link.sendStatus(bytes)
  }

  /** Sends a message to all nodes that have a link to this one, or only to those of a zone. */
  public broadcast (message: linkCodec.LinkMessage, zone?: string): void {
    const bytes = this._codec.encode(message)
    for (const link of this._incoming) if (zone === undefined || link.zone === zone) link.sendReport(message.kind, bytes)
  }

  /** Sends a message to `count` randomly chosen nodes. */
  public sendToSome (message: linkCodec.LinkMessage, count: number): void {
    const open = [...this._outgoing.values()].filter(({ isOpen }) => isOpen)
    for (let at = 0; at < count && open.length > 0; at++) {
      const [link] = open.splice(this._options.random.nextInt(open.length), 1)
      link?.send(message)
    }
  }

  /** Accepts a connection that another node opened. */
  public accept (socket: ws.WebSocket): void {
    this._incoming.add(new incomingLink.IncomingLink({ socket, maxUnreadBytes: this._limits.terms.maxHeldBytes, codec: this._codec, nowMs: this._options.nowMs, traffic: this.traffic, events: this }))
  }

  public tick (): void {
    // While this process was stalled it read nothing, so silence in that time does not mean that a link is broken.
    const { stalledMs } = this._options.stalls
    for (const link of this._outgoing.values()) {
      link.tick(stalledMs)
      link.keepAlive()
    }
    for (const link of this._incoming) link.tick(stalledMs)
    this._tellOffers()
    this._intake.tick()
  }

  public handleOpened (link: outgoingLink.OutgoingLink): void {
    this._options.events.handleConnectionChange(link.nodeId, true)
  }

  public handleLost (link: outgoingLink.OutgoingLink, callIds: readonly number[]): void {
    this._options.events.handleConnectionChange(link.nodeId, false)
    this._options.events.handleLost(link.nodeId, callIds)
  }

  public handleSilent (link: outgoingLink.OutgoingLink, callIds: readonly number[]): void {
    this._options.events.handleConnectionChange(link.nodeId, false)
    this._options.events.handleSilent(link.nodeId, callIds)
  }

  public handleAbandoned (link: outgoingLink.OutgoingLink, callIds: readonly number[]): void {
    this._options.events.handleLost(link.nodeId, callIds)
  }

  public handleMessage (link: outgoingLink.OutgoingLink | incomingLink.IncomingLink, message: linkCodec.LinkMessage): void {
    const { events } = this._options
    if (link instanceof outgoingLink.OutgoingLink) {
      if (message.kind === 'result') {
        events.handleResult(link.nodeId, message)
        return
      }
    } else if (message.kind === 'cancel') {
      this._cancel(link, message.callId)
      return
    } else if (message.kind === 'body') {
      this._intake.deliver(link, message.callId, message.body)
      return
    } else if (message.kind === 'body-part') {
      // The buffers in which it was received.
      this._limits.collector.recordRead(message.part.length)
      this._intake.deliverPart(link, message.callId, message.part)
      return
    }
    events.handleMessage(link.nodeId, message, reply => { link.send(reply) })
  }

  public handleHello (link: incomingLink.IncomingLink, hello: linkCodec.HelloMessage): void {
    this._options.events.handleHello(hello, message => { link.send(message) })
    this._tellOffers()
    // The node has just started or is reachable again.
    this._outgoing.get(hello.nodeId)?.reconnectNow()
  }

  /** Nodes of earlier versions do not know the message, and could not use a configuration that has long bodies. */
  private _tellOffers (): void {
    if (!this._options.takesOffers()) return
    for (const link of this._incoming) {
      if (link.nodeId === '' || this._told.has(link)) continue
      this._told.add(link)
      link.send({ kind: 'takes-offers', takesParts: true })
    }
  }

  public handleClosed (link: incomingLink.IncomingLink): void {
    this._incoming.delete(link)
    for (const call of this._heldOf.get(link)?.values() ?? []) this._held.remove(call)
    this._heldOf.delete(link)
    this._intake.abandon(link)
    this._options.host.abandon(link)
  }

  public handleUnread (link: incomingLink.IncomingLink, unreadBytes: number): void {
    this._limits.recordClosed({ listener: 'peers', reason: 'unread', remoteAddress: link.nodeId, waitingRequests: 0, heldBytes: unreadBytes })
  }

  public handleMalformed (link: outgoingLink.OutgoingLink | incomingLink.IncomingLink, error: Error): void {
    this._options.events.handleMalformed(link.nodeId, error)
  }

  public dispose (): void {
    this._held.dispose()
    for (const link of this._outgoing.values()) link.dispose()
    for (const link of this._incoming) link.close()
  }

  /** The call may have waited on its way, or while this process was stalled. */
  public handleCall (link: incomingLink.IncomingLink, call: types.CallMessage, delayMs: base.Millis): void {
    this.handleOffer(link, call, 0, delayMs)
  }

  public handleOffer (link: incomingLink.IncomingLink, call: types.CallMessage, offeredBytes: number, delayMs: base.Millis): void {
    const { nowMs, stalls } = this._options
    const held = { link, call, offeredBytes, readAtMs: nowMs(), waitedMs: Math.max(delayMs, stalls.suspectedMs) }
    let calls = this._heldOf.get(link)
    if (calls === undefined) {
      calls = new Map()
      this._heldOf.set(link, calls)
    }
    calls.set(call.callId, held)
    this._held.add(held)
  }

  private _begin (held: ReadCall): void {
    const { link, call, offeredBytes, readAtMs, waitedMs } = held
    this._forget(link, call.callId)
    const lostMs = waitedMs + this._options.nowMs() - readAtMs
    const begun = { ...call, remainingMs: call.remainingMs - lostMs, elapsedMs: call.elapsedMs + lostMs }
    if (offeredBytes > 0) this._intake.offer(link, begun, offeredBytes)
    else this._options.host.accept(link, begun)
  }

  private _cancel (link: incomingLink.IncomingLink, callId: number): void {
    const held = this._heldOf.get(link)?.get(callId)
    if (held === undefined) {
      if (!this._intake.cancel(link, callId)) this._options.host.cancel(link, callId)
      return
    }
    this._held.remove(held)
    this._forget(link, callId)
  }

  private _forget (link: incomingLink.IncomingLink, callId: number): void {
    const calls = this._heldOf.get(link)
    calls?.delete(callId)
    if (calls?.size === 0) this._heldOf.delete(link)
  }
}
