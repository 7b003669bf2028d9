import * as addresses from '../Addresses.js'
import * as connectionLimits from '../ConnectionLimits.js'
import * as http from 'node:http'
import * as httpReplies from '../HttpReplies.js'
import * as polka from 'polka'
import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as nodeTypes from '../Types.js'
import type * as services from '../Services.js'

export interface StatusServerOptions {
  readonly address: nodeTypes.Address
  /** Binds the server. Undefined: a port that is in use is an error. */
  readonly binder?: services.IServerBinder | undefined
  readonly limits?: connectionLimits.ConnectionLimits | undefined
  readonly metrics: nodeServices.IExposition
  /** What `elmpost status` shows. */
  readonly status: () => object
  /** Lifts the block of a request on all nodes. False if nothing is held against it. */
  readonly unblock: (fingerprint: string) => boolean
}

/** Serves metrics and status and, for operators on the same VM, lifts the blocks of requests. */
export class StatusServer implements base.IDisposable {
  private readonly _options: StatusServerOptions
  private readonly _http: http.Server

  constructor (options: StatusServerOptions) {
    this._options = options
    const { limits = new connectionLimits.ConnectionLimits() } = options
    this._http = http.createServer(limits.serverOptions)
    const app = polka.default({ server: this._http })
    app.get('/metrics', (_request, response) => { httpReplies.sendMetrics(response, options.metrics) })
    app.get('/admin/status', (_request, response) => { httpReplies.sendJson(response, 200, options.status()) })
    app.post('/admin/unblock/:fingerprint', (request, response) => {
      const { remoteAddress, localAddress } = request.socket
      if (remoteAddress !== localAddress) httpReplies.sendJson(response, 403, { problem: 'this endpoint is for operators on the same VM', remedy: 'Run the command on the VM of the node.' })
      else if (options.unblock(String(request.params['fingerprint']))) httpReplies.sendJson(response, 200, {})
      else httpReplies.sendJson(response, 404, { problem: 'nothing is held against such a request', remedy: 'List the blocked requests with elmpost status.' })
    })
    limits.attach(this._http, 'status', 0, app.handler.bind(app) as unknown as http.RequestListener)
  }

  public listen (): Promise<number> {
    return (this._options.binder ?? addresses.immediateBinder).bind(this._http, this._options.address)
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }
}
