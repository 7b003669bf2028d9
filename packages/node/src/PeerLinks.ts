import * as peerLink from './PeerLink.js'
import * as ws from 'ws'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as peerCodec from './PeerCodec.js'
import type * as services from './Services.js'

/** First and largest upper bound of the back-off, with full jitter, between attempts to connect to the same address. */
const INITIAL_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 5000
const CONNECT_TIMEOUT_MS = 2000
/** Interval of the sweep that closes idle links. Probes open a link to each member in turn, so unused links would accumulate. */
const IDLE_SWEEP_INTERVAL_MS = 30_000
/** Maximum size of a message, such as a complete configuration, a handover with stored answers, or a call with its body. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024
/** Maximum size of the body of a call. It leaves room for the path and the headers: a message above the limit breaks the connection. */
export const MAX_CALL_BODY_BYTES = 31 * 1024 * 1024

export interface PeerLinksOptions {
  readonly local: services.IPeerLink
  readonly hello: () => messages.HelloMessage
  readonly codec: peerCodec.PeerCodec
  readonly receiver: services.ILinkReceiver
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  readonly logger: services.ILogger
}

interface Backoff {
  limitMs: base.Millis
  retryAtMs: base.Millis
}

/** Link that accepts no message, for an address without a connection: invalid, or in back-off after a failed attempt. */
const UNREACHABLE: services.IPeerLink = {
  nodeId: '',
  runs: new Map(),
  sendCall: () => 'not-sent',
  release: () => {},
  send: () => false
}

/** All connections of a node to its peers, usually one per peer. */
export class PeerLinks implements services.IPeerLinks, base.IDisposable {
  private readonly _options: PeerLinksOptions
  private readonly _links = new Set<peerLink.PeerLink>()
  private readonly _byNode = new Map<base.NodeId, peerLink.PeerLink>()
  private readonly _byAddress = new Map<string, peerLink.PeerLink>()
  private readonly _backoffs = new Map<string, Backoff>()
  private _nextSweepMs = 0
  private _isClosing = false

  constructor (options: PeerLinksOptions) {
    this._options = options
  }

  public get openCount (): number {
    return this._byNode.size
  }

  /** Returns the link to a node, and opens it if there is none. An empty node id accepts any node at the address. */
  public linkTo (nodeId: base.NodeId, address: string): services.IPeerLink {
    if (nodeId === this._options.local.nodeId) return this._options.local
    return this._usableLink(nodeId, address) ?? this._dial(nodeId, address) ?? UNREACHABLE
  }

  public sendControl (to: base.NodeId, address: string, message: messages.ControlMessage): void {
    if (to === this._options.local.nodeId) return
    const link = this._usableLink(to, address) ?? this._dial(to, address)
    link?.sendControl(message)
  }

  /** Adds a connection that a peer has opened. */
  public accept (socket: ws.WebSocket): void {
    if (this._isClosing) socket.terminate()
    else this._add(socket, false, '', '')
  }

  /** Terminates the connections to a node that is known to be dead, so that calls on them fail at once. */
  public terminate (nodeId: base.NodeId): void {
    for (const link of [...this._links]) {
      if (link.nodeId === nodeId) link.terminate()
    }
  }

  /** Clears the back-off of an address, because its node is known to be alive again. */
  public resetBackoff (address: string): void {
    this._backoffs.delete(address)
  }

  /** Terminates connection attempts that time out, and closes links that were not used between two sweeps. */
  public tick (nowMs: base.Millis): void {
    for (const link of this._links) {
      if (!link.isOpen && nowMs - link.openedAtMs > CONNECT_TIMEOUT_MS) link.terminate()
    }
    if (nowMs < this._nextSweepMs) return
    this._nextSweepMs = nowMs + IDLE_SWEEP_INTERVAL_MS
    for (const link of [...this._links]) {
      // Only the side that dialed closes an idle link.
      if (link.isOpen && link.isOutbound && !link.isUsed && !link.isBusy) link.closePlanned()
      link.isUsed = false
    }
    for (const [address, backoff] of this._backoffs) {
      if (nowMs - backoff.retryAtMs > IDLE_SWEEP_INTERVAL_MS) this._backoffs.delete(address)
    }
  }

  /** Closes every link. Links that still carry calls or are not open yet are terminated, so that peers report these calls as lost. */
  public dispose (): void {
    this._isClosing = true
    for (const link of [...this._links]) {
      if (link.isBusy || !link.isOpen) link.terminate()
      else link.closePlanned()
    }
  }

  private _usableLink (nodeId: base.NodeId, address: string): peerLink.PeerLink | undefined {
    const link = nodeId === '' ? this._byAddress.get(address) : this._byNode.get(nodeId) ?? this._byAddress.get(address)
    return link?.isAlive === true ? link : undefined
  }

  private _dial (nodeId: base.NodeId, address: string): peerLink.PeerLink | undefined {
    const backoff = this._backoffs.get(address)
    if (this._isClosing || address === '') return undefined
    if (backoff !== undefined && this._options.nowMs() < backoff.retryAtMs) return undefined
    const socket = this._openSocket(address)
    return socket === undefined ? undefined : this._add(socket, true, nodeId, address)
  }

  private _openSocket (address: string): ws.WebSocket | undefined {
    try {
      return new ws.WebSocket(`ws://${address}/`, {
        perMessageDeflate: false,
        maxPayload: MAX_MESSAGE_BYTES,
        handshakeTimeout: CONNECT_TIMEOUT_MS,
        skipUTF8Validation: true
      })
    } catch {
      this._options.logger.log('warn', 'peer-address-invalid', { address })
      return undefined
    }
  }

  private _add (socket: ws.WebSocket, isOutbound: boolean, expectedNodeId: base.NodeId, address: string): peerLink.PeerLink {
    const { hello, codec, receiver, nowMs } = this._options
    const link = new peerLink.PeerLink({
      socket,
      isOutbound,
      expectedNodeId,
      hello,
      codec,
      receiver,
      nowMs,
      onOpen: opened => { this._handleOpen(opened, address) },
      onClose: closed => { this._handleClose(closed, address) }
    })
    this._links.add(link)
    if (isOutbound) this._byAddress.set(address, link)
    return link
  }

  private _handleOpen (link: peerLink.PeerLink, address: string): void {
    this._backoffs.delete(address)
    if (this._byNode.get(link.nodeId)?.isAlive !== true) this._byNode.set(link.nodeId, link)
    this._options.logger.log('debug', 'peer-connected', { peer: link.nodeId, address })
  }

  private _handleClose (link: peerLink.PeerLink, address: string): void {
    this._links.delete(link)
    if (this._byAddress.get(address) === link) this._byAddress.delete(address)
    if (this._byNode.get(link.nodeId) === link) this._replaceLink(link.nodeId)
    if (link.isOutbound) this._increaseBackoff(address)
  }

  /** Two nodes that dial each other have two links, so the other link is used when one is lost. */
  private _replaceLink (nodeId: base.NodeId): void {
    this._byNode.delete(nodeId)
    for (const link of this._links) {
      if (link.nodeId === nodeId && link.isOpen) this._byNode.set(nodeId, link)
    }
  }

  private _increaseBackoff (address: string): void {
    const previous = this._backoffs.get(address)
    const limitMs = previous === undefined ? INITIAL_BACKOFF_MS : Math.min(previous.limitMs * 2, MAX_BACKOFF_MS)
    const retryAtMs = this._options.nowMs() + this._options.random.nextFloat() * limitMs
    this._backoffs.set(address, { limitMs, retryAtMs })
  }
}
