import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as http from 'node:http'
import * as httpAdminClient from './HttpAdminClient.js'
import * as httpLogClient from './HttpLogClient.js'
import * as os from 'node:os'
import * as path from 'node:path'
import * as fs from 'node:fs/promises'
import * as silentLogger from './SilentLogger.js'
import * as streamConsumers from 'node:stream/consumers'
import * as test from 'node:test'
import * as testEnvironment from './TestEnvironment.js'
import * as url from 'node:url'
import * as util from 'node:util'
import type * as net from 'node:net'
import type * as types from './Types.js'

/** Long enough for an answer on a busy machine. */
const ANSWER_TIMEOUT_MS = 60_000
/** For servers that never answer. */
const HANG_TIMEOUT_MS = 300
const LAUNCHER = url.fileURLToPath(new URL('../bin/elmpost.js', import.meta.url))

type Answer = (request: http.IncomingMessage, body: string) => readonly [status: number, body: unknown] | 'destroy' | 'hang'

/** Runs a server on the loopback interface for the duration of a test. */
async function withServer (answer: Answer, use: (address: string) => Promise<void>): Promise<void> {
  const server = http.createServer(async (request, response) => {
    const result = answer(request, await streamConsumers.text(request))
    if (result === 'destroy') response.destroy()
    else if (result !== 'hang') response.writeHead(result[0]).end(typeof result[1] === 'string' ? result[1] : JSON.stringify(result[1]))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await use(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

/** The log protocol over a log in memory. */
function logAnswer (log: testEnvironment.FakeLog): Answer {
  return (request, body) => {
    const target = new URL(request.url ?? '', 'http://log')
    const stream = target.pathname.split('/')[2] as types.StreamName
    if (request.method === 'POST') return [201, { offset: log.streams[stream].push(JSON.parse(body)) - 1 }]
    const from = Number(target.searchParams.get('from'))
    const records = log.streams[stream].map((data, offset) => ({ offset, data })).slice(from, from + Number(target.searchParams.get('limit')))
    return [200, { records, firstOffset: 0, nextOffset: from + records.length, retentionMs: 3_600_000 }]
  }
}

test.describe('HttpLogClient', () => {
  async function append (answer: Answer, timeoutMs = ANSWER_TIMEOUT_MS): Promise<types.AppendResult['kind']> {
    let kind: types.AppendResult['kind'] | undefined
    await withServer(answer, async address => {
      kind = (await new httpLogClient.HttpLogClient(`http://${address}/`, timeoutMs, silentLogger.SILENT_LOGGER).append('config', {})).kind
    })
    return kind ?? assert.fail('no result')
  }

  test.it('reports an append as done or refused only if the log says so, so that a lost answer is never reported as a rejection', async () => {
    assert.equal(await append(() => [201, { offset: 4 }]), 'appended')
    assert.equal(await append(() => [413, {}]), 'refused')
    for (const answer of [[503, {}], [500, 'x'], [201, 'x'], [201, { offset: -1 }], 'destroy'] as const) {
      assert.equal(await append(() => answer), 'unknown')
    }
    assert.equal(await append(() => 'hang', HANG_TIMEOUT_MS), 'unknown')
  })

  test.it('reports not-sent if nothing listens on the port, so that apply can end with rejected', async () => {
    let address = ''
    await withServer(() => 'hang', async used => { address = used })
    assert.equal((await new httpLogClient.HttpLogClient(`http://${address}`, ANSWER_TIMEOUT_MS, silentLogger.SILENT_LOGGER).append('config', {})).kind, 'not-sent')
  })

  test.it('connects to ports that browsers block, so that the log may listen on any port', async () => {
    const result = await new httpLogClient.HttpLogClient('http://127.0.0.1:1', ANSWER_TIMEOUT_MS, silentLogger.SILENT_LOGGER).append('config', {})
    assert.deepEqual(result, { kind: 'not-sent', problem: 'The log at http://127.0.0.1:1 gave no answer (ECONNREFUSED).' })
  })

  test.it('reports why there is no answer, so that operators can tell a closed connection from a time-out', async () => {
    const cases: ReadonlyArray<readonly [answer: 'destroy' | 'hang', problem: string]> = [
      ['destroy', 'UND_ERR_SOCKET'],
      ['hang', 'The operation was aborted due to timeout']
    ]
    for (const [answer, problem] of cases) {
      await withServer(() => answer, async address => {
        const url = `http://${address}`
        const timeoutMs = answer === 'hang' ? HANG_TIMEOUT_MS : ANSWER_TIMEOUT_MS
        const page = await new httpLogClient.HttpLogClient(url, timeoutMs, silentLogger.SILENT_LOGGER).read('config', 0)
        assert.equal(page.unwrapErr().message, `The log at ${url} gave no answer (${problem}). Check --log-url and try again.`)
      })
    }
  })

  test.it('reports answers that are not pages, so that a wrong URL is not taken for an empty log', async () => {
    for (const answer of [[200, 'x'], [200, {}], [200, { records: [{}], firstOffset: 0 }], [200, { records: [], firstOffset: -1 }], [404, {}], 'destroy', 'hang'] as const) {
      await withServer(() => answer, async address => {
        const page = await new httpLogClient.HttpLogClient(`http://${address}`, answer === 'hang' ? HANG_TIMEOUT_MS : ANSWER_TIMEOUT_MS, silentLogger.SILENT_LOGGER).read('config', 0)
        assert.equal(page.unwrapErr().kind, 'unreachable')
      })
    }
  })
})

test.describe('HttpAdminClient', () => {
  test.it('reports answers that are not a status, so that a wrong address is detected', async () => {
    const row = testEnvironment.fakeRow('a', 'vake', 1, 1)
    const cases: ReadonlyArray<readonly [body: unknown, isStatus: boolean]> = [
      [{ version: 1, self: row, members: [row] }, true],
      [{ version: 1, members: [{ ...row, enforcedVersion: 'x' }] }, false],
      [{ version: 1, members: [null] }, false],
      ['ok', false]
    ]
    for (const [body, isStatus] of cases) {
      await withServer(() => [200, body], async address => {
        assert.equal((await new httpAdminClient.HttpAdminClient(ANSWER_TIMEOUT_MS, silentLogger.SILENT_LOGGER).fetchStatus(address)).isOk(), isStatus)
      })
    }
  })

  test.it('posts to the endpoint of the action, so that drain and undrain are not confused', async () => {
    const seen: unknown[] = []
    await withServer(request => { seen.push([request.method, request.url]); return [seen.length === 1 ? 200 : 409, {}] }, async address => {
      const client = new httpAdminClient.HttpAdminClient(ANSWER_TIMEOUT_MS, silentLogger.SILENT_LOGGER)
      assert.equal((await client.postAction(address, 'drain')).isOk(), true)
      assert.equal((await client.postAction(address, 'undrain')).unwrapErr().kind, 'rejected')
    })
    assert.deepEqual(seen, [['POST', '/admin/drain'], ['POST', '/admin/undrain']])
  })
})

test.describe('bin/elmpost.js', () => {
  test.it('applies a file over HTTP in a process of its own, with the right exit codes and log lines', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-cli-'))
    const file = path.join(folder, 'config.json')
    await fs.writeFile(file, JSON.stringify(documents.testDocument()))
    const log = new testEnvironment.FakeLog()
    const run = util.promisify(childProcess.execFile)
    await withServer(logAnswer(log), async address => {
      const options = { env: { ...process.env, ELMPOST_LOG_URL: `http://${address}`, ELMPOST_NODE_ID: 'ignored' } }
      const { stdout } = await run(process.execPath, [LAUNCHER, 'apply', file], options)
      assert.match(stdout, /^accepted version 1 /)
      await assert.rejects(run(process.execPath, [LAUNCHER, 'history', '--proposal', 'none'], options), { code: 3 })
      const verbose = await run(process.execPath, [LAUNCHER, 'apply', file, '--verbose'], options)
      assert.match(verbose.stdout, /^accepted version 1\n/)
      const steps = verbose.stderr.trimEnd().split('\n').map(line => JSON.parse(line) as { message: string, context: { status?: number } })
      assert.deepEqual(steps.map(step => step.message), ['request', 'answer', 'verdict', 'request', 'answer'])
      assert.equal(steps[1]?.context.status, 200)
    })
    assert.equal(log.streams.config.length, 1)
    await fs.rm(folder, { recursive: true })
  })
})
