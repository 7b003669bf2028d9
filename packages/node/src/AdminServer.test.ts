import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as testMesh from './testing/TestMesh.js'
import * as undici from 'undici'

test.describe('AdminServer', () => {
  let mesh: testMesh.TestMesh
  let node: testMesh.TestNode

  test.beforeEach(async () => {
    mesh = new testMesh.TestMesh()
    node = await mesh.addNode('entry')
  })
  test.afterEach(() => { mesh.stop() })

  async function send (method: 'GET' | 'POST', path: string): Promise<{ status: number, body: Record<string, unknown> }> {
    const answer = await undici.request(node.adminUrl + path, { method })
    return { status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
  }

  test.it('reports the reason when a draining node is not ready', async () => {
    assert.equal((await send('GET', '/readyz')).status, 200)
    assert.equal((await send('POST', '/admin/drain')).status, 202)
    const draining = await send('GET', '/readyz')
    assert.deepEqual([draining.status, draining.body['reason']], [503, 'draining'])
    assert.equal((await send('POST', '/admin/undrain')).status, 202)
    assert.equal((await send('GET', '/readyz')).status, 200)
  })

  test.it('returns the version and the members that the command line reads', async () => {
    const { body } = await send('GET', '/admin/status')
    assert.equal(body['version'], 1)
    assert.equal((body['members'] as unknown[]).length, 1)
  })

  test.it('refuses to undrain a node that is stopping, and answers 404 to /metrics without a metrics addon', async () => {
    assert.equal((await send('GET', '/metrics')).status, 404)
    // Prevents the stop from completing.
    node.services.lifecycle.canExit = () => false
    node.process.stop()
    assert.equal((await send('POST', '/admin/undrain')).status, 409)
  })
})
