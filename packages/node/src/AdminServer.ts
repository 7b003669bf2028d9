import * as addresses from './Addresses.js'
import * as http from 'node:http'
import * as polka from 'polka'
import type * as base from '@elmpost/common/base/Types.js'
import type * as distribution from '@elmpost/common/distribution/Types.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as types from './Types.js'

/** What the administration endpoint shows and does. */
export interface IAdministration {
  readiness(): distribution.Readiness
  status(): unknown
  drain(): void
  /** False if the node has begun to stop. */
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
    app.get('/healthz', (_request, response) => { sendJson(response, 200, { status: 'ok' }) })
    app.get('/readyz', (_request, response) => { this._readyz(response) })
    app.get('/metrics', (_request, response) => { this._metrics(response).catch(() => { response.destroy() }) })
    app.get('/admin/status', (_request, response) => { sendJson(response, 200, administration.status()) })
    app.post('/admin/drain', (_request, response) => {
      administration.drain()
      sendJson(response, 202, { draining: true })
    })
    app.post('/admin/undrain', (_request, response) => {
      if (administration.undrain()) sendJson(response, 202, { draining: false })
      else sendJson(response, 409, { problem: 'the node is stopping', remedy: 'Start it again after it has exited.' })
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
    sendJson(response, readiness.ready ? 200 : 503, readiness)
  }

  private async _metrics (response: http.ServerResponse): Promise<void> {
    const { exposition } = this._options.administration
    if (exposition === undefined) {
      sendJson(response, 404, { problem: 'no metrics addon is loaded', remedy: 'Install @elmpost/addon-metrics.' })
      return
    }
    try {
      const text = await exposition.render()
      response.writeHead(200, { 'content-type': exposition.contentType }).end(text)
    } catch (error) {
      sendJson(response, 500, { problem: `the metrics cannot be rendered: ${String(error)}`, remedy: 'Report it to the maintainers.' })
    }
  }
}

function sendJson (response: http.ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
}
