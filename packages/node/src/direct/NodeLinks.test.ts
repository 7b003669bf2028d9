import * as assert from 'node:assert/strict'
import * as nodeLinks from './NodeLinks.js'
import * as peerServer from '../PeerServer.js'
import * as random from '@elmpost/common/base/Random.js'
import * as test from 'node:test'
import * as testMesh from '../testing/TestMesh.js'
import type * as services from './Services.js'

const TICK_MS = 100
const HOST: services.IHost = { accept: () => {}, cancel: () => false, abandon: () => {} }

/** One node's links, with a clock of its own. */
class Peer implements nodeLinks.INodeLinksEvents {
  public nowMs = 0
  public losses = 0
  public isConnected = false
  public readonly links: nodeLinks.NodeLinks
  public readonly server: peerServer.PeerServer

  constructor (nodeId: string) {
    this.links = new nodeLinks.NodeLinks({
      selfId: nodeId,
      hello: () => ({ kind: 'hello', nodeId, zone: 'vake', service: 'till', version: 0, linkMbps: 5 }),
      nowMs: () => this.nowMs,
      random: new random.Random(1),
      host: HOST,
      events: this
    })
    this.server = new peerServer.PeerServer({ address: { host: '127.0.0.1', port: 0 }, accept: socket => { this.links.accept(socket) } })
  }

  public connected (_nodeId: string, isConnected: boolean): void {
    this.isConnected = isConnected
    if (!isConnected) this.losses += 1
  }

  public greeted: nodeLinks.INodeLinksEvents['greeted'] = () => {}
  public lost: nodeLinks.INodeLinksEvents['lost'] = () => {}
  public result: nodeLinks.INodeLinksEvents['result'] = () => {}
  public told: nodeLinks.INodeLinksEvents['told'] = () => {}
  public malformed: nodeLinks.INodeLinksEvents['malformed'] = () => {}

  /** Ticks for some time in which nothing arrives. */
  public tickFor (durationMs: number): void {
    for (let atMs = 0; atMs < durationMs; atMs += TICK_MS) {
      this.nowMs += TICK_MS
      this.links.tick()
    }
  }
}

test.describe('NodeLinks', () => {
  let caller: Peer
  let host: Peer
  let hostId: string

  test.beforeEach(async () => {
    host = new Peer('host')
    hostId = `127.0.0.1:${await host.server.listen()}`
    caller = new Peer('caller')
    caller.links.connect(hostId)
    await testMesh.until(() => caller.isConnected)
  })

  test.afterEach(() => {
    caller.links.dispose()
    host.links.dispose()
    host.server.dispose()
  })

  test.describe('silence', () => {
    test.it('ends a link from which nothing came, so that calls do not wait for a dead VM', async () => {
      caller.tickFor(3_000)
      await testMesh.until(() => caller.losses === 1)
    })

    test.it('does not count while this process stood still, because what arrived meanwhile is not read yet', async () => {
      caller.nowMs += 10_000
      caller.links.tick()
      await new Promise(resolve => { setTimeout(resolve, 50) })
      assert.equal(caller.losses, 0)
      caller.tickFor(3_000)
      await testMesh.until(() => caller.losses === 1)
    })
  })

  test.describe('a link that is not wanted any more', () => {
    test.it('is closed without a report of a loss', async () => {
      assert.equal(caller.links.isIdle(hostId), true)
      caller.links.disconnect(hostId)
      await new Promise(resolve => { setTimeout(resolve, 50) })
      assert.deepEqual([caller.losses, caller.links.isConnected(hostId)], [0, false])
    })
  })
})
