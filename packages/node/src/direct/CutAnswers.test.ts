import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as targetClient from './TargetClient.js'
import * as test from 'node:test'
import * as workerThreads from 'node:worker_threads'
import type * as services from './Services.js'
import type * as types from './Types.js'

const DIALECT = {
  readAnswer: (status: number, headers: Record<string, string>) => ({ requestId: headers['request-id'], isDeclined: headers['not-run'] !== undefined, isMarked: headers['stamp'] !== undefined, targetId: undefined, isFromOther: status === 421 }),
  readNotice: () => ({ maxCallsPerS: Infinity, isLeaving: false }),
  isForNode: () => false,
  targetIdOf: () => undefined
} as unknown as services.ICallDialect
const MARKS = 'Request-Id: r\r\nStamp: 1\r\n'

/** How an answer is framed. Only the connection ends one without a length, so that one may be shorter than the target meant it. */
interface Answer {
  readonly bytes: string
  /** First byte of a body that its connection ends; Infinity for an answer that says where it ends. */
  readonly unframedFrom: number
}

function unframed (head: string, body: string): Answer {
  return { bytes: head + body, unframedFrom: head.length }
}

const FRAMED: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\n${MARKS}Content-Length: 5\r\n\r\nhello`,
  'with a length and a close': `HTTP/1.1 200 OK\r\n${MARKS}Connection: close\r\nContent-Length: 5\r\n\r\nhello`,
  'without a body': `HTTP/1.1 200 OK\r\n${MARKS}Content-Length: 0\r\n\r\n`,
  'in chunks': `HTTP/1.1 200 OK\r\n${MARKS}Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n`,
  'in chunks, with a close': `HTTP/1.1 200 OK\r\n${MARKS}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`,
  'of HTTP/1.0 with a length': `HTTP/1.0 200 OK\r\n${MARKS}Content-Length: 5\r\n\r\nhello`,
  'behind early hints': `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n${MARKS}Content-Length: 5\r\n\r\nhello`,
  'behind an informational one that closes': `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n${MARKS}Content-Length: 5\r\n\r\nhello`,
  'behind an informational one of HTTP/1.0': `HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${MARKS}Content-Length: 5\r\n\r\nhello`,
  'that refuses': `HTTP/1.1 503 Full\r\n${MARKS}Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull`,
  'that refuses, with a close': `HTTP/1.1 503 Full\r\n${MARKS}Not-Run: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfull`
}

const ANSWERS: Readonly<Record<string, Answer>> = {
  ...Object.fromEntries(Object.entries(FRAMED).map(([name, bytes]) => [name, { bytes, unframedFrom: Infinity }])),
  'without a length': unframed(`HTTP/1.1 200 OK\r\n${MARKS}Connection: close\r\n\r\n`, 'hello'),
  'without a length or a close': unframed(`HTTP/1.1 200 OK\r\n${MARKS}\r\n`, 'hello'),
  'of HTTP/1.0 without a length': unframed(`HTTP/1.0 200 OK\r\n${MARKS}\r\n`, 'hello')
}

/** Writes the first bytes of an answer, in one piece or two, and ends or resets the connection. */
class CuttingTarget {
  public cut = ''
  public pieces = 1
  public isReset = false
  private readonly _server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      const half = this.pieces === 1 ? 0 : Math.floor(this.cut.length / 2)
      socket.write(this.cut.slice(0, half))
      setImmediate(() => { socket.write(this.cut.slice(half), () => { this._end(socket) }) })
    })
  })

  public async listen (): Promise<string> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this._server.address() as net.AddressInfo).port}`
  }

  public close (): void {
    this._server.close()
  }

  private _end (socket: net.Socket): void {
    if (this.isReset) setTimeout(() => { socket.resetAndDestroy() }, 2)
    else socket.end()
  }
}

