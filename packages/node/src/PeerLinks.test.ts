import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as localLink from './LocalLink.js'
import * as peerCodec from './PeerCodec.js'
import * as peerLinks from './PeerLinks.js'
import * as peerServer from './PeerServer.js'
import * as random from '@elmpost/common/base/Random.js'
import * as test from 'node:test'
import * as testMesh from './testing/TestMesh.js'
import * as ws from 'ws'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'

/** One end of connections. Records the events that its links report. */
class Peer implements services.ILinkReceiver {
  public readonly events: string[] = []
  public readonly links: peerLinks.PeerLinks
  public readonly server: peerServer.PeerServer
  public address = ''
  public clockAheadMs = 0
  public lastLink: services.IPeerLink | undefined

  constructor (public readonly nodeId: string) {
    this.links = new peerLinks.PeerLinks({
      local: new localLink.LocalLink(nodeId, this),
      hello: () => ({ kind: 'hello', nodeId, incarnation: 1, zone: 'vake', version: 1, sentAtMs: this.nowMs() }),
      codec: new peerCodec.PeerCodec(),
      receiver: this,
      random: new random.Random(1),
      nowMs: () => this.nowMs(),
      logger: new testMesh.TestLogger()
    })
    this.server = new peerServer.PeerServer({ address: { host: '127.0.0.1', port: 0 }, onConnection: socket => { this.links.accept(socket) } })
  }

  public nowMs (): number {
    return Date.now() + this.clockAheadMs
  }

  public async listen (): Promise<void> {
    this.address = `127.0.0.1:${await this.server.listen()}`
  }

  public handleMessage (link: services.IPeerLink, message: messages.PeerMessage): void {
    this.lastLink = link
    if (message.kind !== 'hello') this.events.push(`${message.kind} from ${link.nodeId}`)
  }

  public handleLost (link: services.IPeerLink, calls: Iterable<number>, unsent: readonly messages.CallMessage[], planned: boolean): void {
    this.events.push(`lost ${link.nodeId} calls ${[...calls].join()} unsent ${unsent.map(call => call.callId).join()} ${planned ? 'planned' : 'broken'}`)
  }

  public handleRefusal (): void {
    this.events.push('refused')
  }

  public mayHandOver: services.ILinkReceiver['mayHandOver'] = () => false
  public recordBytes: services.ILinkReceiver['recordBytes'] = () => {}

  public stop (): void {
    this.links.dispose()
    this.server.dispose()
  }
}

function callOf (callId: number): messages.CallMessage {
  return { kind: 'call', callId, route: 'r', service: 's', version: 1, method: 'GET', path: '/', headers: {}, body: undefined, remainingMs: 1000, sentAtMs: 1, key: undefined, fingerprint: 'f', depth: 0, attempt: 1 }
}

