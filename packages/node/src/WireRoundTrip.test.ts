import * as assert from 'node:assert/strict'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as nodeComposition from '@elmpost/common/node/NodeComposition.js'
import * as peerCodec from './PeerCodec.js'
import * as random from '@elmpost/common/base/Random.js'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'

const STARTED_AT_MS = 1_790_000_000_000
const TICK_MS = 100
const RUN_MS = 20_000

class Node {
  public readonly address: string
  public readonly refused: Error[] = []
  public readonly composition: nodeComposition.NodeComposition

  constructor (public readonly nodeId: string, seeds: readonly string[], seed: number) {
    this.address = `${nodeId}:1`
    this.composition = new nodeComposition.NodeComposition({
      self: { nodeId, incarnation: STARTED_AT_MS, peerAddress: this.address, callerAddress: 'c:1', adminAddress: 'a:1', zone: 'vake', service: 'till', targetReady: false, targetReadySinceMs: 0, enforcedVersion: 0 },
      seeds,
      random: new random.Random(seed),
      onRefused: error => { this.refused.push(error) }
    })
  }
}

test.describe('messages of the core', () => {
  test.it('are accepted by the codec and core of another node, so that a change of a message in the core cannot split the mesh', () => {
    const codec = new peerCodec.PeerCodec()
    const nodes = [new Node('a', ['b:1'], 1), new Node('b', ['a:1'], 2), new Node('c', ['a:1'], 3)]
    const kinds = new Set<string>()
    const deliver = (from: Node, effect: messages.Effect & { readonly kind: 'send' }, nowMs: number): void => {
      const to = nodes.find(node => node.nodeId === effect.to || node.address === effect.address)
      kinds.add(effect.message.kind)
      const message = codec.decode(codec.encode(effect.message)).unwrap()
      to?.composition.core.receive(from.nodeId, message as messages.ControlMessage, nowMs)
    }
    for (let nowMs = STARTED_AT_MS; nowMs < STARTED_AT_MS + RUN_MS; nowMs += TICK_MS) {
      for (const node of nodes) {
        node.composition.core.tick(nowMs)
        for (const effect of node.composition.effects.drain()) {
          if (effect.kind === 'send') deliver(node, effect, nowMs)
        }
      }
    }
    for (const node of nodes) {
      assert.equal(node.composition.core.services.membership.size, 3)
      assert.deepEqual(node.refused, [])
    }
    assert.ok(['join', 'probe', 'probe-ack', 'table-rows'].every(kind => kinds.has(kind)), [...kinds].join())
  })

  test.it('include a handover that is decoded unchanged, because a refused one leaves the keys of a stopped node without an owner', () => {
    const nowMs = fixture.T0
    const host = new fixture.Host()
    const runId = host.expectRun(fixture.call(nowMs, { key: fixture.keyAt(nowMs) }), nowMs)
    host.calls.start(runId, nowMs)
    host.calls.finish(runId, fixture.ANSWER, nowMs)
    const handover = host.calls.release({ nodeId: 'b', incarnation: 1 }, nowMs)
    assert.equal(handover.keys.length, 1)
    const codec = new peerCodec.PeerCodec()
    const received = codec.decode(codec.encode({ kind: 'handover', handover })).unwrap() as messages.HandoverMessage
    assert.deepEqual(received.handover.keys.map(key => ({ ...key, body: Uint8Array.from(key.body ?? []) })), handover.keys)
  })
})
