import * as assert from 'node:assert/strict'
import * as blockBody from '../BlockBody.js'
import * as http from 'node:http'
import * as net from 'node:net'
import * as targetClient from './TargetClient.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import type * as services from './Services.js'
import type * as types from './Types.js'

const DIALECT = {
  readAnswer: (_status: number, headers: Record<string, string>) => ({ requestId: headers['request-id'], isDeclined: false, isMarked: true, targetId: undefined, isFromOther: false }),
  readNotice: () => ({ maxCallsPerS: Infinity, isLeaving: false }),
  isForNode: () => false,
  targetIdOf: () => undefined
} as unknown as services.ICallDialect
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n'
const BLOCK = 'x'.repeat(64 * 1024)
/** Memory that a node on a small VM can spare: of 178 MB it usually takes 70 MB. */
const SPARE_BYTES = 100 * 1024 * 1024
const TIMEOUT_MS = 20_000
const SAMPLE_MS = 10

/** Bytes that a target writes first, and bytes that it then repeats without end. */
interface EndlessAnswer {
  readonly first: string
  readonly repeated: string
}

/** Answers that never end, each in another part of an HTTP response. */
const ENDLESS: Readonly<Record<string, EndlessAnswer>> = {
  'a first line': { first: '', repeated: BLOCK },
  'a line of the head': { first: `${HEAD}X-Note: `, repeated: BLOCK },
  'lines of the head': { first: HEAD, repeated: 'X-Note: more\r\n'.repeat(4_000) },
  'a body with a very large length': { first: `${HEAD}Content-Length: 900000000000\r\n\r\n`, repeated: BLOCK },
  'a body without a length': { first: `${HEAD}Connection: close\r\n\r\n`, repeated: BLOCK },
  'a body in chunks': { first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, repeated: `10000\r\n${BLOCK}\r\n` },
  'a body in chunks of one byte': { first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, repeated: '1\r\nx\r\n'.repeat(10_000) },
  'a body in chunks of three bytes with extensions': { first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, repeated: '3;a=b\r\nxyz\r\n'.repeat(5_000) },
  'one chunk': { first: `${HEAD}Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n`, repeated: BLOCK },
  'lines after the last chunk': { first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, repeated: 'X-Note: more\r\n'.repeat(4_000) }
}