// Guards against an answer that the target has broken off, and that callers get as a whole one (MIXED).
test.describe('An answer that is cut at any byte is not passed on as a whole one', () => {
  let target: CuttingTarget
  let client: targetClient.TargetClient

  test.beforeEach(async () => {
    target = new CuttingTarget()
    client = new targetClient.TargetClient({ address: await target.listen(), maxConnections: 1, dialect: DIALECT, nowMs: () => performance.now() })
  })

  test.afterEach(() => {
    client.dispose()
    target.close()
  })

  function run (): Promise<types.RunResult> {
    return new Promise(resolve => {
      client.run({ requestId: 'r', method: 'POST', path: '/charge/1', headers: [], body: undefined, isExpired: () => false }, resolve, () => {})
    })
  }

  for (const [name, { bytes, unframedFrom }] of Object.entries(ANSWERS)) {
    for (const isReset of [false, true]) {
      for (const pieces of [1, 2]) {
        test.it(`${name}, ${isReset ? 'reset' : 'ended'}, in ${pieces === 1 ? 'one piece' : 'two pieces'}`, async () => {
          target.isReset = isReset
          target.pieces = pieces
          for (let length = 0; length < bytes.length; length++) {
            target.cut = bytes.slice(0, length)
            const result = await run()
            const mayEnd = !isReset && length >= unframedFrom
            assert.equal(result.kind, mayEnd ? 'answered' : 'failed', `cut after ${length} bytes: ${JSON.stringify(bytes.slice(0, length))}: ${JSON.stringify(result)}`)
            if (result.kind === 'answered') assert.equal(result.answer.isUnframed, true)
          }
          target.cut = bytes
          const whole = await run()
          // A reset may overtake the last bytes of an answer, and is no end of one without a length. Nothing may follow a head that closes.
          if (!isReset && !name.startsWith('behind an informational one ')) assert.notEqual(whole.kind, 'failed')
          else if (unframedFrom !== Infinity) assert.equal(whole.kind, 'failed')
        })
      }
    }
  }
})

/** Answers each request without a length and ends or resets the connection after 2 ms, in a thread of its own. */
const UNFRAMED_TARGET = `
const { parentPort, workerData } = require('node:worker_threads')
const server = require('node:net').createServer(socket => {
  socket.on('error', () => {})
  socket.once('data', () => {
    socket.write(workerData.answer, () => setTimeout(() => { workerData.isReset ? socket.resetAndDestroy() : socket.end() }, 2))
  })
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`
const STALL_MS = 20
const STALLS = 10

function stall (times: number): void {
  const untilMs = performance.now() + STALL_MS
  while (performance.now() < untilMs);
  if (times > 1) setImmediate(() => { stall(times - 1) })
}

// Guards against a reset that a busy node reads in one turn with the bytes before it, and takes for the end of the answer (MIXED).
test.describe('An answer without a length, read late by a busy node', () => {
  let worker: workerThreads.Worker
  let client: targetClient.TargetClient

  test.afterEach(async () => {
    client.dispose()
    await worker.terminate()
  })

  for (const { isReset, kind } of [{ isReset: true, kind: 'failed' }, { isReset: false, kind: 'answered' }] as const) {
    test.it(isReset ? 'fails if its connection was reset' : 'is complete if its connection has ended', async () => {
      worker = new workerThreads.Worker(UNFRAMED_TARGET, { eval: true, workerData: { answer: `HTTP/1.1 200 OK\r\n${MARKS}Connection: close\r\n\r\nhello`, isReset } })
      const port = await new Promise<number>(resolve => { worker.once('message', resolve) })
      client = new targetClient.TargetClient({ address: `127.0.0.1:${port}`, maxConnections: 1, dialect: DIALECT, nowMs: () => performance.now() })
      for (let at = 0; at < 5; at++) {
        const result = await new Promise<types.RunResult>(resolve => {
          client.run({ requestId: 'r', method: 'POST', path: '/charge/1', headers: [], body: undefined, isExpired: () => false }, resolve, () => {})
          stall(STALLS)
        })
        assert.equal(result.kind, kind, JSON.stringify(result))
      }
    })
  }
})
