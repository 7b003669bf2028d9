import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as ports from './ports.js'

test.describe('findFreePorts', () => {
  test.it('gives distinct ports outside the range of outgoing connections, so that a process can still listen on them later', async () => {
    const found = await ports.findFreePorts(50)
    assert.equal(new Set(found).size, 50)
    assert.ok(found.every(port => port < 32_768))
  })

  test.it('passes over ports in use', async () => {
    const [first = 0] = await ports.findFreePorts(1)
    const server = net.createServer().listen(first, '127.0.0.1')
    try {
      assert.ok(!(await ports.findFreePorts(100)).includes(first))
    } finally {
      server.close()
    }
  })
})
