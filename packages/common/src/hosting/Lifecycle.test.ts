import * as assert from 'node:assert/strict'
import * as fake from './testing/FakeMembership.js'
import * as fixture from './testing/Fixture.js'
import * as lifecycles from './Lifecycle.js'
import type * as messages from '../node/Messages.js'
import * as test from 'node:test'

const T0 = fixture.T0
const REFUSAL = { kind: 'handover-refusal', fromNodeId: 'a', incarnation: T0 - 10_000 } as const

class Node {
  public readonly effects: messages.Effect[] = []
  public readonly membership: fake.FakeMembership
  public readonly host: fixture.Host
  public readonly lifecycle: lifecycles.Lifecycle

  constructor (nodeId: string, owner?: { nodeId: string, incarnation: number }) {
    this.host = new fixture.Host({ self: { nodeId, incarnation: T0 - 10_000 } }, owner)
    this.membership = new fake.FakeMembership(nodeId)
    for (const id of ['a', 'b']) this.membership.set(fake.memberRow(id, T0 - 10_000))
    const { effects, membership } = this
    this.lifecycle = new lifecycles.Lifecycle({ calls: this.host.calls, membership, effects, service: fixture.SERVICE, drainMs: () => 10_000 })
  }

  public kinds (): readonly string[] {
    return this.effects.map(effect => effect.kind === 'send' ? effect.message.kind : effect.kind)
  }

  /** Takes the effects and returns the nodes that were sent to. */
  public recipients (): readonly string[] {
    return this.effects.splice(0).flatMap(effect => effect.kind === 'send' ? [effect.to] : [])
  }

  /** Delivers what the node has sent to the other one. */
  public deliverTo (other: Node, nowMs: number): void {
    for (const effect of this.effects.splice(0)) {
      if (effect.kind !== 'send') continue
      const { message } = effect
      if (message.kind === 'handover' || message.kind === 'handover-ack' || message.kind === 'handover-refusal') other.lifecycle.receive(this.membership.self.nodeId, message, nowMs)
    }
  }
}

