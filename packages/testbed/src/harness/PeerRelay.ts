import * as net from 'node:net'
import * as ports from './ports.js'
import * as helloReader from './HelloReader.js'

/** Whether connections from node `from` to node `to` are blocked. */
export type IsSeparated = (from: string, to: string) => boolean

export interface PeerRelayOptions {
  /** Node behind the relay. */
  readonly nodeId: string
  readonly targetPort: number
  readonly isSeparated: IsSeparated
}

interface RelayedConnection {
  from: string
  readonly sockets: readonly net.Socket[]
}

/**
 * TCP relay in front of the peer address of one node. It reads from the first message of a connection which node has
 * opened it, and forwards no message of a separated node.
 */
export class PeerRelay {
  private readonly _server = net.createServer(socket => { this._accept(socket) })
  private readonly _relayed = new Set<RelayedConnection>()

  constructor (private readonly _options: PeerRelayOptions) {}

  /** Listens on a free port and returns it. */
  public async listen (): Promise<number> {
    const [port] = await ports.findFreePorts(1)
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, '127.0.0.1', resolve)
    })
    return port ?? 0
  }

  /** Closes all connections between nodes that are separated now. */
  public closeSeparated (): void {
    for (const relayed of [...this._relayed]) {
      if (this._options.isSeparated(relayed.from, this._options.nodeId)) this._destroy(relayed)
    }
  }

  public close (): void {
    this._server.close()
    for (const relayed of [...this._relayed]) this._destroy(relayed)
  }

  private _accept (caller: net.Socket): void {
    const node = net.connect(this._options.targetPort, '127.0.0.1')
    const relayed: RelayedConnection = { from: '', sockets: [caller, node] }
    this._relayed.add(relayed)
    for (const socket of relayed.sockets) {
      socket.setNoDelay(true)
      socket.on('error', () => { this._destroy(relayed) })
      socket.on('close', () => { this._relayed.delete(relayed) })
    }
    const hello = new helloReader.HelloReader()
    const identify = (part: Buffer): void => {
      const { head, nodeId } = hello.read(part)
      if (head.length > 0) node.write(head)
      if (nodeId === undefined) return
      relayed.from = nodeId
      if (this._options.isSeparated(nodeId, this._options.nodeId)) {
        this._destroy(relayed)
        return
      }
      caller.off('data', identify)
      node.write(hello.rest)
      caller.pipe(node)
    }
    caller.on('data', identify)
    caller.on('end', () => { node.end() })
    node.pipe(caller)
  }

  private _destroy (relayed: RelayedConnection): void {
    this._relayed.delete(relayed)
    for (const socket of relayed.sockets) socket.destroy()
  }
}
