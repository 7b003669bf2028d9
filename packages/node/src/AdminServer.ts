import * as addresses from './Addresses.js'
import * as http from 'node:http'
import * as httpReplies from './HttpReplies.js'
import * as polka from 'polka'
import type * as base from '@elmpost/common/base/Types.js'
import type * as distribution from '@elmpost/common/distribution/Types.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as types from './Types.js'

/** State and operations of the node that the administration endpoint exposes. */
export interface IAdministration {
  readiness(): distribution.Readiness
  status(): unknown
  drain(): void
  /** Reverses `drain`. False if the node is stopping. */
  undrain(): boolean
  readonly exposition: nodeServices.IExposition | undefined
}

export interface AdminServerOptions {
  readonly address: types.Address
  readonly administration: IAdministration
}

/** Serves health, readiness, metrics and administration on a loopback address. */
export class AdminServer implements base.IDisposable {
  private readonly _options: AdminServerOptions
  private readonly _http = http.createServer()

  constructor (options: AdminServerOptions) {
    this._options = options
    const { administration } = options
    const app = polka.default({ server: this._http })
    app.get('/healthz', (_request, response) => { httpReplies.sendJson(response, 200, { status: 'ok' }) })
    app.get('/readyz', (_request, response) => { this._readyz(response) })
    app.get('/metrics', (_request, response) => { httpReplies.sendMetrics(response, administration.exposition) })
    app.get('/admin/status', (_request, response) => { httpReplies.sendJson(response, 200, administration.status()) })
    app.post('/admin/drain', (_request, response) => {
      administration.drain()
      httpReplies.sendJson(response, 202, { draining: true })
    })
    app.post('/admin/undrain', (_request, response) => {
      if (administration.undrain()) httpReplies.sendJson(response, 202, { draining: false })
      else httpReplies.sendJson(response, 409, { problem: 'the node is stopping', remedy: 'Start it again after it has exited.' })
    })
    this._http.on('request', app.handler.bind(app) as unknown as http.RequestListener)
  }

  public listen (): Promise<number> {
    return addresses.listen(this._http, this._options.address)
  }

  public dispose (): void {
    this._http.close()
    this._http.closeAllConnections()
  }

  private _readyz (response: http.ServerResponse): void {
    const readiness = this._options.administration.readiness()
    httpReplies.sendJson(response, readiness.ready ? 200 : 503, readiness)
  }
}
