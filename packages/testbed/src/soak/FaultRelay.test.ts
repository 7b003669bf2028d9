import * as assert from 'node:assert/strict'
import * as faultRelay from './FaultRelay.js'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

test.describe('FaultRelay', () => {
  let callee: net.Server
  const echoing = new Set<net.Socket>()
  let relay: faultRelay.FaultRelay
  let port: number

  test.beforeEach(async () => {
    callee = net.createServer(socket => {
      socket.on('error', () => {})
      socket.pipe(socket)
      echoing.add(socket)
    })
    await new Promise<void>(resolve => { callee.listen(0, '127.0.0.1', resolve) })
    relay = new faultRelay.FaultRelay(() => (callee.address() as net.AddressInfo).port)
    port = await relay.listen()
  })

  test.afterEach(async () => {
    await relay.close()
    for (const socket of echoing) socket.destroy()
    callee.close()
  })

  /**
   * Sends the texts and returns what was received 300 ms after the last one. `before` runs before each text; `hasArrived`
   * resolves when the echo of an earlier one has arrived.
   */
  async function echo (texts: readonly string[], before: (at: number, hasArrived: (text: string) => Promise<void>) => Promise<void> | void = () => {}): Promise<string> {
    const socket = net.connect(port, '127.0.0.1')
    let received = ''
    socket.on('data', part => { received += part.toString() })
    socket.on('error', () => { received += ' reset' })
    const isReceived = (text: string): boolean => received === text
    const hasArrived = async (text: string): Promise<void> => {
      while (!isReceived(text)) await timers.setTimeout(1)
    }
    for (const [at, text] of texts.entries()) {
      await before(at, hasArrived)
      socket.write(text)
      await timers.setTimeout(30)
    }
    await timers.setTimeout(300)
    socket.destroy()
    return received
  }

  test.it('passes bytes in both directions', async () => {
    assert.equal(await echo(['one ', 'two']), 'one two')
  })

  test.it('keeps the order of bytes when a delay fault ends', async () => {
    relay.setFault('delay')
    assert.equal(await echo(['one ', 'two'], at => { if (at === 1) relay.clearFault() }), 'one two')
  })

  test.it('drops all bytes while silent, and resets the silenced connections afterwards, because bytes are missing', async () => {
    const silenced = await echo(['one ', 'two ', 'three'], async (at, hasArrived) => {
      if (at !== 1) return
      await hasArrived('one ')
      relay.setFault('silent')
    })
    assert.equal(silenced, 'one ')
    assert.equal(await echo(['one'], () => { setTimeout(() => { relay.clearFault() }, 50) }), ' reset')
  })

  test.it('resets open and new connections during a reset fault', async () => {
    const reset = await echo(['one', 'two'], async (at, hasArrived) => {
      if (at !== 1) return
      await hasArrived('one')
      relay.setFault('reset')
    })
    assert.equal(reset, 'one reset')
    assert.equal(await echo(['one']), ' reset')
  })
})
