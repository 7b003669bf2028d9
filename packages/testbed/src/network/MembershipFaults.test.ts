import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as memberTypes from '@elmpost/common/membership/Types.js'
import * as wires from '@elmpost/common/membership/WireRow.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']
const MINUTE_MS = 60_000

function started (size: number, seed = 21): fleets.SteppedFleet {
  const fleet = new fleets.SteppedFleet({ size, zones: ZONES, seed })
  fleet.propose()
  fleet.startAll()
  assert.notEqual(fleet.converge(1, 20_000), undefined)
  fleet.network.advance(12_000)
  return fleet
}

/** Cuts a zone off from the others and from the log, for both directions. */
function cutOff (fleet: fleets.SteppedFleet, zone: string): void {
  fleet.network.isLost = (from, to) => (from.zone === zone) !== (to.zone === zone)
  fleet.log.isUnreachable = node => node.zone === zone
}

function heal (fleet: fleets.SteppedFleet): void {
  fleet.network.isLost = () => false
  fleet.log.isUnreachable = () => false
}

function allLive (fleet: fleets.SteppedFleet): boolean {
  const nodes = [...fleet.nodes.values()]
  return nodes.every(node => nodes.every(peer => node.membership.get(peer.nodeId)?.state === 'ready'))
}

/** Changes of rows to states in which members get no work, as `observer subject state`. */
function watchLosses (fleet: fleets.SteppedFleet): string[] {
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
    test.it('finds a killed node dead everywhere within 10 s, so that it gets no more work', () => {
      const fleet = started(30)
      const victim = fleet.ids[7] ?? ''
      fleet.kill(victim)
      const isDead = (): boolean => [...fleet.nodes.values()].every(node => node.membership.get(victim)?.state === 'dead')
      assert.ok(fleet.network.advanceUntil(isDead, 10_000))
    })

    test.it('probes every member once per interval, because a vanished VM stays unnoticed until its next probe', () => {
      const fleet = started(60)
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

    test.it('probes a node at once when its connection breaks, so that detection does not wait for its turn', () => {
      const fleet = started(30)
      const victim = fleet.ids[7] ?? ''
      fleet.kill(victim)
      const observer = fleet.get(fleet.ids[3] ?? '')
      observer.membership.handleConnectionLost(victim, fleet.network.nowMs)
      fleet.network.flush(observer)
      assert.ok(fleet.network.advanceUntil(() => observer.membership.get(victim)?.state === 'dead', 4_100))
    })

    test.it('does not suspect a member that only one peer cannot reach', () => {
      const fleet = started(9)
      const [a = '', b = ''] = fleet.ids
      const losses = watchLosses(fleet)
      fleet.network.isLost = (from, to) => (from.nodeId === a && to.nodeId === b) || (from.nodeId === b && to.nodeId === a)
      fleet.network.advance(MINUTE_MS)
      assert.deepEqual(losses, [])
    })

    test.it('keeps members in a network that loses, delays and reorders messages', () => {
      const fleet = started(20)
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
    test.it('lets a paused node refute with a higher incarnation, and accuse nobody of its own pause', () => {
      const fleet = started(12)
      const paused = fleet.get(fleet.ids[5] ?? '')
      const { incarnation } = paused.membership.self
      fleet.network.pause(paused)
      fleet.network.advance(15_000)
      const losses = watchLosses(fleet)
      fleet.network.resume(paused)
      assert.ok(fleet.network.advanceUntil(() => allLive(fleet), 5_000))
      fleet.network.advance(MINUTE_MS)
      assert.ok(paused.membership.self.incarnation > incarnation)
      assert.deepEqual(losses.filter(loss => !loss.endsWith(`${paused.nodeId} dead`) && !loss.endsWith(`${paused.nodeId} suspect`)), [])
      assert.ok(allLive(fleet), 'the node is flapped')
    })
  })

  test.describe('suspicion', () => {
    test.it('gives a suspect its full time after a pause of the node that suspects it, because the refutation may have arrived unread', () => {
      const fleet = started(12)
      const paused = fleet.get(fleet.ids[5] ?? '')
      const suspect = fleet.get(fleet.ids[6] ?? '')
      const claim = wires.toWire({ ...suspect.membership.self, state: 'suspect' })
      paused.receive(fleet.ids[7] ?? '', { kind: 'gossip', version: 1, ownershipOffset: 0, updates: [claim], crashes: [] }, fleet.network.nowMs)
      paused.drain()
      fleet.network.pause(paused)
      fleet.network.advance(4_000)
      const losses = watchLosses(fleet)
      fleet.network.resume(paused)
      fleet.network.advance(30_000)
      assert.deepEqual(losses.filter(loss => loss.endsWith(`${suspect.nodeId} dead`)), [])
    })
  })

  test.describe('repair', () => {
    test.it('brings a lost announcement to every member by the comparison of tables', () => {
      const fleet = started(9)
      fleet.network.rewrite = withoutUpdates
      const node = fleet.get(fleet.ids[4] ?? '')
      node.membership.setState('draining', fleet.network.nowMs)
      const isKnown = (): boolean => [...fleet.nodes.values()].every(peer => peer.membership.get(node.nodeId)?.state === 'draining')
      assert.ok(fleet.network.advanceUntil(isKnown, MINUTE_MS))
    })
  })

  test.describe('partition', () => {
    test.it('heals after more than an hour, when both sides have forgotten each other', () => {
      const fleet = started(9)
      cutOff(fleet, 'didube')
      fleet.network.advance(MINUTE_MS)
      const version = fleet.propose()
      fleet.network.advance(62 * MINUTE_MS)
      const inside = [...fleet.nodes.values()].filter(node => node.zone === 'didube')
      assert.deepEqual(inside.map(node => node.version), [1, 1, 1])
      for (const node of inside) assert.equal(node.membership.size, 3)
      heal(fleet)
      assert.ok(fleet.network.advanceUntil(() => allLive(fleet) && fleet.allEnforce(version), 2 * MINUTE_MS))
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('takes a node back within 10 s that alone was cut off while the seeds died, because its keys have no other owner', () => {
      const fleet = started(30)
      const alone = fleet.ids[20] ?? ''
      fleet.network.isLost = (from, to) => (from.nodeId === alone) !== (to.nodeId === alone)
      for (const seed of fleet.ids.slice(0, 3)) fleet.kill(seed)
      fleet.network.advance(MINUTE_MS)
      heal(fleet)
      assert.ok(fleet.network.advanceUntil(() => allLive(fleet), 10_000))
    })

    test.it('takes a node back within 3 s that alone was cut off for some seconds, because payments through it need its owners', () => {
      for (let seed = 1; seed <= 20; seed++) {
        const fleet = started(10, seed)
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
        heal(fleet)
        const isBack = (): boolean => others.every(id => alone.membership.get(id)?.state === 'ready')
        assert.ok(fleet.network.advanceUntil(isBack, 3_000), `seed ${seed}`)
      }
    })

    test.it('heals after ten minutes without members of one side losing each other to claims of the other side', () => {
      const fleet = started(18)
      cutOff(fleet, 'didube')
      fleet.network.advance(10 * MINUTE_MS)
      const losses = watchLosses(fleet)
      heal(fleet)
      assert.ok(fleet.network.advanceUntil(() => allLive(fleet), 2 * MINUTE_MS))
      fleet.network.advance(MINUTE_MS)
      const isInside = (id: string | undefined): boolean => fleet.get(id ?? '').zone === 'didube'
      const sameSide = losses.filter(loss => isInside(loss.split(' ')[0]) === isInside(loss.split(' ')[1]))
      assert.deepEqual(sameSide, [])
    })
  })
})

/** Rows get lost, heartbeats do not. */
function withoutUpdates (message: messages.ControlMessage): messages.ControlMessage {
  const updates: readonly memberTypes.WireRow[] = []
  return message.kind === 'probe' || message.kind === 'probe-ack' || message.kind === 'gossip' ? { ...message, updates } : message
}
