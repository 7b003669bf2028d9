import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as logClient from './LogClient.js'
import * as test from 'node:test'
import type * as net from 'node:net'

test.describe('LogClient', () => {
  let server: http.Server
  let client: logClient.LogClient
  let handler: http.RequestListener
  const refused: Error[] = []

  test.beforeEach(async () => {
    server = http.createServer((request, response) => { handler(request, response) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const logUrl = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/base/`
    client = new logClient.LogClient({ logUrl, onAnswerRefused: error => { refused.push(error) } })
    refused.length = 0
  })

  test.afterEach(() => {
    client.dispose()
    server.close()
    server.closeAllConnections()
  })

  test.describe('read', () => {
    test.it('requests the page of records with the given parameters and returns it', async () => {
      let url: string | undefined
      handler = (request, response) => {
        url = request.url
        response.end('{"records":[{"offset":3,"data":"d"}],"firstOffset":0,"nextOffset":4,"retentionMs":60000}')
      }
      const result = await client.read('config', 3, 10, 0)
      assert.equal(url, '/base/streams/config/records?from=3&limit=10&waitMs=0')
      assert.deepEqual(result, { stream: 'config', ok: true, records: [{ offset: 3, data: 'd' }], firstOffset: 0, nextOffset: 4, retentionMs: 60_000 })
    })

    test.it('fails on an error status and on an invalid answer, and reports only the invalid answer', async () => {
      handler = (_request, response) => { response.writeHead(503).end('{}') }
      assert.equal((await client.read('config', 0, 10, 0)).ok, false)
      assert.equal(refused.length, 0)
      handler = (_request, response) => { response.end('{"records":5}') }
      assert.equal((await client.read('config', 0, 10, 0)).ok, false)
      assert.match(refused[0]?.message ?? '', /logUrl/)
    })
  })

  test.describe('append', () => {
    const outcomes: readonly [string, http.RequestListener, string][] = [
      ['a lost answer', request => { request.socket.destroy() }, 'unknown'],
      ['a broken body', (_request, response) => { response.writeHead(201, { 'content-length': 50 }).write('{', () => { response.destroy() }) }, 'unknown'],
      ['an answer that is not JSON', (_request, response) => { response.writeHead(201).end('ok') }, 'unknown'],
      ['an outage', (_request, response) => { response.writeHead(503).end() }, 'unknown'],
      ['a record that is too large', (_request, response) => { response.writeHead(413).end() }, 'refused'],
      ['an offset', (_request, response) => { response.writeHead(201).end('{"offset":12}') }, 'appended']
    ]
    for (const [name, listener, status] of outcomes) {
      test.it(`reports ${name} as ${status}, so that the core neither drops an appended record nor assumes a missing one`, async () => {
        handler = listener
        const result = await client.append('audit', 'r1', { a: 1 })
        assert.deepEqual(result, { stream: 'audit', requestId: 'r1', status, offset: status === 'appended' ? 12 : -1 })
      })
    }

    test.it('reports a refused connection as refused, because nothing was sent', async () => {
      server.close()
      server.closeAllConnections()
      assert.equal((await client.append('audit', 'r1', {})).status, 'refused')
    })
  })
})
