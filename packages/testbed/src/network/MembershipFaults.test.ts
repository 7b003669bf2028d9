import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as memberTypes from '@elmpost/common/membership/Types.js'
import * as wires from '@elmpost/common/membership/WireRow.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']
const MINUTE_MS = 60_000

function startFleet (size: number, seed = 21): fleets.SteppedFleet {
  const fleet = new fleets.SteppedFleet({ size, zones: ZONES, seed })
  fleet.propose()
  fleet.startAll()
  assert.notEqual(fleet.converge(1, 20_000), undefined)
  fleet.network.advance(12_000)
  return fleet
}

/** Cuts a zone off from the other zones and from the log, in both directions. */
function cutOff (fleet: fleets.SteppedFleet, zone: string): void {
  fleet.network.isLost = (from, to) => (from.zone === zone) !== (to.zone === zone)
  fleet.log.isUnreachable = node => node.zone === zone
}

function reconnect (fleet: fleets.SteppedFleet): void {
  fleet.network.isLost = () => false
  fleet.log.isUnreachable = () => false
}

function allReady (fleet: fleets.SteppedFleet): boolean {
  const nodes = [...fleet.nodes.values()]
  return nodes.every(node => nodes.every(peer => node.membership.get(peer.nodeId)?.state === 'ready'))
}

/** Records changes of rows to states in which members receive no work, as `observer subject state`. */
function recordLosses (fleet: fleets.SteppedFleet): string[] {
  const losses: string[] = []
  for (const node of fleet.nodes.values()) {
    node.membership.onChange(({ current, forgotten }) => {
      if (!forgotten && (current.state === 'suspect' || current.state === 'dead')) losses.push(`${node.nodeId} ${current.nodeId} ${current.state}`)
    })
  }
  return losses
}

