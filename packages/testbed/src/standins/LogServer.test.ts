import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as undici from 'undici'
import * as logServer from './LogServer.js'

test.describe('LogServer', () => {
  let server: logServer.LogServer
  let url: string

  test.beforeEach(async () => {
    server = new logServer.LogServer({ port: 0, retentionMs: 60_000 })
    url = `http://127.0.0.1:${await server.listen()}/streams/config/records`
  })

  test.afterEach(async () => { await server.close() })

  test.describe('faults', () => {
    test.it('keeps a record whose answer was lost, so that a retry appends a duplicate', async () => {
      server.faults.loseNextAppendAnswers = 1
      await assert.rejects(undici.request(url, { method: 'POST', body: '{"id":1}' }))
      const response = await undici.request(`${url}?from=0`)
      const page = await response.body.json() as { records: unknown[] }
      assert.deepEqual(page.records, [{ offset: 0, data: { id: 1 } }])
    })

    test.it('answers 503 during an outage and ends waiting reads, so that readers detect it', async () => {
      const waiting = undici.request(`${url}?from=0&waitMs=20000`)
      await undici.request(url.replace(/streams.*/, 'control/faults'), { method: 'POST', body: '{"outage":true}' })
      assert.equal((await waiting).statusCode, 503)
      assert.equal((await undici.request(url, { method: 'POST', body: '{}' })).statusCode, 503)
    })
  })
})
