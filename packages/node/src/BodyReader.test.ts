import * as assert from 'node:assert/strict'
import * as bodyReader from './BodyReader.js'
import * as events from 'node:events'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

const MAX_BYTES = 8 * 1024 * 1024
const CHUNKS = 2_000_000
/** Several times the length of the body. */
const SPARE_BYTES = 24 * 1024 * 1024
const SAMPLE_MS = 5

v8.setFlagsFromString('--expose-gc')
const collectGarbage = vm.runInNewContext('gc') as () => void

/** Memory in use, without garbage: how much of that there is depends on the speed of the machine. */
function usedBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

test.describe('BodyReader', () => {
  let server: http.Server
  let socket: net.Socket
  let ended: Promise<string>

  test.beforeEach(async () => {
    let end: (result: string) => void
    ended = new Promise(resolve => { end = resolve })
    server = http.createServer((request, response) => {
      bodyReader.readBody(request, MAX_BYTES, {
        onComplete: body => {
          end(body?.toString('latin1') ?? '')
          response.end()
        },
        onTooLarge: () => {
          end('too large')
          request.resume()
        }
      })
    })
    server.listen(0, '127.0.0.1')
    await events.EventEmitter.once(server, 'listening')
    socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
  })

  test.afterEach(() => {
    socket.destroy()
    server.close()
    server.closeAllConnections()
  })

  test.it('returns a body in pieces of any size as it was sent', async () => {
    const pieces = ['a', 'bc', 'd'.repeat(5_000), 'e', 'f'.repeat(200_000), 'g']
    socket.write(`POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`).join('')}0\r\n\r\n`)
    assert.equal(await ended, pieces.join(''))
  })

  // Guards against a caller that uses up the memory of a node by sending a body in chunks of one byte.
  test.it('needs memory for the bytes of a body and not for each of its pieces', async () => {
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
    const block = Buffer.from('1\r\nx\r\n'.repeat(10_000))
    const beforeBytes = usedBytes()
    let peakBytes = 0
    const sampling = setInterval(() => { peakBytes = Math.max(peakBytes, usedBytes() - beforeBytes) }, SAMPLE_MS)
    for (let sent = 0; sent < CHUNKS; sent += 10_000) if (!socket.write(block)) await events.EventEmitter.once(socket, 'drain')
    socket.write('0\r\n\r\n')
    const body = await ended
    clearInterval(sampling)
    assert.equal(body.length, CHUNKS)
    assert.ok(peakBytes < SPARE_BYTES, `${Math.round(peakBytes / 1024 / 1024)} MB more`)
  })
})
