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
