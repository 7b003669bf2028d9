import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as targetProbe from './TargetProbe.js'
import * as test from 'node:test'

test.describe('TargetProbe', () => {
  async function probed (handle: ((socket: net.Socket) => void) | undefined): Promise<string> {
    const server = net.createServer(handle)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
    if (handle === undefined) await new Promise(resolve => { server.close(resolve) })
    const result = await new Promise<string>(resolve => { targetProbe.probe(address, 200, resolve) })
    server.close()
    return result
  }

  test.it('tells a target that listens from one that does not, and from a relay that cannot reach one', async () => {
    const ignore = (socket: net.Socket): void => { socket.on('error', () => {}) }
    const reset = (socket: net.Socket): void => { socket.resetAndDestroy() }
    const close = (socket: net.Socket): void => { socket.end() }
    assert.deepEqual([await probed(ignore), await probed(undefined), await probed(reset), await probed(close)], ['up', 'refused', 'closed', 'closed'])
  })
})