test.describe('PeerLinks', () => {
  let a: Peer
  let b: Peer

  test.beforeEach(async () => {
    a = new Peer('a')
    b = new Peer('b')
    await a.listen()
    await b.listen()
  })

  test.afterEach(() => {
    a.stop()
    b.stop()
  })

  async function eventsOf (peer: Peer, count: number): Promise<readonly string[]> {
    await testMesh.waitUntil(() => peer.events.length >= count)
    return peer.events
  }

  test.describe('use of a connection', () => {
    test.it('carries calls and control messages in both directions over one connection', async () => {
      assert.equal(a.links.linkTo('b', b.address).sendCall(callOf(1)), 'queued')
      assert.deepEqual(await eventsOf(b, 1), ['call from a'])
      b.links.sendControl('a', a.address, { kind: 'busy', retryAfterMs: 1, version: 1, recordedVersion: 1, logCheckedAgoMs: -1 })
      assert.deepEqual(await eventsOf(a, 1), ['busy from b'])
      assert.deepEqual([a.links.openCount, b.links.openCount], [1, 1])
    })

    test.it('delivers a message to the node at a seed address without knowing its id', async () => {
      a.links.sendControl('', b.address, { kind: 'table-digest', buckets: [1] })
      assert.deepEqual(await eventsOf(b, 1), ['table-digest from a'])
    })
  })

  test.describe('loss of a connection', () => {
    test.it('reports written calls as lost in a broken connection, so that they are not treated as refused', async () => {
      a.links.linkTo('b', b.address).sendCall(callOf(1))
      await eventsOf(b, 1)
      b.links.terminate('a')
      assert.deepEqual(await eventsOf(a, 1), ['lost b calls 1 unsent  broken'])
    })

    test.it('reports queued calls as unsent when the peer refuses the connection', async () => {
      b.stop()
      a.links.linkTo('b', b.address).sendCall(callOf(1))
      assert.deepEqual(await eventsOf(a, 1), ['lost b calls  unsent 1 broken'])
      assert.equal(a.links.linkTo('b', b.address).sendCall(callOf(2)), 'not-sent')
    })

    test.it('connects without back-off to a node that is known to be alive again, so that its keyed calls do not wait', async () => {
      b.stop()
      a.links.linkTo('b', b.address).sendCall(callOf(1))
      await eventsOf(a, 1)
      a.links.resetBackoff(b.address)
      assert.equal(a.links.linkTo('b', b.address).sendCall(callOf(2)), 'queued')
    })

    test.it('reports a call that crossed a planned close as lost in a planned close, because the closing side dropped it', async () => {
      a.links.linkTo('b', b.address).sendCall(callOf(1))
      await eventsOf(b, 1)
      a.links.linkTo('b', b.address).release(1)
      a.links.dispose()
      b.links.linkTo('a', a.address).sendCall(callOf(9))
      assert.deepEqual((await eventsOf(b, 2))[1], 'lost a calls 9 unsent  planned')
      assert.deepEqual(a.events.filter(event => event.startsWith('call')), [])
    })
  })

  test.describe('hello exchange', () => {
    test.it('refuses a peer whose clock is far ahead or behind, because decisions to refuse calls depend on the clocks', async () => {
      for (const aheadMs of [60_000, -60_000]) {
        b.clockAheadMs = aheadMs
        a.links.linkTo('b', b.address).sendCall(callOf(1))
        await testMesh.waitUntil(() => [...a.events, ...b.events].includes('refused') && a.events.some(event => event.startsWith('lost')))
        assert.ok(!b.events.includes('call from a'))
        a.stop()
        a = new Peer('a')
        b.events.length = 0
      }
    })

    test.it('refuses a node with an unexpected id at the address, so that no call reaches the wrong owner', async () => {
      a.links.linkTo('c', b.address).sendCall(callOf(1))
      assert.deepEqual(await eventsOf(a, 1), ['lost c calls  unsent 1 broken'])
      assert.ok(!b.events.includes('call from a'))
    })
  })

  test.describe('compression', () => {
    const rows = Array.from({ length: 300 }, (_, i) => [`vm-${i}`, 1, `vm-${i}.mesh:7000`, '', '', 'vake', 'till', true, 0, 'ready', 0, '', 0] as never)
    const page: messages.TableRowsMessage = { kind: 'table-rows', rows, wantedBuckets: [], bucketCount: 0 }

    /** First byte of the frame in which `b` sends a page to a peer whose `hello` has the given additional fields. */
    async function firstByte (fields: object): Promise<number | undefined> {
      const socket = new ws.WebSocket(`ws://${b.address}/`)
      const frames: Buffer[] = []
      socket.on('message', data => { frames.push(data as Buffer) })
      await new Promise(resolve => { socket.once('open', resolve) })
      const hello = { kind: 'hello', nodeId: 'x', incarnation: 1, zone: 'z', version: 0, sentAtMs: Date.now(), ...fields }
      socket.send(new peerCodec.PeerCodec().encode(hello as messages.HelloMessage))
      await testMesh.waitUntil(() => b.lastLink !== undefined)
      b.links.sendControl('x', '', page)
      await testMesh.waitUntil(() => frames.length === 2)
      socket.terminate()
      return frames[1]?.[0]
    }

    test.it('is used between two nodes of this version, and the page is decoded', async () => {
      let received = 0
      b.recordBytes = (direction, kind, length) => { if (direction === 'received' && kind === 'table-rows') received = length }
      a.links.sendControl('b', b.address, page)
      assert.deepEqual(await eventsOf(b, 1), ['table-rows from a'])
      assert.ok(received < new peerCodec.PeerCodec().encode(page).length / 2, `${received} bytes`)
    })

    test.it('is used for a peer that lists the encoding', async () => {
      assert.equal(await firstByte({ encodings: ['other', 'deflate-raw'] }), 0xc1)
    })

    test.it('is not used for an older node without encodings or for a node with other encodings, because they could not decode it', async () => {
      const plain = new peerCodec.PeerCodec().encode(page)[0]
      assert.equal(await firstByte({}), plain)
      b.lastLink = undefined
      assert.equal(await firstByte({ nodeId: 'x', encodings: ['other'] }), plain)
    })
  })

  test.describe('malformed frames', () => {
    test.it('are dropped and reported without a crash, a delivery or the loss of the connection', async () => {
      const socket = new ws.WebSocket(`ws://${b.address}/`)
      await new Promise(resolve => { socket.once('open', resolve) })
      socket.send(new peerCodec.PeerCodec().encode({ kind: 'hello', nodeId: 'x', incarnation: 1, zone: 'z', version: 0, sentAtMs: Date.now() }))
      const frames = fc.sample(fc.uint8Array({ maxLength: 64 }), { seed: 20261203, numRuns: 200 })
      for (const frame of frames) socket.send(frame)
      socket.send('text')
      socket.send(new peerCodec.PeerCodec().encode({ kind: 'cancel', callId: 1 }))
      await testMesh.waitUntil(() => b.events.includes('cancel from x'))
      assert.equal(b.events.filter(event => event === 'refused').length, frames.length + 1)
      socket.terminate()
    })
  })
})
