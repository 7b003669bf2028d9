import type * as net from 'node:net'

/** A request that is notified when its caller disconnects. */
export interface IPendingRequest {
  handleDisconnect(): void
}

/**
 * Unanswered requests, by the connection of their caller. When a connection closes, the HTTP server notifies only the
 * request whose answer is due next, and not the requests pipelined behind it.
 */
export class CallerConnections {
  private readonly _requests = new WeakMap<net.Socket, Set<IPendingRequest>>()
  /** Last request that was read on each connection. */
  private readonly _lastRead = new WeakMap<net.Socket, IPendingRequest>()
  /** Connections that close after an answer that has been given. */
  private readonly _closing = new WeakSet<net.Socket>()

  public recordRead (socket: net.Socket, request: IPendingRequest): void {
    this._lastRead.set(socket, request)
  }

  /**
   * Lets the connection close after the answer to the request, unless others have been read behind it, which are answered
   * first. Returns whether it closes.
   */
  public closeAfter (socket: net.Socket, request: IPendingRequest): boolean {
    if (this._lastRead.get(socket) !== request) return false
    this._closing.add(socket)
    return true
  }

  /** Whether a request that is read now gets no answer on the connection. */
  public isClosing (socket: net.Socket): boolean {
    return this._closing.has(socket)
  }

  public add (socket: net.Socket, request: IPendingRequest): void {
    if (socket.destroyed) {
      request.handleDisconnect()
      return
    }
    let requests = this._requests.get(socket)
    if (requests === undefined) {
      requests = new Set()
      this._requests.set(socket, requests)
      socket.once('close', () => { this._handleClose(socket) })
    }
    requests.add(request)
  }

  /** Removes a request that has been answered. */
  public remove (socket: net.Socket, request: IPendingRequest): void {
    this._requests.get(socket)?.delete(request)
  }

  private _handleClose (socket: net.Socket): void {
    const requests = this._requests.get(socket)
    this._requests.delete(socket)
    for (const request of requests ?? []) request.handleDisconnect()
  }
}
