import * as assert from 'node:assert/strict'
import * as connectionLimits from './ConnectionLimits.js'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const TIMEOUT_MS = 20_000
const TERMS = { ...connectionLimits.DEFAULT_TERMS, maxWaitingRequests: 4 }
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

test.describe('ConnectionLimits', () => {
  let limits: connectionLimits.ConnectionLimits
  let server: http.Server
  let waiting: http.ServerResponse[]
  let closed: connectionLimits.LimitedConnection[]
  let clients: net.Socket[]

  async function start (terms: Partial<connectionLimits.ConnectionLimitTerms>, handle: http.RequestListener = (_request, response) => { waiting.push(response) }): Promise<void> {
    limits = new connectionLimits.ConnectionLimits({ ...TERMS, ...terms })
    limits.onClosed(limited => { closed.push(limited) })
    server = http.createServer({ ...limits.serverOptions, keepAliveTimeout: 50 })
    limits.attach(server, 'callers', 0, handle)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  }

  function connect (text: string): { readonly socket: net.Socket, received: string, isClosed: boolean } {
    const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
    const client = { socket, received: '', isClosed: false }
    clients.push(socket)
    socket.on('data', part => { client.received += part.toString() })
    socket.on('error', () => {})
    socket.on('close', () => { client.isClosed = true })
    socket.write(text)
    return client
  }

  async function until (condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += 5) {
      if (condition()) return
      await timers.setTimeout(5)
    }
    assert.fail(`The condition was not met within ${TIMEOUT_MS} ms.`)
  }

  /** Answers what waits until `count` requests have been answered, with their numbers as bodies. */
  async function answer (count: number, highest = 0): Promise<number> {
    let most = highest
    for (let answered = 0; answered < count; answered++) {
      await until(() => waiting.length > 0)
      most = Math.max(most, waiting.length)
      waiting.shift()?.end(`<${answered}>`)
      await timers.setImmediate()
    }
    return most
  }

  test.beforeEach(() => {
    waiting = []
    closed = []
    clients = []
  })

  test.afterEach(() => {
    for (const socket of clients) socket.destroy()
    server.close()
    server.closeAllConnections()
  })

  // Guards against a caller with many requests sent ahead that loses some, or gets their answers in another order.
  test.it('answers all requests of a connection in order, with a bounded number of them at once', async () => {
    await start({})
    const client = connect(REQUEST.repeat(1_000))
    const most = await answer(1_000)
    await until(() => client.received.includes('<999>'))
    assert.deepEqual([...client.received.matchAll(/<(\d+)>/g)].map(([, number]) => Number(number)), Array.from({ length: 1_000 }, (_, at) => at))
    // A part of the input holds up to this many.
    assert.ok(most <= 4 + 4096 / REQUEST.length, `${most} at once`)
    await until(() => limits.heldBytes === 0)
  })

  // Guards against a stop of Node.js for unread answers that is lifted by the stop of the limits, or the reverse.
  test.it('answers all of them when the caller reads late and the answers are long', async () => {
    const long = 'x'.repeat(100_000)
    await start({ maxUnreadBytes: 300_000 }, (_request, response) => { setImmediate(() => { response.end(long) }) })
    const client = connect('')
    client.socket.pause()
    client.socket.write(REQUEST.repeat(300))
    await until(() => limits.gauges.paused === 1)
    client.socket.resume()
    await until(() => client.received.length > 300 * long.length)
    assert.equal(client.received.split('HTTP/1.1 200').length - 1, 300)
  })

  // Guards against an account that drifts, so that callers are refused although nothing is held.
  test.it('holds nothing for connections that have closed', async () => {
    await start({})
    for (const text of [REQUEST.repeat(50), 'GET / HTT', `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n${'x'.repeat(5_000)}`]) connect(text)
    await until(() => waiting.length >= 2 && limits.heldBytes > 0)
    for (const socket of clients) socket.destroy()
    await until(() => limits.heldBytes === 0 && limits.gauges.paused === 0)
  })

  test.it('does not read a second request of any connection when requests take much of the memory, and serves all in the end', async () => {
    await start({ maxRequestBytes: 4_000_000, maxWaitingRequests: 10_000 })
    const crowd = Array.from({ length: 4 }, () => connect(REQUEST.repeat(1_000)))
    await until(() => limits.gauges.paused === 4)
    const ordinary = connect(REQUEST)
    await answer(4_001)
    await until(() => ordinary.received.includes('200 OK') && crowd.every(({ received }) => received.split('HTTP/1.1 200').length === 1_001))
    assert.deepEqual(closed, [])
  })

  test.it('closes the connection that holds most when all hold too much, and not one with a single request', async () => {
    await start({ maxHeldBytes: 3_000_000, maxUnreadBytes: 2_000_000 })
    const ordinary = connect(REQUEST)
    await until(() => waiting.length === 1)
    const hogs = [1, 2].map(() => {
      const client = connect(REQUEST)
      client.socket.pause()
      return client
    })
    await until(() => waiting.length === 3)
    // More than the buffers of the system take.
    for (const response of waiting.splice(1)) {
      response.end(Buffer.alloc(40_000_000))
      limits.recordAnswer(response)
    }
    await until(() => closed.length === 2)
    assert.deepEqual(closed.map(({ reason }) => reason), ['memory', 'memory'])
    for (const { socket } of hogs) socket.resume()
    await until(() => hogs.every(({ isClosed }) => isClosed))
    waiting[0]?.end()
    await until(() => ordinary.received.includes('200 OK'))
  })

  test.it('closes a connection whose peer reads nothing for the timeout, and not one that waits for its answer', async () => {
    await start({ unreadTimeoutMs: 100 })
    const ordinary = connect(REQUEST)
    await until(() => waiting.length === 1)
    const client = connect(REQUEST)
    client.socket.pause()
    await until(() => waiting.length === 2)
    waiting[1]?.end(Buffer.alloc(40_000_000))
    await until(() => closed.length === 1)
    assert.equal(closed[0]?.reason, 'unread')
    waiting[0]?.end('late')
    await until(() => ordinary.received.includes('late'))
    // The idle time of the server still holds.
    await until(() => ordinary.isClosed)
  })

  test.it('refuses a request without a host, and closes further connections', async () => {
    await start({ maxConnections: 1 })
    const client = connect('GET / HTTP/1.1\r\n\r\n')
    await until(() => client.isClosed)
    assert.match(client.received, /^HTTP\/1\.1 400 /)
    connect(REQUEST)
    await until(() => waiting.length === 1)
    const refused = connect(REQUEST)
    await until(() => refused.isClosed && closed.length === 1)
    assert.deepEqual(limits.gauges.closed, { unread: 0, memory: 0, count: 1, body: 0 })
  })

  // Guards against bodies without an end at listeners that use none, which take the time of the process as long as they like.
  test.it('closes a connection that goes on with a body after its answer, and not one whose body ends', async () => {
    await start({ maxRestBytes: 100_000, unreadTimeoutMs: 5_000 }, (request, response) => { response.end(request.url) })
    const post = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`
    const short = connect(post('/short'))
    await until(() => short.received.includes('/short'))
    short.socket.write(`c350\r\n${'x'.repeat(50_000)}\r\n0\r\n\r\n${post('/next')}0\r\n\r\n`)
    await until(() => short.received.includes('/next'))
    const endless = connect(post('/endless'))
    await until(() => endless.received.includes('/endless'))
    for (let sent = 0; sent < 100 && !endless.isClosed; sent++) {
      endless.socket.write('1\r\nx\r\n'.repeat(5_000))
      await timers.setTimeout(5)
    }
    await until(() => endless.isClosed)
    assert.deepEqual(closed.map(({ reason }) => reason), ['body'])
  })

  // Guards against callers that stop short of the end of a body that has been answered, and keep their connections.
  test.it('closes a connection whose body has not ended long after its answer', async () => {
    await start({ unreadTimeoutMs: 100 }, (request, response) => {
      response.end(request.url)
      request.pause()
    })
    const slow = connect('POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n')
    await until(() => slow.received.includes('/slow'))
    slow.socket.write('x'.repeat(150_000))
    await until(() => limits.heldBytes > 0)
    await until(() => {
      limits.tick()
      return slow.isClosed
    })
    assert.deepEqual([closed.map(({ reason }) => reason), limits.heldBytes], [['body'], 0])
  })

  // Guards against a limit that callers within the terms of the platform meet.
  test.it('takes 100 requests sent ahead, and heads of 16 KiB, with the default terms', async () => {
    await start(connectionLimits.DEFAULT_TERMS)
    connect(REQUEST.repeat(100))
    await until(() => waiting.length === 100)
    const head = `GET /${'p'.repeat(2_000)} HTTP/1.1\r\nHost: a\r\nLong: `
    connect(`${head}${'x'.repeat(16 * 1024)}\r\n\r\n`)
    await until(() => waiting.length === 101)
    assert.deepEqual([closed, limits.gauges.paused], [[], 0])
  })

  // Guards against connections that were closed for their memory and are kept among those that wait to be read.
  test.it('forgets a connection that it closes while it reads from it', async () => {
    await start({ maxHeldBytes: 25_720 })
    for (let turn = 0; turn < 5; turn++) {
      const { socket } = connect(REQUEST.repeat(4))
      await until(() => waiting.length >= 4)
      socket.write(`GET /${'b'.repeat(3_000)}`)
      await timers.setTimeout(30)
      limits.tick()
      socket.destroy()
      waiting.length = 0
    }
    await until(() => limits.gauges.heldBytes === 0)
    limits.tick()
    assert.equal(limits.gauges.paused, 0)
    assert.deepEqual(closed.map(({ reason }) => reason), Array(5).fill('memory'))
  })
})
