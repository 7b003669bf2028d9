/** Answers of the node's own endpoints. */
import type * as http from 'node:http'
import type * as nodeServices from '@elmpost/common/node/Services.js'

export function send (response: http.ServerResponse, status: number, contentType: string, text: string): void {
  response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(text) }).end(text)
}

export function sendJson (response: http.ServerResponse, status: number, value: unknown): void {
  send(response, status, 'application/json', JSON.stringify(value))
}

/** Metrics that are being rendered, for all requests that come meanwhile. */
const renderings = new WeakMap<nodeServices.IExposition, Promise<string>>()

export function sendMetrics (response: http.ServerResponse, exposition: nodeServices.IExposition | undefined): void {
  if (exposition === undefined) {
    sendJson(response, 404, { problem: 'no metrics addon is loaded', remedy: 'Install @elmpost/addon-metrics.' })
    return
  }
  render(exposition).then(
    text => { send(response, 200, exposition.contentType, text) },
    (error: unknown) => { sendJson(response, 500, { problem: `the metrics cannot be rendered: ${String(error)}`, remedy: 'Report it to the maintainers.' }) }
  )
}

function render (exposition: nodeServices.IExposition): Promise<string> {
  const current = renderings.get(exposition)
  if (current !== undefined) return current
  const rendering = exposition.render().finally(() => { renderings.delete(exposition) })
  renderings.set(exposition, rendering)
  return rendering
}
