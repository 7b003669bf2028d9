import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import * as incomingLink from './IncomingLink.js'
import * as linkCodec from './LinkCodec.js'
import * as linkTraffic from './LinkTraffic.js'
import * as test from 'node:test'
import type * as ws from 'ws'

const MAX_UNREAD_BYTES = 1_000

/** Connection whose other side reads nothing. */
class UnreadSocket extends events.EventEmitter {
  public readonly OPEN = 1
  public readyState = 1
  public bufferedAmount = 0

  public send (part: Uint8Array): void {
    this.bufferedAmount += part.length
  }

  public terminate (): void {
    this.readyState = 3
    this.emit('close')
  }
}

// Guards against a node that runs out of memory by what it sends to another process that reads nothing.
test.describe('A link whose other side does not read', () => {
  let socket: UnreadSocket
  let link: incomingLink.IncomingLink
  let unread: number[]
  let closed: number

  test.beforeEach(() => {
    socket = new UnreadSocket()
    unread = []
    closed = 0
    const handlers = { handleUnread: (_link: unknown, bytes: number) => { unread.push(bytes) }, handleClosed: () => { closed += 1 } } as unknown as incomingLink.IIncomingLinkEvents
    link = new incomingLink.IncomingLink({ socket: socket as unknown as ws.WebSocket, maxUnreadBytes: MAX_UNREAD_BYTES, codec: new linkCodec.LinkCodec(), nowMs: () => 0, traffic: new linkTraffic.LinkTraffic(), events: handlers })
  })

  test.it('is closed and reported once when the bound is exceeded, and sends nothing more', () => {
    link.send({ kind: 'rules', bytes: Buffer.alloc(MAX_UNREAD_BYTES / 2) })
    assert.deepEqual([unread.length, closed], [0, 0])
    for (let at = 0; at < 3; at++) link.send({ kind: 'rules', bytes: Buffer.alloc(MAX_UNREAD_BYTES) })
    assert.deepEqual([unread.length, closed], [1, 1])
    assert.ok(socket.bufferedAmount < 2 * MAX_UNREAD_BYTES)
  })

  // Replies to pings are not sent by the link.
  test.it('is closed when something else has filled it', () => {
    socket.bufferedAmount = MAX_UNREAD_BYTES + 1
    link.tick(0)
    assert.deepEqual([unread, closed], [[MAX_UNREAD_BYTES + 1], 1])
  })
})
