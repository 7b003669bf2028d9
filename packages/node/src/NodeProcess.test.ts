import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import * as peerLinks from './PeerLinks.js'
import * as test from 'node:test'
import * as fakeServices from './testing/FakeServices.js'
import * as timers from 'node:timers/promises'
import * as testMesh from './testing/TestMesh.js'
import * as undici from 'undici'
import * as uuid from 'uuid'

/** Enough answers that service times from pauses of a busy machine have decayed out of the averages. */
const ANSWERS_BEFORE_HANG = 100

test.describe('NodeProcess', () => {
  let mesh: testMesh.TestMesh

  test.beforeEach(() => { mesh = new testMesh.TestMesh() })
  test.afterEach(() => { mesh.stop() })

  /** Starts an entry node without a target, and a host node with a target. */
  async function start (handler: http.RequestListener): Promise<testMesh.TestNode> {
    const entry = await mesh.addNode('entry')
    await mesh.addNode('host', handler)
    mesh.shareMembership()
    return entry
  }

  test.describe('status', () => {
    test.it('shows the versions reported in heartbeats, which are newer than those in the membership rows', async () => {
      const node = await mesh.addUnconfiguredNode('bare')
      node.services.membership.versions.set('bare', 7)
      const answer = await undici.request(`${node.adminUrl}/admin/status`)
      const { members } = await answer.body.json() as { members: { nodeId: string, enforcedVersion: number }[] }
      assert.deepEqual(members.map(row => [row.nodeId, row.enforcedVersion]), [['bare', 7]])
    })
  })

  test.describe('path of a call', () => {
    test.it('passes the complete answer of the target to the caller, with the outcome', async () => {
      const entry = await start((_request, response) => { response.writeHead(201, { 'x-a': 'b', 'set-cookie': ['c=1', 'd=2'] }).end('hello') })
      const answer = await undici.request(`${entry.callerUrl}/price/visa?x=1`)
      assert.equal(answer.statusCode, 201)
      assert.equal(answer.headers['elmpost-outcome'], 'answered')
      assert.equal(answer.headers['x-a'], 'b')
      assert.deepEqual(answer.headers['set-cookie'], ['c=1', 'd=2'])
      assert.equal(await answer.body.text(), 'hello')
      assert.deepEqual(mesh.target().paths, ['/price/visa?x=1'])
    })

    test.it('sends a call to its own target without a connection to itself', async () => {
      const host = await mesh.addNode('host', (_request, response) => { response.end('local') })
      mesh.shareMembership()
      const answer = await undici.request(`${host.callerUrl}/price`)
      assert.equal(await answer.body.text(), 'local')
      assert.equal(host.process.gauges().openLinks, 0)
    })

    test.it('passes the key, the deadline, the depth and the attempt to the target, so that it can use them in nested calls', async () => {
      const entry = await start((_request, response) => { response.end() })
      const key = uuid.v7()
      const answer = await undici.request(`${entry.callerUrl}/charge`, {
        method: 'POST',
        body: 'money',
        headers: { 'idempotency-key': key, 'elmpost-depth': '3', 'elmpost-attempt': '2', 'elmpost-deadline-ms': '4000' }
      })
      assert.equal(answer.headers['idempotency-key'], key)
      const received = mesh.target().headers[0] ?? {}
      assert.equal(received['idempotency-key'], key)
      assert.equal(received['elmpost-depth'], '4')
      assert.equal(received['elmpost-attempt'], '2')
      assert.ok(Number(received['elmpost-deadline-ms']) <= 4000)
    })

    test.it('gives each caller its own answer when answers come in the opposite order', async () => {
      const held: http.ServerResponse[] = []
      const entry = await start((request, response) => {
        held.push(Object.assign(response, { label: request.url }))
        if (held.length < 2) return
        for (const waiting of held.reverse()) waiting.end((waiting as http.ServerResponse & { label: string }).label)
      })
      const paths = ['/price/a', '/price/b']
      const texts = await Promise.all(paths.map(async path => await (await undici.request(entry.callerUrl + path)).body.text()))
      assert.deepEqual(texts, paths)
    })
  })

  test.describe('refusals', () => {
    test.it('refuses a body above the maximum of a message between nodes, because sending it would break the connection and every call on it', { timeout: 10_000 }, async () => {
      const entry = await start((_request, response) => { response.end('done') })
      const large = fakeServices.DOCUMENT.routes.map(route => ({ ...route, limits: { ...route.limits, maxBodyBytes: 64 * 1024 * 1024 } }))
      const state = { version: 2, digest: 'e', rulesVersion: 1, document: { ...fakeServices.DOCUMENT, routes: large } }
      for (const node of mesh.nodes) node.services.enforcement.enforce(state, Date.now())
      // Sends only the head, because the answer must not depend on how fast the body arrives.
      const request = http.request(`${entry.callerUrl}/charge`, { method: 'POST', headers: { 'content-length': peerLinks.MAX_CALL_BODY_BYTES + 1 } })
      request.on('error', () => {})
      request.flushHeaders()
      const refused = await new Promise<http.IncomingMessage>(resolve => { request.once('response', resolve) })
      request.destroy()
      assert.deepEqual([refused.statusCode, refused.headers['elmpost-outcome'], refused.headers['elmpost-reason']], [413, 'not-run', 'body-too-large'])
    })

    test.it('names the reason and the remedy for a path without a route', async () => {
      const entry = await start((_request, response) => { response.end() })
      const answer = await undici.request(`${entry.callerUrl}/nothing`)
      assert.equal(answer.statusCode, 404)
      assert.equal(answer.headers['elmpost-outcome'], 'not-run')
      const body = await answer.body.json() as { reason: string, remedy: string }
      assert.equal(body.reason, 'no-route')
      assert.match(body.remedy, /routes of the configuration/)
    })

    test.it('refuses a body above the limit of every route without reading all of it', async () => {
      const entry = await start((_request, response) => { response.end() })
      const answer = await undici.request(`${entry.callerUrl}/charge`, { method: 'POST', body: Buffer.alloc(70_000) })
      assert.equal(answer.statusCode, 413)
      assert.equal(answer.headers['elmpost-outcome'], 'not-run')
      await answer.body.dump()
      assert.deepEqual(mesh.target().paths, [])
    })

    test.it('does not answer not-run for a keyed call while it has no configuration, because another node may have run the key', async () => {
      const node = await mesh.addUnconfiguredNode('bare')
      const answer = await undici.request(`${node.callerUrl}/charge`, { method: 'POST', body: 'money', headers: { 'idempotency-key': uuid.v7() } })
      assert.equal(answer.headers['elmpost-reason'], 'no-configuration')
      assert.equal(answer.headers['elmpost-outcome'], 'unknown')
      await answer.body.dump()
    })

    for (const [refusal, request] of [
      ['a body above the limit', { body: Buffer.alloc(70_000), headers: {} }],
      ['a deadline that is not a number', { body: 'money', headers: { 'elmpost-deadline-ms': 'soon' } }]
    ] as const) {
      test.it(`does not answer not-run for a keyed call with ${refusal}, because an earlier attempt may have run`, async () => {
        const entry = await start((_request, response) => { response.end() })
        const headers = { ...request.headers, 'idempotency-key': uuid.v7() }
        const answer = await undici.request(`${entry.callerUrl}/charge`, { method: 'POST', body: request.body, headers })
        assert.equal(answer.headers['elmpost-outcome'], 'unknown')
        await answer.body.dump()
      })
    }

    test.it('refuses a deadline that is not a number instead of ignoring it', async () => {
      const entry = await start((_request, response) => { response.end() })
      const answer = await undici.request(`${entry.callerUrl}/price`, { headers: { 'elmpost-deadline-ms': 'soon' } })
      assert.equal(answer.statusCode, 400)
      assert.equal(answer.headers['elmpost-reason'], 'bad-request')
      await answer.body.dump()
    })
  })

  test.describe('streamed answers', () => {
    test.it('passes a large answer completely to a caller that reads slowly', async () => {
      const large = crypto.randomBytes(6 * 1024 * 1024)
      const entry = await start((_request, response) => { response.end(large) })
      const answer = await undici.request(`${entry.callerUrl}/price`)
      const hash = crypto.createHash('sha256')
      for await (const part of answer.body) {
        hash.update(part as Buffer)
        await new Promise(resolve => { setImmediate(resolve) })
      }
      assert.equal(hash.digest('hex'), crypto.createHash('sha256').update(large).digest('hex'))
    })

    test.it('breaks the connection of the caller when the target aborts in the middle of the body', async () => {
      const entry = await start((_request, response) => {
        response.writeHead(200, { 'content-length': 1_000_000 })
        response.write(Buffer.alloc(400_000), () => { response.destroy() })
      })
      const answer = await undici.request(`${entry.callerUrl}/price`)
      await assert.rejects(answer.body.arrayBuffer())
    })

    test.it('breaks the connection of the caller when the host node is lost in the middle of the body', async () => {
      const entry = await start((_request, response) => {
        response.writeHead(200, { 'content-length': 1_000_000 })
        response.write(Buffer.alloc(400_000))
      })
      const answer = await undici.request(`${entry.callerUrl}/price`)
      mesh.nodes[1]?.process.dispose()
      await assert.rejects(answer.body.arrayBuffer())
    })
  })

  test.describe('failures', () => {
    test.it('answers unknown when a small body is aborted, instead of passing on a truncated answer', async () => {
      const entry = await start((_request, response) => {
        response.writeHead(200, { 'content-length': 1000 })
        response.write('part', () => { response.destroy() })
      })
      const answer = await undici.request(`${entry.callerUrl}/charge`, { method: 'POST', body: 'x' })
      assert.equal(answer.statusCode, 502)
      assert.equal(answer.headers['elmpost-outcome'], 'unknown')
      assert.equal((await answer.body.json() as { reason: string }).reason, 'target-lost')
    })

    test.it('answers unknown at once when the host node is lost while it runs a call', async () => {
      const entry = await start(() => { mesh.nodes[1]?.process.dispose() })
      const answer = await undici.request(`${entry.callerUrl}/charge`, { method: 'POST', body: 'x' })
      assert.equal(answer.headers['elmpost-outcome'], 'unknown')
      assert.equal(answer.headers['elmpost-reason'], 'peer-lost')
      await answer.body.dump()
      assert.deepEqual(entry.services.membership.lostConnections, ['host'])
    })

    test.it('answers not-run when the target refuses the connection', async () => {
      const entry = await start((_request, response) => { response.end() })
      mesh.target().crash()
      const answer = await undici.request(`${entry.callerUrl}/charge`, { method: 'POST', body: 'x' })
      assert.equal(answer.statusCode, 503)
      assert.equal(answer.headers['elmpost-outcome'], 'not-run')
      await answer.body.dump()
      assert.equal(mesh.nodes[1]?.services.membership.self.targetReady, false)
    })

    test.it('cancels the call at the target when the caller disconnects, so that its slot is freed', async () => {
      let canceled = 0
      const entry = await start((_request, response) => { response.on('close', () => { canceled++ }) })
      const abort = new AbortController()
      const waiting = undici.request(`${entry.callerUrl}/price`, { signal: abort.signal })
      await testMesh.waitUntil(() => mesh.target().paths.length === 1)
      abort.abort()
      await assert.rejects(waiting)
      await testMesh.waitUntil(() => canceled === 1)
      assert.equal(mesh.nodes[1]?.services.host.load.inFlight, 0)
    })

    test.it('lets a keyed call finish after its caller disconnects, and returns its answer to a retry', async () => {
      let finish: () => void = () => {}
      const entry = await start((_request, response) => { finish = () => { response.end('charged') } })
      const key = uuid.v7()
      const abort = new AbortController()
      const options = { method: 'POST' as const, body: 'x', headers: { 'idempotency-key': key } }
      const waiting = undici.request(`${entry.callerUrl}/charge`, { ...options, signal: abort.signal })
      await testMesh.waitUntil(() => mesh.target().paths.length === 1)
      abort.abort()
      await assert.rejects(waiting)
      const retry = undici.request(`${entry.callerUrl}/charge`, options)
      await testMesh.waitUntil(() => entry.services.entry.inFlight === 1)
      finish()
      const answer = await retry
      assert.equal(await answer.body.text(), 'charged')
      assert.equal(mesh.target().paths.length, 1)
    })
  })

  test.describe('deadlines', () => {
    // The tick interval is so long that only the deadline timer can end a call.
    test.beforeEach(() => { mesh = new testMesh.TestMesh({ tickMs: 3_600_000 }) })

    const options = { method: 'POST' as const, body: 'x', headersTimeout: 10_000 }

    test.it('end a call without waiting for the next tick, so that its answer is not delayed', async () => {
      const entry = await start(() => {})
      const answer = await undici.request(`${entry.callerUrl}/charge`, { ...options, headers: { 'elmpost-deadline-ms': '50' } })
      assert.equal(answer.headers['elmpost-outcome'], 'unknown')
      assert.equal(answer.headers['elmpost-reason'], 'deadline')
      await answer.body.dump()
    })

    test.it('free the slot of a keyed call, which is not cancelled', async () => {
      const entry = await start((request, response) => { if (request.url === '/price') response.end() })
      await (await undici.request(`${entry.callerUrl}/price`)).body.dump()
      const headers = { 'elmpost-deadline-ms': '1500', 'idempotency-key': uuid.v7() }
      await (await undici.request(`${entry.callerUrl}/charge`, { ...options, headers })).body.dump()
      assert.deepEqual(mesh.target().paths, ['/price', '/charge'])
      const host = mesh.nodes[1]?.services.host
      assert.ok(host !== undefined)
      await testMesh.waitUntil(() => host.load.inFlight === 0)
    })

    test.it('refuse a call after its maximum queue time, although its deadline is later', async () => {
      const entry = await start(() => {})
      for (let i = 0; i < 2; i++) undici.request(`${entry.callerUrl}/price`).catch(() => {})
      await testMesh.waitUntil(() => mesh.target().paths.length === 2)
      const answer = await undici.request(`${entry.callerUrl}/quick`, { headersTimeout: 4000 })
      assert.equal(answer.headers['elmpost-outcome'], 'not-run')
      assert.equal(answer.headers['elmpost-reason'], 'overloaded')
      await answer.body.dump()
    })

    test.it('refuse a call that waits for a hanging target long before its maximum queue time', async () => {
      let isHanging = false
      const entry = await start((_request, response) => { if (!isHanging) response.end() })
      for (let i = 0; i < ANSWERS_BEFORE_HANG; i++) await (await undici.request(`${entry.callerUrl}/price`)).body.dump()
      isHanging = true
      const written = mesh.target().paths.length
      for (let i = 0; i < 2; i++) undici.request(`${entry.callerUrl}/price`).catch(() => {})
      await testMesh.waitUntil(() => mesh.target().paths.length === written + 2)
      const answer = await undici.request(`${entry.callerUrl}/price`, { headersTimeout: 4000 })
      assert.equal(answer.headers['elmpost-outcome'], 'not-run')
      assert.equal(answer.headers['elmpost-reason'], 'no-target')
      assert.ok(Number(answer.headers['retry-after']) > 0)
      await answer.body.dump()
    })
  })

  test.describe('planned stop', () => {
    test.it('finishes a running call, and a second signal has no effect', async () => {
      let finish: () => void = () => {}
      const entry = await start((_request, response) => { finish = () => { response.end('done') } })
      const host = mesh.nodes[1]
      assert.ok(host !== undefined)
      const waiting = undici.request(`${entry.callerUrl}/price`)
      await testMesh.waitUntil(() => mesh.target().paths.length === 1)
      host.process.stop()
      host.process.stop()
      const refused = await undici.request(`${entry.callerUrl}/price`)
      assert.equal(refused.headers['elmpost-outcome'], 'not-run')
      await refused.body.dump()
      finish()
      assert.equal(await (await waiting).body.text(), 'done')
      await host.process.stopped
      assert.equal(host.logger.lines.filter(line => line.event === 'stopping').length, 1)
    })

    test.it('answers calls that are still in flight after the drain time, instead of aborting them', async () => {
      let finish: () => void = () => {}
      const entry = await start((_request, response) => { finish = () => { response.end('done') } })
      const terms = { ...fakeServices.DOCUMENT.terms, drainMs: 1 }
      entry.services.enforcement.enforce({ version: 2, digest: 'e', rulesVersion: 1, document: { ...fakeServices.DOCUMENT, terms } }, Date.now())
      const waiting = undici.request(`${entry.callerUrl}/price`)
      await testMesh.waitUntil(() => mesh.target().paths.length === 1)
      entry.process.stop()
      // Several ticks pass after the drain time.
      await timers.setTimeout(500)
      finish()
      assert.equal(await (await waiting).body.text(), 'done')
      await entry.process.stopped
    })

    test.it('writes the answers to its own callers before it stops', async () => {
      let finish: () => void = () => {}
      const entry = await start((_request, response) => { finish = () => { response.end('done') } })
      const waiting = undici.request(`${entry.callerUrl}/price`)
      await testMesh.waitUntil(() => mesh.target().paths.length === 1)
      entry.process.stop()
      finish()
      assert.equal(await (await waiting).body.text(), 'done')
      await entry.process.stopped
    })
  })
})