test.describe('Lifecycle', () => {
  test.describe('stop', () => {
    test.it('waits for running calls before the handover, so that the successor gets their answers', () => {
      const node = new Node('a')
      const key = fixture.keyAt(T0)
      const runId = node.host.expectRun(fixture.call(T0, { key }), T0)
      node.host.calls.start(runId, T0)
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0 + 100)
      assert.deepEqual([node.membership.self.state, node.kinds()], ['draining', []])
      node.host.calls.finish(runId, fixture.ANSWER, T0 + 200)
      node.lifecycle.tick(T0 + 300)
      assert.deepEqual(node.kinds(), ['handover'])
    })

    test.it('ends under a steady stream of keyed calls, which a delegate runs, so that the handover is not put off until the drain time is over', () => {
      const node = new Node('a')
      node.host.delegate = { nodeId: 'b', address: 'b:1' }
      node.lifecycle.beginStop(T0)
      for (let nowMs = T0; node.kinds().length === 0; nowMs += 100) {
        assert.ok(nowMs < T0 + 2_000, 'the handover has not begun')
        // A call that the delegate runs for 150 ms is on its way at every tick until new ones are refused.
        const decision = node.host.calls.accept('entry', fixture.call(nowMs, { key: fixture.keyAt(nowMs) }), nowMs)
        node.lifecycle.tick(nowMs)
        if (decision.kind === 'delegate') node.host.calls.finish(decision.runId, fixture.ANSWER, nowMs + 150)
      }
      assert.deepEqual(node.kinds(), ['handover'])
    })

    test.it('names the successor to callers of handed-over keys, so that entry nodes that have not heard of it follow', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      node.lifecycle.tick(T0)
      const decision = node.host.calls.accept('entry', fixture.call(T0, { key: fixture.keyAt(T0) }), T0)
      assert.deepEqual(decision.kind === 'answer' && [decision.answer.reason, decision.answer.successor], ['not-owner', 'b'])
    })

    test.it('hands the key table over, logs the release and names the successor', () => {
      const [from, to] = [new Node('a'), new Node('b', { nodeId: 'a', incarnation: T0 - 10_000 })]
      const key = fixture.keyAt(T0)
      const runId = from.host.expectRun(fixture.call(T0, { key }), T0)
      from.host.calls.start(runId, T0)
      from.host.calls.finish(runId, fixture.ANSWER, T0)
      from.lifecycle.beginStop(T0)
      from.lifecycle.tick(T0)
      from.deliverTo(to, T0)
      to.deliverTo(from, T0)
      from.lifecycle.tick(T0 + 299)
      assert.deepEqual(from.kinds(), [])
      from.lifecycle.tick(T0 + 300)
      const [append] = from.effects.splice(0)
      assert.ok(append?.kind === 'append-log')
      assert.equal(to.host.outcomeOf(fixture.call(T0, { key: fixture.keyAt(T0 + 2_001) }), T0), 'unknown not-owner')
      from.lifecycle.logAppended({ stream: 'ownership', requestId: append.requestId, status: 'appended', offset: 2 }, T0)
      from.lifecycle.tick(T0)
      from.deliverTo(to, T0)
      to.deliverTo(from, T0)
      assert.deepEqual([from.membership.self.state, from.membership.self.successor], ['left', 'b'])
      assert.deepEqual([from.lifecycle.canExit(T0 + 999), from.lifecycle.canExit(T0 + 1_000)], [false, true])
      assert.equal(to.host.outcomeOf(fixture.call(T0, { key }), T0), 'answered ok')
      to.host.expectRun(fixture.call(T0 + 10, { key: fixture.keyAt(T0 + 2_005) }), T0 + 10)
    })

    test.it('runs no new key after it has sent the handover, whether or not the successor answers', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      assert.equal(node.host.outcomeOf(fixture.call(T0, { key: fixture.keyAt(T0) }), T0), 'unknown not-owner')
      assert.ok(node.lifecycle.undrain(T0).isErr())
    })

    test.it('sends to one process only, because the first may have taken the keys although its answer was lost', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      node.membership.set(fake.memberRow('c', T0))
      node.membership.set(fake.memberRow('b', T0 - 10_000, { state: 'dead' }))
      node.lifecycle.tick(T0 + 1_000)
      assert.deepEqual([node.kinds(), node.membership.self.successor], [['handover'], ''])
      const restarted = new Node('b')
      const handover = node.effects[0]
      assert.ok(handover?.kind === 'send' && handover.message.kind === 'handover')
      const wrong = { ...handover.message.handover, to: { nodeId: 'b', incarnation: T0 - 20_000 } }
      restarted.lifecycle.receive('a', { kind: 'handover', handover: wrong }, T0)
      const [refusal] = restarted.effects
      assert.ok(refusal?.kind === 'send' && refusal.message.kind === 'handover-refusal')
      assert.deepEqual([restarted.effects.length, refusal.message.reason, restarted.host.calls.inherited], [1, 'other-process', []])
    })

    test.it('asks the next process when the first one stops too, and leaves at once when none is left', () => {
      const node = new Node('a')
      node.membership.set(fake.memberRow('c', T0 - 10_000))
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      const first = node.recipients()
      node.lifecycle.receive(first[0] ?? '', { ...REFUSAL, reason: 'stopping' }, T0 + 5)
      const second = node.recipients()
      assert.deepEqual([first, second].flat().sort(), ['b', 'c'])
      // A repeated refusal of the first process says nothing about the second one.
      node.lifecycle.receive(first[0] ?? '', { ...REFUSAL, reason: 'stopping' }, T0 + 6)
      assert.equal(node.membership.self.state, 'draining')
      node.lifecycle.receive(second[0] ?? '', { ...REFUSAL, reason: 'stopping' }, T0 + 7)
      assert.deepEqual([node.membership.self.state, node.membership.self.successor], ['left', ''])
    })

    test.it('refuses keys as not run when no process has taken them, because they can still be told from keys that ran', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      node.lifecycle.receive('b', { ...REFUSAL, reason: 'stopping' }, T0 + 5)
      assert.equal(node.host.outcomeOf(fixture.call(T0 + 10, { key: fixture.keyAt(T0) }), T0 + 10), 'not-run draining')
    })

    test.it('asks no other process when the first one was replaced, because it may have taken the keys before', () => {
      const node = new Node('a')
      node.membership.set(fake.memberRow('c', T0 - 10_000))
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      const [first = ''] = node.recipients()
      node.lifecycle.receive(first, { ...REFUSAL, reason: 'other-process' }, T0 + 5)
      assert.deepEqual([node.membership.self.state, node.membership.self.successor, node.recipients()], ['left', '', []])
    })

    test.it('asks no other process for windows that were given back, and tells no key as not run, because the successor may have run some', () => {
      const node = new Node('a')
      node.membership.set(fake.memberRow('c', T0 - 10_000))
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      const [first = ''] = node.recipients()
      node.lifecycle.receive(first, { ...REFUSAL, reason: 'returned' }, T0 + 5)
      assert.deepEqual([node.membership.self.state, node.membership.self.successor, node.recipients()], ['left', '', []])
      assert.equal(node.host.outcomeOf(fixture.call(T0 + 10, { key: fixture.keyAt(T0) }), T0 + 10), 'unknown not-owner')
    })

    test.it('appends no release for windows that were given back, so that the next process at its address adopts them', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      node.effects.length = 0
      node.lifecycle.receive('b', { kind: 'handover-ack', fromNodeId: 'a', incarnation: T0 - 10_000, released: false }, T0 + 5)
      node.lifecycle.receive('b', { ...REFUSAL, reason: 'returned' }, T0 + 100)
      node.lifecycle.tick(T0 + 1_000)
      assert.deepEqual([node.membership.self.state, node.membership.self.successor, node.kinds()], ['left', '', []])
    })

    test.it('gives windows back that it has taken when no process is left to take them', () => {
      const [from, to] = [new Node('a'), new Node('b', { nodeId: 'a', incarnation: T0 - 10_000 })]
      from.lifecycle.beginStop(T0)
      from.lifecycle.tick(T0)
      from.deliverTo(to, T0)
      to.membership.set(fake.memberRow('a', T0 - 10_000, { state: 'draining' }))
      to.effects.length = 0
      to.lifecycle.beginStop(T0 + 10)
      to.lifecycle.tick(T0 + 10)
      // A repeated handover gets the same answer.
      from.lifecycle.tick(T0 + 1_000)
      from.deliverTo(to, T0 + 1_000)
      const reasons = to.effects.map(effect => effect.kind === 'send' && effect.message.kind === 'handover-refusal' && effect.message.reason)
      assert.deepEqual(reasons, ['returned', 'returned'])
    })

    test.it('takes no handover while it stops, so that it does not keep the keys of others when it is the last one', () => {
      const [from, to] = [new Node('a'), new Node('b', { nodeId: 'a', incarnation: T0 - 10_000 })]
      to.lifecycle.beginStop(T0)
      from.lifecycle.beginStop(T0)
      from.lifecycle.tick(T0)
      from.deliverTo(to, T0)
      assert.deepEqual([to.kinds(), to.host.calls.inherited], [['handover-refusal'], []])
    })

    test.it('acknowledges a repeated handover after it has begun to stop, so that a lost answer gives the keys no second owner', () => {
      const [from, to] = [new Node('a'), new Node('b', { nodeId: 'a', incarnation: T0 - 10_000 })]
      from.lifecycle.beginStop(T0)
      from.lifecycle.tick(T0)
      from.deliverTo(to, T0)
      to.effects.length = 0
      to.lifecycle.beginStop(T0 + 10)
      to.lifecycle.tick(T0 + 10)
      to.effects.length = 0
      from.lifecycle.tick(T0 + 1_000)
      from.deliverTo(to, T0 + 1_000)
      assert.deepEqual(to.kinds(), ['handover-ack'])
    })

    test.it('does not take windows by a confirmation alone, because it does not hold their keys', () => {
      const [from, to] = [new Node('a'), new Node('b', { nodeId: 'a', incarnation: T0 - 10_000 })]
      from.lifecycle.beginStop(T0)
      from.lifecycle.tick(T0)
      const [sent] = from.effects
      assert.ok(sent?.kind === 'send' && sent.message.kind === 'handover')
      to.lifecycle.receive('a', { kind: 'handover', handover: { ...sent.message.handover, released: true, keys: [] } }, T0)
      assert.deepEqual([to.kinds(), to.host.calls.inherited], [['handover-refusal'], []])
    })

    test.it('confirms its release to the successor of a successor that has left', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      node.lifecycle.receive('b', { kind: 'handover-ack', fromNodeId: 'a', incarnation: T0 - 10_000, released: false }, T0)
      node.effects.length = 0
      node.membership.set(fake.memberRow('c', T0 - 5_000))
      node.membership.set(fake.memberRow('b', T0 - 10_000, { state: 'left', successor: 'c' }))
      node.lifecycle.tick(T0 + 300)
      const [append] = node.effects.splice(0)
      assert.ok(append?.kind === 'append-log')
      node.lifecycle.logAppended({ stream: 'ownership', requestId: append.requestId, status: 'appended', offset: 2 }, T0 + 400)
      node.lifecycle.tick(T0 + 400)
      const [sent] = node.effects
      assert.ok(sent?.kind === 'send' && sent.message.kind === 'handover')
      assert.deepEqual([sent.to, sent.message.handover.to, sent.message.handover.released], ['c', { nodeId: 'c', incarnation: T0 - 5_000 }, true])
    })

    test.it('ends after the drain time when the successor or the log does not answer', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      for (let ms = 0; ms < 10_000; ms += 500) node.lifecycle.tick(T0 + ms)
      assert.equal(node.kinds().length, 10)
      node.lifecycle.tick(T0 + 10_000)
      assert.equal(node.membership.self.state, 'left')
    })

    test.it('has no effect the second time, so that a second SIGTERM does not restart the drain', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      node.lifecycle.tick(T0)
      assert.deepEqual(node.lifecycle.beginStop(T0 + 9_000), [])
      node.lifecycle.tick(T0 + 10_000)
      assert.equal(node.membership.self.state, 'left')
    })
  })

  test.describe('drain', () => {
    test.it('keeps the keys of an idle node, so that a drain under any load can be taken back', () => {
      const node = new Node('a')
      node.host.delegate = { nodeId: 'b', address: 'b:1' }
      node.lifecycle.beginDrain(T0)
      for (let ms = 0; ms <= 60_000; ms += 100) node.lifecycle.tick(T0 + ms)
      assert.deepEqual([node.kinds(), node.membership.self.state, node.lifecycle.canExit(T0 + 60_000)], [[], 'draining', false])
      const nowMs = T0 + 60_000
      assert.equal(node.host.calls.accept('entry', fixture.call(nowMs, { key: fixture.keyAt(nowMs) }), nowMs).kind, 'delegate')
      assert.ok(node.lifecycle.undrain(nowMs).isOk())
      assert.equal(node.membership.self.state, 'ready')
      node.host.expectRun(fixture.call(nowMs), nowMs)
    })

    test.it('can be followed by a stop, which has the whole drain time from then on', () => {
      const node = new Node('a')
      node.lifecycle.beginDrain(T0)
      node.lifecycle.beginStop(T0 + 60_000)
      node.lifecycle.tick(T0 + 60_000)
      assert.deepEqual([node.kinds(), node.membership.self.state], [['handover'], 'draining'])
      assert.ok(node.lifecycle.undrain(T0 + 60_000).isErr())
    })

    test.it('does not end a stop, so that a late command of an operator cannot bring back a node without keys', () => {
      const node = new Node('a')
      node.lifecycle.beginStop(T0)
      assert.deepEqual(node.lifecycle.beginDrain(T0), [])
      assert.ok(node.lifecycle.undrain(T0).isErr())
      node.lifecycle.tick(T0)
      assert.deepEqual(node.kinds(), ['handover'])
    })
  })

  test.describe('undrain', () => {
    test.it('takes work again while calls still run', () => {
      const node = new Node('a')
      node.host.expectRun(fixture.call(T0, { key: fixture.keyAt(T0) }), T0)
      node.host.delegate = { nodeId: 'b', address: 'b:1' }
      node.lifecycle.beginDrain(T0)
      node.lifecycle.tick(T0)
      assert.ok(node.lifecycle.undrain(T0).isOk())
      assert.equal(node.membership.self.state, 'ready')
      node.host.expectRun(fixture.call(T0), T0)
    })
  })
})