/** Answers each request with bytes until the client closes the connection. */
class EndlessTarget {
  public answer: EndlessAnswer = { first: '', repeated: '' }
  public closed = 0
  private readonly _server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.on('close', () => { this.closed += 1 })
    socket.once('data', () => {
      const { first, repeated } = this.answer
      const write = (): void => {
        while (!socket.destroyed && socket.write(repeated));
      }
      socket.on('drain', write)
      socket.write(first)
      write()
    })
  })

  public async listen (): Promise<string> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this._server.address() as net.AddressInfo).port}`
  }

  public close (): void {
    this._server.close()
  }
}

function usedBytes (): number {
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

// Guards against a node that runs out of memory and is killed because a target sends an endless answer.
test.describe('A target whose answer never ends', () => {
  let target: EndlessTarget
  let client: targetClient.TargetClient

  test.beforeEach(async () => {
    target = new EndlessTarget()
    client = new targetClient.TargetClient({ address: await target.listen(), maxConnections: 8, dialect: DIALECT, nowMs: () => performance.now() })
  })

  test.afterEach(() => {
    client.dispose()
    target.close()
  })

  function run (onEnd: (result: types.RunResult) => void): services.ITargetRun {
    return client.run({ requestId: 'r', method: 'POST', path: '/charge/1', headers: [], body: undefined, isExpired: () => false }, onEnd, () => {})
  }

  for (const [part, answer] of Object.entries(ENDLESS)) {
    test.it(`in ${part} has its connection closed, with bounded memory, and the call fails as unknown`, async () => {
      target.answer = answer
      const beforeBytes = usedBytes()
      const results: types.RunResult[] = []
      for (let call = 0; call < 4; call++) run(result => { results.push(result) })
      let peakBytes = 0
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && results.length < 4 && peakBytes < SPARE_BYTES; waitedMs += SAMPLE_MS) {
        await timers.setTimeout(SAMPLE_MS)
        peakBytes = Math.max(peakBytes, usedBytes() - beforeBytes)
      }
      assert.deepEqual(results.map(({ kind }) => kind), ['failed', 'failed', 'failed', 'failed'])
      assert.ok(peakBytes < SPARE_BYTES, `${Math.round(peakBytes / 1024 / 1024)} MB more`)
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && target.closed < 4; waitedMs += SAMPLE_MS) await timers.setTimeout(SAMPLE_MS)
      assert.equal(target.closed, 4)
    })
  }

  test.it('in data that the client skips has its connection closed when the call is aborted, with bounded memory until then', async () => {
    // The client has no limit for informational responses or for chunk extensions.
    for (const repeated of ['HTTP/1.1 102 Processing\r\n\r\n'.repeat(2_000)]) {
      target.answer = { first: '', repeated }
      const beforeBytes = usedBytes()
      let result: types.RunResult | undefined
      const running = run(ended => { result = ended })
      await timers.setTimeout(500)
      const addedBytes = usedBytes() - beforeBytes
      running.abort()
      assert.equal(result?.kind, 'failed')
      assert.ok(addedBytes < SPARE_BYTES, `${Math.round(addedBytes / 1024 / 1024)} MB more`)
    }
  })

  test.it('to a health check has its connection closed, too', async () => {
    for (const answer of Object.values(ENDLESS)) {
      target.answer = answer
      const beforeBytes = usedBytes()
      await client.health('/health', 400)
      assert.ok(usedBytes() - beforeBytes < SPARE_BYTES)
    }
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS && target.closed < Object.keys(ENDLESS).length; waitedMs += SAMPLE_MS) await timers.setTimeout(SAMPLE_MS)
    assert.equal(target.closed, Object.keys(ENDLESS).length)
  })
})

test.describe('A request with a body in blocks', () => {
  const BLOCKS = Array.from({ length: 64 }, (_, at) => Buffer.alloc(256 * 1024, 97 + at % 26))
  const EARLY_BYTES = 100_000
  let server: http.Server
  let client: targetClient.TargetClient
  /** Requests that the target has read whole. */
  let received: Array<{ readonly path: string, readonly length: string | undefined, readonly body: Buffer }>
  let broken: string[]
  let answersEarly: boolean

  test.beforeEach(async () => {
    received = []
    broken = []
    answersEarly = false
    server = http.createServer((request, response) => {
      const parts: Buffer[] = []
      const answer = (): void => { response.writeHead(200, { 'Request-Id': 'r', 'Content-Length': 2 }).end('ok') }
      let readBytes = 0
      request.on('data', (part: Buffer) => {
        parts.push(part)
        readBytes += part.length
        if (answersEarly && !response.headersSent && readBytes > EARLY_BYTES) answer()
      })
      request.on('end', () => {
        received.push({ path: request.url ?? '', length: request.headers['content-length'], body: Buffer.concat(parts) })
        if (!response.headersSent) answer()
      })
      request.on('error', () => {})
    })
    server.on('clientError', error => { broken.push((error as NodeJS.ErrnoException).code ?? error.message) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    client = new targetClient.TargetClient({ address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, maxConnections: 1, dialect: DIALECT, nowMs: () => performance.now() })
  })

  test.afterEach(() => {
    client.dispose()
    server.close()
    server.closeAllConnections()
  })

  function run (path: string, body: blockBody.Body | undefined): Promise<types.RunResult> {
    return new Promise(resolve => { client.run({ requestId: 'r', method: 'POST', path, headers: [], body, isExpired: () => false }, resolve, () => {}) })
  }

  test.it('is written with its length and its bytes', async () => {
    assert.equal((await run('/long', new blockBody.BlockBody(BLOCKS))).kind, 'answered')
    const [{ length, body } = { length: '', body: Buffer.alloc(0) }] = received
    assert.equal(length, String(64 * 256 * 1024))
    assert.ok(body.equals(Buffer.concat(BLOCKS)))
  })

  // Guards against bytes of another request in the rest of a body, whose target has answered before it has read the whole body (UNASKED).
  test.it('that is answered early leaves no place for the bytes of the next one', async () => {
    answersEarly = true
    const results = await Promise.all(Array.from({ length: 6 }, (_, at) => run(`/${at}`, at % 2 === 0 ? new blockBody.BlockBody(BLOCKS) : Buffer.from(`body ${at}`))))
    assert.ok(results.filter(({ kind }) => kind === 'answered').length >= 3)
    for (const { path, body } of received) {
      const at = Number(path.slice(1))
      assert.ok(body.equals(at % 2 === 0 ? Buffer.concat(BLOCKS) : Buffer.from(`body ${at}`)), path)
    }
    // A body that breaks off is one that the client does not send to its end.
    assert.deepEqual(broken.filter(code => code !== 'ECONNRESET' && code !== 'HPE_INVALID_EOF_STATE'), [])
  })
})

// Guards against a request that is written to the target after its deadline, because its connection was opened or became free late.
test.describe('A request that waits for a connection', () => {
  const requested: string[] = []
  let answerFirst: () => void
  let server: net.Server
  let client: targetClient.TargetClient

  test.beforeEach(async () => {
    requested.length = 0
    server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', (data: Buffer) => {
        requested.push(data.toString().split(' ')[1] ?? '')
        answerFirst = () => { socket.write(`${HEAD}Content-Length: 0\r\n\r\n`) }
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    client = new targetClient.TargetClient({ address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, maxConnections: 1, dialect: DIALECT, nowMs: () => performance.now() })
  })

  test.afterEach(() => {
    client.dispose()
    server.close()
  })

  for (const [name, expires, expected] of [['is not written after its deadline', true, ['/1']], ['is written before its deadline', false, ['/1', '/2']]] as const) {
    test.it(name, async () => {
      const results: types.RunResult[] = []
      let isExpired = false
      for (const path of ['/1', '/2']) client.run({ requestId: 'r', method: 'GET', path, headers: [], body: undefined, isExpired: () => isExpired }, result => { results.push(result) }, () => {})
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && requested.length < 1; waitedMs += SAMPLE_MS) await timers.setTimeout(SAMPLE_MS)
      isExpired = expires
      answerFirst()
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && (results.length < 1 || (expires ? results.length : requested.length) < 2); waitedMs += SAMPLE_MS) await timers.setTimeout(SAMPLE_MS)
      assert.deepEqual(requested, expected)
      assert.deepEqual(results.map(({ kind }) => kind), expires ? ['answered', 'withdrawn'] : ['answered'])
    })
  }
})

/** Statuses that no final answer may have. */
const INVALID_STATUSES = ['000', '099', '600', '999', '20', '2000', '2x0', 'abc', '-20', ''] as const

// Guards against a status that is none and reaches the caller, or ends the process when it is written.
test.describe('An answer with a status that is none', () => {
  let server: net.Server
  let client: targetClient.TargetClient
  /** Answers to the next requests, over all connections. */
  let answers: string[]
  let opened: number
  let closed: number

  function run (): Promise<types.RunResult> {
    return new Promise(resolve => { client.run({ requestId: 'r', method: 'GET', path: '/', headers: [], body: undefined, isExpired: () => false }, resolve, () => {}) })
  }

  function answerWith (status: string): string {
    return `HTTP/1.1 ${status} Odd\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok`
  }

  async function until (condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS && !condition(); waitedMs += SAMPLE_MS) await timers.setTimeout(SAMPLE_MS)
    assert.ok(condition())
  }

  test.beforeEach(async () => {
    answers = []
    opened = 0
    closed = 0
    server = net.createServer(socket => {
      opened += 1
      socket.on('error', () => {})
      socket.on('close', () => { closed += 1 })
      socket.on('data', () => { socket.write(answers.shift() ?? answerWith('200')) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    client = new targetClient.TargetClient({ address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, maxConnections: 1, dialect: DIALECT, nowMs: () => performance.now() })
  })

  test.afterEach(() => {
    client.dispose()
    server.close()
  })

  for (const status of INVALID_STATUSES) {
    for (const [place, before] of [['the first', 0], ['a later', 1]] as const) {
      test.it(`such as "${status}", ${place} on its connection, fails the call and closes the connection`, async () => {
        for (let at = 0; at < before; at++) assert.equal((await run()).kind, 'answered')
        answers.push(answerWith(status))
        assert.equal((await run()).kind, 'failed')
        await until(() => closed === 1)
        assert.equal((await run()).kind, 'answered')
        assert.equal(opened, 2)
      })
    }
  }

  // Guards against a wait for a final answer behind one that cannot be an interim answer.
  for (const status of INVALID_STATUSES) {
    test.it(`such as "${status}" without a body fails the call at once, too`, async () => {
      answers.push(`HTTP/1.1 ${status} Odd\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n`)
      assert.equal((await run()).kind, 'failed')
      await until(() => closed === 1)
    })
  }

  // The body behind it is no answer.
  test.it('such as 199 with a body fails the call and closes the connection', async () => {
    answers.push(answerWith('199'))
    assert.equal((await run()).kind, 'failed')
    await until(() => closed === 1)
  })

  test.it('such as 199 alone leaves the call without an answer until its deadline, because one may follow', async () => {
    answers.push('HTTP/1.1 199 Odd\r\n\r\n')
    let result: types.RunResult | undefined
    const running = client.run({ requestId: 'r', method: 'GET', path: '/', headers: [], body: undefined, isExpired: () => false }, ended => { result = ended }, () => {})
    await until(() => answers.length === 0)
    await timers.setTimeout(SAMPLE_MS)
    assert.equal(result, undefined)
    running.abort()
    assert.deepEqual(result, { kind: 'failed', reason: 'timeout', detail: 'aborted' })
    await until(() => closed === 1)
  })

  for (const status of ['100', '101']) {
    test.it(`such as an unexpected ${status} fails the call and closes the connection`, async () => {
      answers.push(`HTTP/1.1 ${status} Interim\r\n\r\n${answerWith('200')}`)
      assert.equal((await run()).kind, 'failed')
      await until(() => closed === 1)
    })
  }

  for (const status of ['102', '103', '199']) {
    test.it(`is none of an interim answer ${status}, behind which the final one is passed on`, async () => {
      answers.push(`HTTP/1.1 ${status} Interim\r\n\r\n${answerWith('200')}`)
      const result = await run()
      assert.ok(result.kind === 'answered' && result.answer.status === 200)
    })
  }

  test.it('to a health check says that the target is not healthy', async () => {
    for (const status of INVALID_STATUSES) {
      answers.push(answerWith(status).replace('Request-Id: r\r\n', 'Instance-Id: t\r\n'))
      const health = await client.health('/health', 400)
      assert.deepEqual([health?.isHealthy === true, health?.targetId], [false, undefined], status)
    }
  })
})
