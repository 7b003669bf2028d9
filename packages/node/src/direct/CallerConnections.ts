import type * as net from 'node:net'

/** A request that is told when its caller has left. */
export interface ILeavable {
  left(): void
}

/**
 * Requests without an answer, by the connection of their caller. The server tells the end of a connection only to the
 * request whose answer is due next, and not to those that were sent behind it.
 */
export class CallerConnections {
  private readonly _requests = new WeakMap<net.Socket, Set<ILeavable>>()

  public add (socket: net.Socket, request: ILeavable): void {
    if (socket.destroyed) {
      request.left()
      return
    }
    let requests = this._requests.get(socket)
    if (requests === undefined) {
      requests = new Set()
      this._requests.set(socket, requests)
      socket.once('close', () => { this._closed(socket) })
    }
    requests.add(request)
  }

  /** The request has its answer. */
  public remove (socket: net.Socket, request: ILeavable): void {
    this._requests.get(socket)?.delete(request)
  }

  private _closed (socket: net.Socket): void {
    const requests = this._requests.get(socket)
    this._requests.delete(socket)
    for (const request of requests ?? []) request.left()
  }
}