test.describe('Membership', () => {
  test.describe('detection', () => {
    test.it('marks a killed node as dead on every node within 10 s, so that it receives no more work', () => {
      const fleet = startFleet(30)
      const victim = fleet.ids[7] ?? ''
      fleet.kill(victim)
      const isDead = (): boolean => [...fleet.nodes.values()].every(node => node.membership.get(victim)?.state === 'dead')
      assert.ok(fleet.network.advanceUntil(isDead, 10_000))
    })

    test.it('probes every member once per interval, because an unreachable VM is detected only by a probe', () => {
      const fleet = startFleet(60)
      const probedAtMs = new Map<string, number>()
      let maxGapMs = 0
      fleet.network.isLost = (_from, to, message) => {
        if (message.kind === 'probe') {
          const { nowMs } = fleet.network
          maxGapMs = Math.max(maxGapMs, nowMs - (probedAtMs.get(to.nodeId) ?? nowMs))
          probedAtMs.set(to.nodeId, nowMs)
        }
        return false
      }
      fleet.network.advance(MINUTE_MS)
      assert.equal(probedAtMs.size, 60)
      assert.ok(maxGapMs <= 1_100, `a member was not probed for ${maxGapMs} ms`)
    })

    test.it('probes a node immediately when its connection breaks, without waiting for its next scheduled probe', () => {
      const fleet = startFleet(30)
      const victim = fleet.ids[7] ?? ''
      fleet.kill(victim)
      const observer = fleet.get(fleet.ids[3] ?? '')
      observer.membership.handleConnectionLost(victim, fleet.network.nowMs)
      fleet.network.flush(observer)
      assert.ok(fleet.network.advanceUntil(() => observer.membership.get(victim)?.state === 'dead', 4_100))
    })

    test.it('does not suspect a member that only one peer cannot reach', () => {
      const fleet = startFleet(9)
      const [a = '', b = ''] = fleet.ids
      const losses = recordLosses(fleet)
      fleet.network.isLost = (from, to) => (from.nodeId === a && to.nodeId === b) || (from.nodeId === b && to.nodeId === a)
      fleet.network.advance(MINUTE_MS)
      assert.deepEqual(losses, [])
    })

    test.it('keeps members in a network that loses, delays and reorders messages', () => {
      const fleet = startFleet(20)
      const losses: string[] = []
      fleet.network.isLost = () => fleet.random.nextFloat() < 0.03
      fleet.network.delayMs = () => 1 + fleet.random.nextInt(40)
      for (const node of fleet.nodes.values()) {
        node.membership.onChange(({ current }) => { if (current.state === 'dead') losses.push(current.nodeId) })
      }
      fleet.network.advance(2 * MINUTE_MS)
      assert.deepEqual(losses, [])
    })
  })

  test.describe('pause', () => {
    test.it('lets a paused node refute its suspicion with a higher incarnation, without suspecting others because of its own pause', () => {
      const fleet = startFleet(12)
      const paused = fleet.get(fleet.ids[5] ?? '')
      const { incarnation } = paused.membership.self
      fleet.network.pause(paused)
      fleet.network.advance(15_000)
      const losses = recordLosses(fleet)
      fleet.network.resume(paused)
      assert.ok(fleet.network.advanceUntil(() => allReady(fleet), 5_000))
      fleet.network.advance(MINUTE_MS)
      assert.ok(paused.membership.self.incarnation > incarnation)
      assert.deepEqual(losses.filter(loss => !loss.endsWith(`${paused.nodeId} dead`) && !loss.endsWith(`${paused.nodeId} suspect`)), [])
      assert.ok(allReady(fleet), 'the paused node is flapping')
    })
  })

  test.describe('suspicion', () => {
    test.it('grants the full suspicion timeout after a pause of the observer, because a refutation may be waiting unread', () => {
      const fleet = startFleet(12)
      const paused = fleet.get(fleet.ids[5] ?? '')
      const suspect = fleet.get(fleet.ids[6] ?? '')
      const claim = wires.toWire({ ...suspect.membership.self, state: 'suspect' })
      paused.receive(fleet.ids[7] ?? '', { kind: 'gossip', version: 1, ownershipOffset: 0, updates: [claim], crashes: [] }, fleet.network.nowMs)
      paused.drain()
      fleet.network.pause(paused)
      fleet.network.advance(4_000)
      const losses = recordLosses(fleet)
      fleet.network.resume(paused)
      fleet.network.advance(30_000)
      assert.deepEqual(losses.filter(loss => loss.endsWith(`${suspect.nodeId} dead`)), [])
    })
  })

  test.describe('repair', () => {
    test.it('repairs a lost announcement on every member by comparing tables', () => {
      const fleet = startFleet(9)
      fleet.network.rewrite = removeUpdates
      const node = fleet.get(fleet.ids[4] ?? '')
      node.membership.setState('draining', fleet.network.nowMs)
      const isKnown = (): boolean => [...fleet.nodes.values()].every(peer => peer.membership.get(node.nodeId)?.state === 'draining')
      assert.ok(fleet.network.advanceUntil(isKnown, MINUTE_MS))
    })
  })

  test.describe('partition', () => {
    test.it('recovers after more than an hour, when both sides have removed each other from their tables', () => {
      const fleet = startFleet(9)
      cutOff(fleet, 'didube')
      fleet.network.advance(MINUTE_MS)
      const version = fleet.propose()
      fleet.network.advance(62 * MINUTE_MS)
      const inside = [...fleet.nodes.values()].filter(node => node.zone === 'didube')
      assert.deepEqual(inside.map(node => node.version), [1, 1, 1])
      for (const node of inside) assert.equal(node.membership.size, 3)
      reconnect(fleet)
      assert.ok(fleet.network.advanceUntil(() => allReady(fleet) && fleet.allEnforce(version), 2 * MINUTE_MS))
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('readmits within 10 s a single node that was cut off while the seeds died, because its keys have no other owner', () => {
      const fleet = startFleet(30)
      const alone = fleet.ids[20] ?? ''
      fleet.network.isLost = (from, to) => (from.nodeId === alone) !== (to.nodeId === alone)
      for (const seed of fleet.ids.slice(0, 3)) fleet.kill(seed)
      fleet.network.advance(MINUTE_MS)
      reconnect(fleet)
      assert.ok(fleet.network.advanceUntil(() => allReady(fleet), 10_000))
    })

    test.it('readmits within 3 s a single node that was cut off for some seconds, because payments through it need their owners', () => {
      for (let seed = 1; seed <= 20; seed++) {
        const fleet = startFleet(10, seed)
        const alone = fleet.get(fleet.ids[1] ?? '')
        const others = fleet.ids.filter(id => id !== alone.nodeId)
        fleet.network.isLost = (from, to) => (from === alone) !== (to === alone)
        for (const id of others) {
          alone.membership.handleConnectionLost(id, fleet.network.nowMs)
          fleet.get(id).membership.handleConnectionLost(alone.nodeId, fleet.network.nowMs)
        }
        for (const node of fleet.nodes.values()) fleet.network.flush(node)
        fleet.network.advance(4_000)
        assert.ok(others.some(id => alone.membership.get(id)?.state === 'dead'), `seed ${seed}: nobody was found dead, so nothing is shown`)
        reconnect(fleet)
        const isBack = (): boolean => others.every(id => alone.membership.get(id)?.state === 'ready')
        assert.ok(fleet.network.advanceUntil(isBack, 3_000), `seed ${seed}`)
      }
    })

    test.it('recovers after ten minutes without members of one side losing each other through claims of the other side', () => {
      const fleet = startFleet(18)
      cutOff(fleet, 'didube')
      fleet.network.advance(10 * MINUTE_MS)
      const losses = recordLosses(fleet)
      reconnect(fleet)
      assert.ok(fleet.network.advanceUntil(() => allReady(fleet), 2 * MINUTE_MS))
      fleet.network.advance(MINUTE_MS)
      const isInside = (id: string | undefined): boolean => fleet.get(id ?? '').zone === 'didube'
      const sameSide = losses.filter(loss => isInside(loss.split(' ')[0]) === isInside(loss.split(' ')[1]))
      assert.deepEqual(sameSide, [])
    })
  })
})

/** Simulates the loss of rows but not of heartbeats. */
function removeUpdates (message: messages.ControlMessage): messages.ControlMessage {
  const updates: readonly memberTypes.WireRow[] = []
  return message.kind === 'probe' || message.kind === 'probe-ack' || message.kind === 'gossip' ? { ...message, updates } : message
}
