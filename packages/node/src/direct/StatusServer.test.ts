import * as assert from 'node:assert/strict'
import * as statusServer from './StatusServer.js'
import * as test from 'node:test'

test.describe('StatusServer', () => {
  let server: statusServer.StatusServer
  let base: string
  let asked: string[]

  test.beforeEach(async () => {
    asked = []
    server = new statusServer.StatusServer({
      address: { host: '127.0.0.1', port: 0 },
      metrics: { contentType: 'text/plain', render: () => Promise.resolve('') },
      status: () => ({ version: 1 }),
      unblock: fingerprint => {
        asked.push(fingerprint)
        return fingerprint === 'known'
      }
    })
    base = `http://127.0.0.1:${await server.listen()}`
  })

  test.afterEach(() => { server.dispose() })

  test.it('lifts the block of a request for an operator on the same VM', async () => {
    const statuses: number[] = []
    for (const fingerprint of ['known', 'other', '..%2Fstatus']) statuses.push((await fetch(`${base}/admin/unblock/${fingerprint}`, { method: 'POST' })).status)
    assert.deepEqual([statuses, asked.slice(0, 2)], [[200, 404, 404], ['known', 'other']])
  })

  test.it('lifts nothing by a mere look', async () => {
    assert.equal((await fetch(`${base}/admin/unblock/known`)).status, 404)
    assert.deepEqual(asked, [])
  })
})
