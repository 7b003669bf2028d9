import * as assert from 'node:assert/strict'
import * as targetMonitor from './TargetMonitor.js'
import * as http from 'node:http'
import * as test from 'node:test'
import * as testMesh from './testing/TestMesh.js'
import type * as net from 'node:net'

test.describe('TargetMonitor', () => {
  let server: http.Server
  let monitor: targetMonitor.TargetMonitor
  let status: number
  let changes: boolean[]

  test.beforeEach(async () => {
    status = 200
    changes = []
    server = http.createServer((_request, response) => {
      if (status === 0) response.destroy()
      else response.writeHead(status).end()
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    monitor = new targetMonitor.TargetMonitor({
      targetUrl: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      healthPath: '/healthz',
      changed: ready => { changes.push(ready) },
      logger: new testMesh.TestLogger()
    })
  })

  test.afterEach(() => {
    monitor.dispose()
    server.close()
    server.closeAllConnections()
  })

  test.it('waits for the health path before it announces a target that is starting', async () => {
    status = 503
    await monitor.check()
    assert.deepEqual(changes, [])
    status = 200
    await monitor.check()
    assert.deepEqual(changes, [true])
  })

  test.it('keeps a target whose health answer turns bad, because health endpoints mislead', async () => {
    await monitor.check()
    status = 500
    await monitor.check()
    assert.deepEqual(changes, [true])
  })

  test.it('takes a refused connection as the loss of the target at once', async () => {
    await monitor.check()
    monitor.refused()
    assert.deepEqual(changes, [true, false])
  })

  test.it('tells a dead target from one that only broke a connection', async () => {
    await monitor.check()
    assert.equal(await monitor.confirmDeath(), false)
    status = 0
    assert.equal(await monitor.confirmDeath(), true)
    assert.deepEqual(changes, [true, false])
  })
})
