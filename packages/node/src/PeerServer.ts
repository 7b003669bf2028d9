import * as addresses from './Addresses.js'
import * as connectionLimits from './ConnectionLimits.js'
import * as http from 'node:http'
import * as peerLinks from './PeerLinks.js'
import * as ws from 'ws'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface PeerServerOptions {
  readonly address: types.Address
  /** Binds the server. Undefined: a port that is in use is an error. */
  readonly binder?: services.IServerBinder | undefined
  /** A longer message ends its connection. */
  readonly maxMessageBytes?: number
  /** Limits of the connections until they are WebSocket connections. */
  readonly limits?: connectionLimits.ConnectionLimits | undefined
  /** Called with each connection that a node opens. */
  readonly onConnection: (socket: ws.WebSocket) => void
}

/** WebSocket server that accepts connections from other nodes. */
export class PeerServer implements base.IDisposable {
  private readonly _options: PeerServerOptions
  private readonly _http: http.Server
  private readonly _server: ws.WebSocketServer

  constructor (options: PeerServerOptions) {
    this._options = options
    const { limits = new connectionLimits.ConnectionLimits() } = options
    this._http = http.createServer(limits.serverOptions)
    limits.attach(this._http, 'peers', 0, (_request, response) => { response.writeHead(426, { Connection: 'close', Upgrade: 'websocket' }).end() })
    // Before the WebSocket server reads from the connection.
    this._http.on('upgrade', ({ socket }) => { limits.release(socket) })
    this._server = new ws.WebSocketServer({
      server: this._http,
      perMessageDeflate: false,
      clientTracking: false,
      maxPayload: options.maxMessageBytes ?? peerLinks.MAX_MESSAGE_BYTES,
      skipUTF8Validation: true
    })
    this._server.on('connection', options.onConnection)
    // The promise of `listen` reports the error.
    this._server.on('error', () => {})
  }

  public get isListening (): boolean {
    return this._http.listening
  }

  /** Starts to listen and returns the port. */
  public listen (): Promise<number> {
    return (this._options.binder ?? addresses.immediateBinder).bind(this._http, this._options.address)
  }

  public dispose (): void {
    this._server.close()
    this._http.close()
  }
}
