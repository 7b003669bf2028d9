/** Minimal target that answers every request at once. Started by the latency benchmark. */
import * as http from 'node:http'
import type * as net from 'node:net'

const BODY = Buffer.from(JSON.stringify({ price: 60, currency: 'GEL', photo: 'visa-35x45' }))
const KEEP_ALIVE_MS = 120_000

const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, (request, response) => {
  request.resume()
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': BODY.length })
  response.end(BODY)
})
process.on('disconnect', () => { process.exit(0) })
server.listen(0, '127.0.0.1', () => {
  process.send?.({ kind: 'listening', port: (server.address() as net.AddressInfo).port })
})
