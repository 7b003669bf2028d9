import * as assert from 'node:assert/strict'
import * as nodeLinks from './NodeLinks.js'
import * as outgoingLink from './OutgoingLink.js'
import * as peerServer from '../PeerServer.js'
import * as random from '@elmpost/common/base/Random.js'
import * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import * as test from 'node:test'
import * as testBodies from './testing/Bodies.js'
import * as testMesh from '../testing/TestMesh.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const TICK_MS = 100
const LOAD = { running: 1, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }
const STATUS = { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 } as const
const CALL: types.CallMessage = {
  callId: 7,
  service: 'till',
  isIdempotent: false,
  priority: 1,
  remainingMs: 8_000,
  objectiveMs: 2_000,
  elapsedMs: 0,
  requestId: 'r1',
  method: 'POST',
  path: '/charge',
  headers: [],
  body: undefined,
  isRetry: false
}

/** Holds calls until the test ends them. */
class HeldCalls implements services.IOfferedHost {
  public onOffer: () => void = () => {}
  public readonly load = LOAD
  public refusal: direct.HostRefusal | undefined
  public readonly held: { readonly caller: services.IHostCaller, readonly call: types.CallMessage }[] = []
  public readonly cancelled: number[] = []

  public accept (caller: services.IHostCaller, call: types.CallMessage): void {
    this.held.push({ caller, call })
  }

  public cancel (_caller: services.IHostCaller, callId: number): boolean {
    this.cancelled.push(callId)
    return false
  }

  public recordRefusal (): void {}

  public abandon (): void {}

  public refusalAtArrival (): undefined {
    return undefined
  }

  public refusalOf (): direct.HostRefusal | undefined {
    this.onOffer()
    return this.refusal
  }

  public answerAll (): void {
    for (const { caller, call } of this.held.splice(0)) caller.handleHostResult('host', call.callId, { kind: 'failed', reason: 'timeout' }, LOAD)
  }
}

/** Links of one node, with its own clock. */
class Peer implements nodeLinks.INodeLinksEvents {
  public nowMs = 0
  /** Time that the monotonic clock does not count. */
  public suspendedMs = 0
  public losses = 0
  public messages = 0
  public isConnected = false
  public takesOffers = true
  public readonly silentCalls: number[] = []
  public readonly lostCalls: number[] = []
  public readonly results: number[] = []
  public readonly host = new HeldCalls()
  public readonly stalls = new stallWatch.StallWatch({ nowMs: () => this.nowMs, timeOfDayMs: () => this.nowMs + this.suspendedMs })
  public readonly links: nodeLinks.NodeLinks
  public readonly server: peerServer.PeerServer

  constructor (nodeId: string) {
    this.links = new nodeLinks.NodeLinks({
      selfId: nodeId,
      hello: () => ({ kind: 'hello', nodeId, zone: 'vake', service: 'till', version: 0, linkMbps: 5 }),
      nowMs: () => this.nowMs,
      stalls: this.stalls,
      random: new random.Random(1),
      host: this.host,
      bodies: testBodies.newBodies(),
      linkMbps: 7,
      takesOffers: () => this.takesOffers,
      events: this
    })
    this.server = new peerServer.PeerServer({ address: { host: '127.0.0.1', port: 0 }, onConnection: socket => { this.links.accept(socket) } })
  }

  public handleConnectionChange (_nodeId: string, isConnected: boolean): void {
    this.isConnected = isConnected
    if (!isConnected) this.losses += 1
  }

  public handleHello: nodeLinks.INodeLinksEvents['handleHello'] = () => {}
  public handleLost (_nodeId: string, callIds: readonly number[]): void {
    this.lostCalls.push(...callIds)
  }

  public handleResult: nodeLinks.INodeLinksEvents['handleResult'] = (_nodeId, { callId }) => { this.results.push(callId) }
  public handleMessage: nodeLinks.INodeLinksEvents['handleMessage'] = () => { this.messages += 1 }
  public handleMalformed: nodeLinks.INodeLinksEvents['handleMalformed'] = () => {}

  public handleSilent (_nodeId: string, callIds: readonly number[]): void {
    this.silentCalls.push(...callIds)
  }

