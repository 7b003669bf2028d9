import * as assert from 'node:assert/strict'
import * as connectionLimits from '../ConnectionLimits.js'
import * as ingresses from './Ingress.js'
import * as events from 'node:events'
import * as net from 'node:net'
import * as test from 'node:test'
import * as testBodies from './testing/Bodies.js'
import * as timers from 'node:timers/promises'
import type * as bodyMemory from './BodyMemory.js'
import type * as services from './Services.js'

const DIALECT = { readRequest: () => ({ requestId: '', remainingMs: 1000 }), answerHeaders: () => [] } as unknown as services.ICallDialect
const TIMEOUT_MS = 20_000

/** Owner that records exchanges and never answers them. */
class FakeOwner implements services.IExchangeOwner {
  public readonly begun: services.IExchange[] = []
  public readonly cancelled: string[] = []

  public begin (exchange: services.IExchange): void {
    this.begun.push(exchange)
  }

  public cancel ({ path }: services.IExchange): void {
    this.cancelled.push(path)
  }

  public endAll (): void {}
}

async function until (condition: () => boolean): Promise<void> {
  for (let waitedMs = 0; !condition() && waitedMs < TIMEOUT_MS; waitedMs += 5) await timers.setTimeout(5)
}

test.describe('Ingress', () => {
  let owner: FakeOwner
  let ingress: ingresses.Ingress
  let client: net.Socket
  let dropped: string[]
  let refused: string[]
  let late: string[]
  let port: number

  async function send (paths: readonly string[]): Promise<void> {
    client.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: booth.example\r\n\r\n`).join(''))
    await until(() => owner.begun.length === paths.length)
  }

  async function listen (bodies: bodyMemory.BodyMemory): Promise<void> {
    ingress = new ingresses.Ingress({ address: { host: '127.0.0.1', port: 0 }, bodies, owner, dialect: DIALECT, nowMs: () => performance.now(), onAcceptsEnd: () => {}, onBodyLate: exchange => { late.push(exchange.path) }, onBodyRefused: exchange => { refused.push(exchange.path) }, onDropped: exchange => { dropped.push(exchange.path) } })
    port = await ingress.listen()
  }

  test.beforeEach(async () => {
    owner = new FakeOwner()
    dropped = []
    refused = []
    late = []
    await listen(testBodies.newBodies())
    client = net.connect(port, '127.0.0.1')
    client.on('error', () => {})
  })

  test.afterEach(() => {
    client.destroy()
    ingress.dispose()
  })

  test.describe('a caller that disconnects', () => {
    // Guards against calls that are forwarded and run although their callers have closed the connection.
    for (const [manner, disconnect] of [['resets', () => client.resetAndDestroy()], ['closes', () => client.destroy()]] as const) {
      test.it(`and ${manner} its connection cancels all requests on it, including pipelined ones`, async () => {
        await send(['/1', '/2', '/3'])
        disconnect()
        await until(() => owner.cancelled.length === 3)
        assert.deepEqual(owner.cancelled, ['/1', '/2', '/3'])
      })
    }

    test.it('cancels only the requests that have no answer yet', async () => {
      await send(['/1', '/2'])
      owner.begun[0]?.answer({ status: 200, headers: [], body: undefined, isUnframed: false })
      client.destroy()
      await until(() => owner.cancelled.length === 1)
      assert.deepEqual(owner.cancelled, ['/2'])
    })
  })

  // Guards against requests that are sent on although everything that takes them back has already arrived (GONE).
  test.describe('a caller that has left before its request is read', () => {
    const request = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: booth.example\r\n\r\n`

    test.it('on an open connection makes the node drop the request', async () => {
      await send(['/1'])
      client.write(request('/2'))
      client.destroy()
      await until(() => owner.cancelled.length > 0)
      await timers.setTimeout(50)
      assert.deepEqual([owner.begun.map(({ path }) => path), dropped], [['/1'], ['/2']])
    })

    test.it('on a new connection makes the node drop the request, also when many arrive together', async () => {
      const leavers = Array.from({ length: 20 }, (_, at) => {
        const leaver = net.connect(port, '127.0.0.1', () => {
          leaver.write(request(`/left/${at}`))
          leaver.destroy()
        })
        return leaver
      })
      await until(() => leavers.every(({ destroyed }) => destroyed))
      await timers.setTimeout(50)
      client.write(request('/stays'))
      await until(() => owner.begun.some(({ path }) => path === '/stays'))
      assert.deepEqual([owner.begun.map(({ path }) => path), dropped.length], [['/stays'], 20])
    })
  })

  test.describe('bodies that take more than their share of the memory', () => {
    const BODY_BYTES = 5 * 1024 * 1024
    let clients: net.Socket[]

    /** Sends a body without its last byte. */
    function sendUnfinished (path: string, bodyBytes = BODY_BYTES): { answer: string } {
      const received = { answer: '' }
      const socket = net.connect(port, '127.0.0.1')
      clients.push(socket)
      socket.on('error', () => {}).on('data', part => { received.answer += part.toString() })
      socket.write(`POST ${path} HTTP/1.1\r\nHost: booth.example\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
      socket.write(Buffer.alloc(bodyBytes - 1))
      return received
    }

    test.beforeEach(() => { clients = [] })

    test.afterEach(() => { for (const socket of clients) socket.destroy() })

    // Guards against unfinished bodies of many callers that together exceed the memory of the process (review, case 5).
    test.it('are refused at once as not run, and leave one long body and all short requests', async () => {
      const all = Array.from({ length: 6 }, (_, at) => sendUnfinished(`/long/${at}`))
      const answers = (): string[] => all.map(({ answer }) => answer).filter(answer => answer !== '')
      await until(() => answers().length === 3 && ingress.bodyBytes >= 3 * (BODY_BYTES - 1))
      assert.equal(refused.length, 3)
      for (const answer of answers()) assert.match(answer, /^HTTP\/1\.1 503 [^]*Elmpost-Outcome: not-run[^]*Retry-After: 0\.500[^]*Connection: keep-alive/)
      await send(['/short'])
      for (const socket of clients) socket.write('x')
      await until(() => owner.begun.length === 4)
      assert.equal(owner.begun.filter(({ body }) => body?.length === BODY_BYTES).length, 3)
    })

    // Guards against a refusal that is lost because the connection closes while its caller still sends.
    test.it('are read to their end after the refusal, so that the connection can be used again', async () => {
      for (let at = 0; at < 4; at++) sendUnfinished(`/long/${at}`)
      await until(() => refused.length === 1)
      for (const socket of clients) socket.write('xGET /next HTTP/1.1\r\nHost: booth.example\r\n\r\n')
      const next = (): number => owner.begun.filter(({ path }) => path === '/next').length
      await until(() => next() === 4)
      assert.equal(next(), 4)
    })

    // Guards against a refused caller whose body has no end, and takes the time of the process for as long as it likes.
    test.it('are read no further than the longest body that is allowed', async () => {
      ingress.setLimits({ maxBodyBytes: 2 * BODY_BYTES, idleTimeoutMs: 60_000 })
      // Whole bodies are not refused.
      for (let at = 0; at < 2; at++) {
        sendUnfinished(`/whole/${at}`, 2 * BODY_BYTES)
        clients.at(-1)?.write('x')
        await until(() => owner.begun.length === at + 1)
      }
      const received = { answer: '' }
      const socket = net.connect(port, '127.0.0.1')
      clients.push(socket)
      socket.on('error', () => {}).on('data', part => { received.answer += part.toString() })
      socket.write('POST /endless HTTP/1.1\r\nHost: booth.example\r\nTransfer-Encoding: chunked\r\n\r\n')
      const chunk = Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`)
      let sentBytes = 0
      for (; !socket.destroyed && sentBytes < 40 * BODY_BYTES; sentBytes += 0x10000) if (!socket.write(chunk)) await Promise.race([events.EventEmitter.once(socket, 'drain'), events.EventEmitter.once(socket, 'close')]).catch(() => {})
      await until(() => socket.destroyed)
      assert.ok(socket.destroyed, `${sentBytes} bytes sent`)
      assert.deepEqual(refused, ['/endless'])
    })

    // Guards against callers that stop short of the end of their bodies, and hold their memory for as long as they like.
    for (const [cause, idleTimeoutMs] of [['nothing more has come for the idle time', 200], ['their callers have stopped waiting', 60_000]] as const) {
      test.it(`are refused as not run when ${cause}, and their connections closed`, async () => {
        ingress.setLimits({ maxBodyBytes: 2 * BODY_BYTES, idleTimeoutMs })
        const stopped = sendUnfinished('/stopped')
        await until(() => ingress.bodyBytes === BODY_BYTES - 1)
        ingress.tick()
        assert.deepEqual(late, [])
        await until(() => {
          ingress.tick()
          return late.length > 0 && clients[0]?.destroyed === true
        })
        assert.match(stopped.answer, /^HTTP\/1\.1 408 [^]*Elmpost-Outcome: not-run[^]*Retry-After: 0\.500[^]*Connection: close/)
        assert.deepEqual([late, ingress.bodyBytes, owner.begun.length], [['/stopped'], 0, 0])
      })
    }

    // Guards against bodies that are counted for ever, because Node.js tells nothing of the answers behind the next one when a connection closes.
    test.it('are forgotten when a caller leaves whose requests wait behind another one', async () => {
      for (const bytes of [BODY_BYTES, BODY_BYTES - 1]) {
        const socket = net.connect(port, '127.0.0.1')
        clients.push(socket)
        socket.on('error', () => {})
        const begun = owner.begun.length
        socket.write(`GET /first HTTP/1.1\r\nHost: booth.example\r\n\r\nPOST /behind HTTP/1.1\r\nHost: booth.example\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`)
        socket.write(Buffer.alloc(bytes))
        await until(() => ingress.bodyBytes === bytes && owner.begun.length === begun + (bytes === BODY_BYTES ? 2 : 1))
        socket.destroy()
        await until(() => ingress.bodyBytes === 0)
        assert.equal(ingress.bodyBytes, 0)
      }
      assert.deepEqual(owner.cancelled, ['/first', '/behind', '/first'])
    })

    // Guards against a second answer to a refused request, more of which arrives while an answer before its own is due.
    test.it('are refused once each, also when more of a refused one arrives', async () => {
      client.write(`GET /first HTTP/1.1\r\nHost: booth.example\r\n\r\nPOST /behind HTTP/1.1\r\nHost: booth.example\r\nContent-Length: ${8 * BODY_BYTES}\r\n\r\n`)
      client.write(Buffer.alloc(2 * BODY_BYTES))
      await until(() => ingress.bodyBytes === 2 * BODY_BYTES)
      sendUnfinished('/longest', 3 * BODY_BYTES)
      await until(() => ingress.bodyBytes === 5 * BODY_BYTES - 1)
      // Whole bodies are not refused. Together they leave room for one piece of the refused one.
      const roomBytes = 100_000
      for (const [path, bytes] of [['/whole/1', BODY_BYTES], ['/whole/2', BODY_BYTES], ['/whole/3', connectionLimits.DEFAULT_TERMS.maxSharedBodyBytes - 2 * BODY_BYTES - roomBytes]] as const) {
        sendUnfinished(path, bytes)
        await timers.setTimeout(50)
        clients.at(-1)?.write('x')
        await until(() => owner.begun.some(exchange => exchange.path === path))
      }
      assert.deepEqual(refused, ['/behind'])
      client.write(Buffer.alloc(BODY_BYTES))
      await timers.setTimeout(50)
      for (let at = 0; at < 2 * roomBytes / 1_000; at++) sendUnfinished(`/small/${at}`, 1_000)
      await until(() => refused.length > 50)
      assert.equal(new Set(refused).size, refused.length)
    })

    // Guards against bodies of callers that have left, which stay in memory as garbage beside those of the next ones.
    test.it('leave their memory to the next ones when their callers leave', async () => {
      const bodies = testBodies.newBodies()
      const newBlocks = bodies.newBlocks.bind(bodies)
      let cleared = 0
      bodies.newBlocks = () => {
        const blocks = newBlocks()
        const clear = blocks.clear.bind(blocks)
        blocks.clear = () => {
          cleared += blocks.lengthBytes
          clear()
        }
        return blocks
      }
      ingress.dispose()
      await listen(bodies)
      sendUnfinished('/left')
      await until(() => ingress.bodyBytes === BODY_BYTES - 1)
      clients[0]?.destroy()
      await until(() => cleared > 0)
      assert.deepEqual([cleared, ingress.bodyBytes], [BODY_BYTES - 1, 0])
    })

    test.it('are forgotten when their requests are answered or their callers leave', async () => {
      sendUnfinished('/long/1')
      sendUnfinished('/long/2')
      await until(() => ingress.bodyBytes === 2 * (BODY_BYTES - 1))
      clients[0]?.destroy()
      clients[1]?.write('x')
      await until(() => owner.begun.length === 1 && ingress.bodyBytes === BODY_BYTES)
      owner.begun[0]?.answer({ status: 200, headers: [], body: undefined, isUnframed: false })
      await until(() => ingress.bodyBytes === 0)
      assert.equal(ingress.bodyBytes, 0)
    })
  })

  test.it('keeps one listener per connection, regardless of the number of requests on it', async () => {
    const warnings: Error[] = []
    const handleWarning = (warning: Error): void => { warnings.push(warning) }
    process.on('warning', handleWarning)
    for (let call = 0; call < 30; call++) {
      await send([`/${call}`])
      owner.begun.pop()?.answer({ status: 200, headers: [], body: undefined, isUnframed: false })
    }
    await timers.setImmediate()
    process.off('warning', handleWarning)
    assert.deepEqual(warnings, [])
  })
})
