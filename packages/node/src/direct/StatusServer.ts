import * as addresses from '../Addresses.js'
import * as http from 'node:http'
import * as httpReplies from '../HttpReplies.js'
import * as polka from 'polka'
import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as nodeTypes from '../Types.js'

export interface StatusServerOptions {
  readonly address: nodeTypes.Address
  readonly metrics: nodeServices.IExposition
  /** What `elmpost status` shows. */
  readonly status: () => object
}

/** Serves metrics and status, read-only. */
export class StatusServer implements base.IDisposable {
  private readonly _options: StatusServerOptions
  private readonly _http = http.createServer()

  constructor (options: StatusServerOptions) {
    this._options = options
    const app = polka.default({ server: this._http })
    app.get('/metrics', (_request, response) => { httpReplies.sendMetrics(response, options.metrics) })
    app.get('/admin/status', (_request, response) => { httpReplies.sendJson(response, 200, options.status()) })
    this._http.on('request', app.handler.bind(app) as unknown as http.RequestListener)
  }

  public listen (): Promise<number> {
    return addresses.listen(this._http, this._options.address)
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }
}
