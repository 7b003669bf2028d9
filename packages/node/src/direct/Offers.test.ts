import * as assert from 'node:assert/strict'
import * as blockBody from '../BlockBody.js'
import * as linkCodec from './LinkCodec.js'
import * as nodeLinks from './NodeLinks.js'
import * as peerServer from '../PeerServer.js'
import * as random from '@elmpost/common/base/Random.js'
import * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import * as test from 'node:test'
import * as testBodies from './testing/Bodies.js'
import * as testMesh from '../testing/TestMesh.js'
import * as timers from 'node:timers/promises'
import type * as services from './Services.js'

const IDLE_HOST = { load: {}, accept: () => {}, cancel: () => false, abandon: () => {}, refusalAtArrival: () => undefined, refusalOf: () => undefined } as unknown as services.IOfferedHost

/** Links of one node that records what it was told. */
class Peer {
  public takesOffers = false
  public isConnected = false
  public readonly links: nodeLinks.NodeLinks

  constructor (nodeId: string) {
    const nowMs = (): number => performance.now()
    const events = { handleConnectionChange: (_nodeId: string, isConnected: boolean) => { this.isConnected = isConnected }, handleHello: () => {}, handleLost: () => {}, handleSilent: () => {}, handleResult: () => {}, handleMessage: () => {}, handleMalformed: () => {} }
    this.links = new nodeLinks.NodeLinks({
      selfId: nodeId,
      hello: () => ({ kind: 'hello', nodeId, zone: 'vake', service: 'till', version: 0, linkMbps: 5 }),
      nowMs,
      stalls: new stallWatch.StallWatch({ nowMs, timeOfDayMs: nowMs }),
      random: new random.Random(1),
      host: IDLE_HOST,
      bodies: testBodies.newBodies(),
      linkMbps: 7,
      takesOffers: () => this.takesOffers,
      events
    })
  }
}

test.describe('Offers of long bodies', () => {
  // Guards against a message that nodes of earlier versions do not know, where no configuration needs it.
  test.it('are taken on open links once the configuration has long bodies', { timeout: 10_000 }, async () => {
    const host = new Peer('10.0.0.1:7380')
    const caller = new Peer('10.0.0.2:7380')
    const server = new peerServer.PeerServer({ address: { host: '127.0.0.1', port: 0 }, onConnection: socket => { host.links.accept(socket) } })
    const told = (): number => caller.links.traffic.totals('received')['takes-offers'] ?? 0
    caller.links.connect(`127.0.0.1:${await server.listen()}`)
    await testMesh.waitUntil(() => caller.isConnected && host.links.traffic.totals('received').hello !== undefined)
    host.links.tick()
    await timers.setTimeout(50)
    assert.equal(told(), 0)
    host.takesOffers = true
    host.links.tick()
    host.links.tick()
    await testMesh.waitUntil(() => told() > 0)
    const once = told()
    await timers.setTimeout(50)
    assert.equal(told(), once)
    caller.links.dispose()
    host.links.dispose()
    server.dispose()
  })

  // Guards against a long body that is lost between a node of this version and one of the version before, which takes no parts.
  for (const takesParts of [true, false]) {
    test.it(`bring the body ${takesParts ? 'in parts' : 'as one message'} to a host that ${takesParts ? 'takes them' : 'does not take parts'}`, { timeout: 10_000 }, async () => {
      const codec = new linkCodec.LinkCodec()
      const caller = new Peer('10.0.0.2:7380')
      const received: linkCodec.LinkMessage[] = []
      const server = new peerServer.PeerServer({
        address: { host: '127.0.0.1', port: 0 },
        onConnection: socket => {
          socket.send(codec.encode({ kind: 'takes-offers', takesParts }))
          socket.on('message', data => {
            const message = codec.decode(data as Buffer).unwrap()
            received.push(message)
            if (message.kind === 'offer') socket.send(codec.encode({ kind: 'body-request', callId: message.call.callId }))
          })
        }
      })
      const hostId = `127.0.0.1:${await server.listen()}`
      caller.links.connect(hostId)
      await testMesh.waitUntil(() => (caller.links.traffic.totals('received')['takes-offers'] ?? 0) > 0)
      const blocks = Array.from({ length: 5 }, (_, at) => Buffer.alloc(100_000, at))
      const body = new blockBody.BlockBody(blocks)
      caller.links.sendCall(hostId, { callId: 3, service: 'till', isIdempotent: false, priority: 1, remainingMs: 5_000, objectiveMs: 400, elapsedMs: 0, requestId: 'r', method: 'POST', path: '/', headers: [], body, isRetry: false, mayOfferBody: true })
      const arrived = (): Uint8Array[] => received.flatMap(message => message.kind === 'body' ? [message.body as Uint8Array] : message.kind === 'body-part' ? [message.part] : [])
      await testMesh.waitUntil(() => arrived().reduce((sum, { length }) => sum + length, 0) === body.length)
      assert.ok(Buffer.concat(arrived()).equals(Buffer.concat(blocks)))
      assert.equal(arrived().length > 1, takesParts)
      caller.links.dispose()
      server.dispose()
    })
  }
})
