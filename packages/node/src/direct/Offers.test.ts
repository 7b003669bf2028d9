import * as assert from 'node:assert/strict'
import * as nodeLinks from './NodeLinks.js'
import * as peerServer from '../PeerServer.js'
import * as random from '@elmpost/common/base/Random.js'
import * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import * as test from 'node:test'
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
})
