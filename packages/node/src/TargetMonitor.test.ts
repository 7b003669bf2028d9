import * as assert from 'node:assert/strict'
import * as targetMonitor from './TargetMonitor.js'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as testMesh from './testing/TestMesh.js'

test.describe('TargetMonitor', () => {
  let server: http.Server
  let monitor: targetMonitor.TargetMonitor
  let status: number
  let answer: (response: http.ServerResponse) => void
  let changes: boolean[]

  test.beforeEach(async () => {
    status = 200
    changes = []
    answer = response => {
      if (status === 0) response.destroy()
      else response.writeHead(status).end()
    }
    server = http.createServer((_request, response) => {
      answer(response)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    monitor = new targetMonitor.TargetMonitor({
      targetUrl: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      healthPath: '/healthz',
      onChange: ready => { changes.push(ready) },
      logger: new testMesh.TestLogger()
    })
  })

  test.afterEach(() => {
    monitor.dispose()
    server.close()
    server.closeAllConnections()
  })

  test.it('reports a starting target as ready only when its health path answers 2xx', async () => {
    status = 503
    await monitor.check()
    assert.deepEqual(changes, [])
    status = 200
    await monitor.check()
    assert.deepEqual(changes, [true])
  })

  test.it('keeps a target ready when its health path answers 500, because health endpoints may be wrong', async () => {
    await monitor.check()
    status = 500
    await monitor.check()
    assert.deepEqual(changes, [true])
  })

  test.it('reports the target as not ready at once when a connection is refused', async () => {
    await monitor.check()
    monitor.handleRefusedConnection()
    assert.deepEqual(changes, [true, false])
  })

  test.it('distinguishes a dead target from one that only broke a connection', async () => {
    await monitor.check()
    assert.equal(await monitor.confirmDeath(), false)
    status = 0
    assert.equal(await monitor.confirmDeath(), true)
    assert.deepEqual(changes, [true, false])
  })

  test.it('uses the status of a truncated answer, because a faulty health path does not mean that the target is dead', async () => {
    answer = response => {
      response.writeHead(200, { 'content-length': 10 })
      response.write('half', () => { response.destroy() })
    }
    await monitor.check()
    assert.equal(await monitor.confirmDeath(), false)
    assert.deepEqual(changes, [true])
  })

  test.it('times out a check whose answer does not end, so that a hanging target does not stop the checks', async () => {
    await monitor.check()
    answer = response => { response.writeHead(200).write('half') }
    assert.equal(await monitor.confirmDeath(), false)
    assert.deepEqual(changes, [true])
  })

  test.it('uses a new connection for each check, because a kept one says nothing about a restarted target', async () => {
    let connections = 0
    server.on('connection', () => { connections++ })
    await monitor.check()
    await monitor.check()
    assert.equal(connections, 2)
  })

  test.it('reports a target that no longer listens as not ready', async () => {
    await monitor.check()
    await new Promise<void>(resolve => {
      server.close(() => { resolve() })
      server.closeAllConnections()
    })
    await monitor.check()
    assert.deepEqual(changes, [true, false])
  })

  test.it('connects by TLS to a target with an https URL, because the settings allow such a URL', async () => {
    const TLS_HANDSHAKE = 22
    const received: number[] = []
    const plain = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', bytes => {
        received.push(bytes[0] ?? 0)
        socket.destroy()
      })
    })
    await new Promise<void>(resolve => { plain.listen(0, '127.0.0.1', resolve) })
    const secure = new targetMonitor.TargetMonitor({
      targetUrl: `https://127.0.0.1:${(plain.address() as net.AddressInfo).port}`,
      healthPath: '/healthz',
      onChange: ready => { changes.push(ready) },
      logger: new testMesh.TestLogger()
    })
    await secure.check()
    secure.dispose()
    plain.close()
    assert.deepEqual(received, [TLS_HANDSHAKE])
  })
})
