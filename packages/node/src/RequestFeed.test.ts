import * as assert from 'node:assert/strict'
import * as connectionLimits from './ConnectionLimits.js'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const BIG_BYTES = 500_000
const CONNECTIONS = 24
const REPEATS = 3
const GETS = 70
const TIMEOUT_MS = 20_000
const GET = 'GET /y HTTP/1.1\r\nHost: a\r\n\r\n'
const EXPECTING = 'POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc'

test.describe('RequestFeed', () => {
  // Guards against input that is passed to the parser of Node.js while that has paused the connection, which ends the process.
  test.it('answers all requests of connections whose peers read late and expect to continue', async () => {
    const limits = new connectionLimits.ConnectionLimits()
    const server = http.createServer({ ...limits.serverOptions, noDelay: true })
    limits.attach(server, 'callers', 0, (request, response) => {
      request.resume()
      const body = Buffer.alloc(request.url === '/big' ? BIG_BYTES : 100, 'a')
      setTimeout(() => { response.writeHead(200, { 'Content-Length': body.length }).end(body) }, request.url === '/big' ? 5 : 50)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as net.AddressInfo
    let answers = 0
    let expected = 0
    const sockets = Array.from({ length: CONNECTIONS }, (_, at) => {
      const socket = net.connect(port, '127.0.0.1')
      socket.on('data', part => { answers += part.toString('latin1').split('HTTP/1.1 200').length - 1 })
      socket.on('error', () => {})
      socket.pause()
      for (let big = 0; big <= at; big++) setTimeout(() => { socket.write('GET /big HTTP/1.1\r\nHost: a\r\n\r\n') }, big * 30)
      setTimeout(() => { socket.write((EXPECTING + GET.repeat(GETS)).repeat(REPEATS)) }, CONNECTIONS * 30 + 200)
      expected += at + 1 + REPEATS * (GETS + 1)
      return socket
    })
    await timers.setTimeout(2_500)
    for (const socket of sockets) socket.resume()
    // The status line of an answer may be split between two reads.
    const isComplete = (): boolean => answers >= expected - CONNECTIONS
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS && !isComplete(); waitedMs += 50) await timers.setTimeout(50)
    for (const socket of sockets) socket.destroy()
    server.close()
    server.closeAllConnections()
    assert.ok(isComplete() && answers <= expected, `${answers} answers to ${expected} requests`)
  })
})
