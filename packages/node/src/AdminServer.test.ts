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

  async function ask (method: 'GET' | 'POST', path: string): Promise<{ status: number, body: Record<string, unknown> }> {
    const answer = await undici.request(node.adminUrl + path, { method })
    return { status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
  }

  test.it('shows readiness with the reason, so that a deployment waits for the right thing', async () => {
    assert.equal((await ask('GET', '/readyz')).status, 200)
    assert.equal((await ask('POST', '/admin/drain')).status, 202)
    const draining = await ask('GET', '/readyz')
    assert.deepEqual([draining.status, draining.body['reason']], [503, 'draining'])
    assert.equal((await ask('POST', '/admin/undrain')).status, 202)
    assert.equal((await ask('GET', '/readyz')).status, 200)
  })

  test.it('shows the version and the members that the command line reads', async () => {
    const { body } = await ask('GET', '/admin/status')
    assert.equal(body['version'], 1)
    assert.equal((body['members'] as unknown[]).length, 1)
  })

  test.it('refuses to undrain a node that stops, and names the remedy without an addon for metrics', async () => {
    assert.equal((await ask('GET', '/metrics')).status, 404)
    // The stop takes until the drain is over.
    node.services.lifecycle.canExit = () => false
    node.process.stop()
    assert.equal((await ask('POST', '/admin/undrain')).status, 409)
  })
})