  /** Advances the clock in ticks without reading from sockets. */
  public tickFor (durationMs: number): void {
    for (let atMs = 0; atMs < durationMs; atMs += TICK_MS) {
      this.nowMs += TICK_MS
      this.tick()
    }
  }

  public tick (): void {
    this.stalls.tick()
    this.links.tick()
  }
}

test.describe('NodeLinks', () => {
  let caller: Peer
  let host: Peer
  let hostId: string

  test.beforeEach(async () => {
    host = new Peer('10.0.0.1:7380')
    hostId = `127.0.0.1:${await host.server.listen()}`
    caller = new Peer('10.0.0.2:7380')
    caller.links.connect(hostId)
    // The first message after the hello, with which later ones are compared.
    await testMesh.waitUntil(() => caller.isConnected && host.messages === 1)
  })

  test.afterEach(() => {
    caller.links.dispose()
    host.links.dispose()
    host.server.dispose()
  })

  test.describe('silence', () => {
    test.it('ends a link on which nothing was received, so that calls do not wait for a dead VM', async () => {
      caller.tickFor(3_000)
      await testMesh.waitUntil(() => caller.losses === 1)
    })

    test.it('is not counted while this process is stalled, because messages that arrived meanwhile have not been read', async () => {
      caller.nowMs += 10_000
      caller.tick()
      await new Promise(resolve => { setTimeout(resolve, 50) })
      assert.equal(caller.losses, 0)
      caller.tickFor(3_000)
      await testMesh.waitUntil(() => caller.losses === 1)
    })
  })

  // Guards against calls that are begun although their cancellation, or all of their time, has passed on the way (GONE).
  test.describe('a call', () => {
    test.it('is not begun if its cancellation has arrived with it', async () => {
      caller.links.sendCall(hostId, CALL)
      caller.links.cancel(hostId, CALL.callId)
      caller.links.sendCall(hostId, { ...CALL, callId: 8 })
      await testMesh.waitUntil(() => host.host.held.length > 0)
      assert.deepEqual(host.host.held.map(({ call }) => call.callId), [8])
    })

    test.it('loses the time that it waited to be read, although the ticks of the process came in time', async () => {
      caller.links.sendCall(hostId, CALL)
      await testMesh.waitUntil(() => host.host.held.length === 1)
      caller.links.sendCall(hostId, { ...CALL, callId: 8 })
      caller.tickFor(700)
      host.tickFor(700)
      await testMesh.waitUntil(() => host.host.held.length === 2)
      assert.deepEqual(host.host.held.map(({ call }) => [call.callId, call.remainingMs]), [[7, 8_000], [8, 7_300]])
    })
  })

  test.describe('a call with a long body', () => {
    const body = Buffer.alloc(60_000, 'x')
    const UPLOAD = { ...CALL, mayOfferBody: true }

    function bytesOf (kind: 'body' | 'offer' | 'call'): number {
      return caller.links.traffic.totals('sent')[kind] ?? 0
    }

    test.beforeEach(async () => {
      await testMesh.waitUntil(() => (caller.links.traffic.totals('received')['takes-offers'] ?? 0) > 0)
    })

    test.it('reaches the host whole, and loses the time that its body took', async () => {
      host.host.onOffer = () => { host.nowMs += 30 }
      caller.links.sendCall(hostId, { ...UPLOAD, body })
      await testMesh.waitUntil(() => host.host.held.length === 1)
      const [{ call: { body: arrived, remainingMs, elapsedMs } } = { call: UPLOAD }] = host.host.held
      assert.deepEqual([arrived, remainingMs, elapsedMs], [body, UPLOAD.remainingMs - 30, UPLOAD.elapsedMs + 30])
      host.host.answerAll()
      await testMesh.waitUntil(() => caller.results.length === 1)
    })

    // Guards against bodies that use up the link of a host that refuses their calls.
    test.it('is refused without its body', async () => {
      host.host.refusal = { reason: 'busy', reachedTarget: false, waitMs: 10 }
      caller.links.sendCall(hostId, { ...UPLOAD, body })
      await testMesh.waitUntil(() => caller.results.length === 1)
      assert.deepEqual([host.host.held.length, bytesOf('body'), bytesOf('call')], [0, 0, 0])
    })

    // Guards against short calls that wait for seconds behind the bodies of many others on the link of a host.
    test.it('waits for its body until those before it have arrived, and short calls do not', async () => {
      for (let callId = 10; callId < 14; callId++) caller.links.sendCall(hostId, { ...UPLOAD, callId, body: Buffer.alloc(100_000) })
      caller.links.sendCall(hostId, { ...CALL, callId: 20 })
      await testMesh.waitUntil(() => host.host.held.length === 5)
      assert.equal(host.host.held[0]?.call.callId, 20)
    })

    test.it('is taken back whether its body has arrived or not', async () => {
      caller.links.sendCall(hostId, { ...UPLOAD, callId: 10, body })
      await testMesh.waitUntil(() => host.host.held.length === 1)
      caller.links.cancel(hostId, 10)
      await testMesh.waitUntil(() => host.host.cancelled.length === 1)
      caller.links.sendCall(hostId, { ...UPLOAD, callId: 11, body })
      caller.links.cancel(hostId, 11)
      caller.links.sendCall(hostId, { ...UPLOAD, callId: 12, body })
      await testMesh.waitUntil(() => host.host.held.length === 2)
      assert.deepEqual([host.host.held[1]?.call.callId, host.links.heldCalls], [12, 0])
    })
  })

  // Guards against calls that lose their time for up to 20 s because the clock of their entry node was suspended.
  test.it('a call from a VM that was suspended loses no time by that', async () => {
    caller.links.sendCall(hostId, CALL)
    await testMesh.waitUntil(() => host.host.held.length === 1)
    caller.suspendedMs += 2_000
    host.tickFor(2_000)
    caller.links.sendCall(hostId, { ...CALL, callId: 8 })
    await testMesh.waitUntil(() => host.host.held.length === 2)
    assert.equal(host.host.held[1]?.call.remainingMs, 8_000)
  })

  // Guards against trust in reports on a connection that is slow from its first message on (CONFIG).
  test.it('a report may be as old as the connection took to open, until a ping was faster', async () => {
    const reader = new Peer('10.0.0.3:7380')
    try {
      const agesMs: (number | undefined)[] = []
      reader.handleMessage = (_nodeId, message) => { if (message.kind === 'alive') agesMs.push(message.confirmedAgeMs) }
      const report = (): void => { host.links.broadcast({ kind: 'alive', version: 1, sentAtMs: host.nowMs, storeAgeMs: 0, confirmedAgeMs: 0 }) }
      reader.links.connect(hostId)
      reader.nowMs += 900
      await testMesh.waitUntil(() => reader.isConnected)
      report()
      await testMesh.waitUntil(() => agesMs.length === 1)
      reader.tick()
      await testMesh.waitUntil(() => {
        report()
        return agesMs.at(-1) === 0
      })
      assert.equal(agesMs[0], 900)
    } finally {
      reader.links.dispose()
    }
  })

  test.describe('a host that is silent while it has a call', () => {
    test.beforeEach(async () => {
      assert.equal(caller.links.sendCall(hostId, CALL), true)
      await testMesh.waitUntil(() => host.host.held.length === 1)
      caller.tickFor(3_000)
    })

    test.it('keeps its call, whose late result is received, because the host may only be stalled', async () => {
      assert.deepEqual([caller.silentCalls, caller.lostCalls], [[7], []])
      host.host.answerAll()
      await testMesh.waitUntil(() => caller.results.length === 1)
      assert.deepEqual([caller.results, caller.lostCalls], [[7], []])
    })

    test.it('gets new calls over another connection as soon as it is open', async () => {
      await testMesh.waitUntil(() => caller.isConnected)
      assert.equal(caller.links.sendCall(hostId, { ...CALL, callId: 8 }), true)
      await testMesh.waitUntil(() => host.host.held.length === 2)
    })

    test.it('receives a cancellation on the silent connection, so that the call does not run in vain when the host resumes', async () => {
      caller.links.cancel(hostId, 7)
      await testMesh.waitUntil(() => host.host.cancelled.includes(7))
      host.host.answerAll()
      await new Promise(resolve => { setTimeout(resolve, 50) })
      assert.deepEqual(caller.lostCalls, [])
    })

    test.it('loses its calls after the dead time-out, so that they do not wait for a VM that has ended', async () => {
      caller.tickFor(outgoingLink.DEAD_TIMEOUT_MS)
      await testMesh.waitUntil(() => caller.lostCalls.includes(7))
    })
  })

  test.describe('a host that was stalled', () => {
    test.it('deducts the time that a call may have waited, so that it starts none whose caller has disconnected', async () => {
      // Time passes for both nodes.
      caller.nowMs += 5_300
      host.nowMs += 5_300
      host.tick()
      caller.links.sendCall(hostId, CALL)
      await testMesh.waitUntil(() => host.host.held.length === 1)
      const [{ call } = { call: CALL }] = host.host.held
      assert.deepEqual([call.remainingMs, call.elapsedMs], [3_000, 5_000])
      caller.nowMs += 100
      host.nowMs += 100
      host.tick()
      caller.links.sendCall(hostId, CALL)
      await testMesh.waitUntil(() => host.host.held.length === 2)
      assert.equal(host.host.held[1]?.call.remainingMs, 8_000)
    })
  })

  test.describe('a host that was stalled and has not ticked yet', () => {
    test.it('deducts the time as well, because messages read in the same turn of the event loop come before the tick', async () => {
      // Time passes for both nodes.
      caller.nowMs += 5_300
      host.nowMs += 5_300
      caller.links.sendCall(hostId, CALL)
      await testMesh.waitUntil(() => host.host.held.length === 1)
      assert.equal(host.host.held[0]?.call.remainingMs, 3_000)
    })
  })

  test.describe('messages on an idle link', () => {
    test.it('are one each second from the host and one each four seconds to it, and none beside calls', async () => {
      const kinds: string[] = []
      host.handleMessage = (_nodeId, { kind }) => { kinds.push(kind) }
      for (let second = 0; second < 8; second++) {
        caller.tickFor(1_000)
        // A status is sent at once for each new version, and must not delay other messages.
        caller.links.broadcastStatus(STATUS, true)
        host.links.broadcastStatus(STATUS, true)
        await new Promise(resolve => { setTimeout(resolve, 5) })
      }
      await testMesh.waitUntil(() => kinds.length >= 2)
      assert.deepEqual(kinds, ['alive', 'alive'])
    })

    // Guards against entry nodes that choose targets by old loads, because other messages take the place of the status.
    test.it('from the host include a status each second beside reports without a load', async () => {
      const kinds: string[] = []
      caller.handleMessage = (_nodeId, { kind }) => { kinds.push(kind) }
      for (let tenth = 0; tenth < 30; tenth++) {
        host.nowMs += TICK_MS
        host.links.broadcastStatus(STATUS, false)
        if (tenth % 3 === 0) host.links.broadcast({ kind: 'alive', version: 1 })
      }
      await testMesh.waitUntil(() => kinds.filter(kind => kind === 'alive').length === 10)
      assert.equal(kinds.filter(kind => kind === 'status').length, 4)
    })

    test.it('are not sent to callers that have just got an answer, which contains the load', async () => {
      let statuses = 0
      caller.handleMessage = (_nodeId, { kind }) => { if (kind === 'status') statuses += 1 }
      caller.links.sendCall(hostId, CALL)
      await testMesh.waitUntil(() => host.host.held.length === 1)
      host.nowMs += 5_000
      host.links.broadcastStatus(STATUS, false)
      host.nowMs += 1_000
      host.host.answerAll()
      host.links.broadcastStatus(STATUS, false)
      await testMesh.waitUntil(() => caller.results.length === 1 && statuses === 1)
      host.links.broadcastStatus(STATUS, true)
      await testMesh.waitUntil(() => statuses === 2)
    })
  })

  test.describe('a link that is disconnected', () => {
    test.it('is closed without being reported as lost', async () => {
      assert.equal(caller.links.isIdle(hostId), true)
      caller.links.disconnect(hostId)
      await new Promise(resolve => { setTimeout(resolve, 50) })
      assert.deepEqual([caller.losses, caller.links.isConnected(hostId)], [0, false])
    })
  })
})
