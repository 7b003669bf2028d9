import * as assert from 'node:assert/strict'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as metricsAddon from './MetricsAddon.js'
import * as test from 'node:test'
import type * as distribution from '@elmpost/common/distribution/Types.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'

class FakeNode implements nodeServices.INodeView {
  public readonly nodeId = 'n1'
  public readonly zone = 'vake'
  public readonly calls = new emitter.Emitter<nodeServices.CallFinished>()
  public readonly bytes = new emitter.Emitter<{ direction: 'sent' | 'received', traffic: nodeServices.TrafficKind, bytes: number }>()
  public readonly refused = new emitter.Emitter<nodeServices.MessageRefused>()
  public readonly enforced = new emitter.Emitter<distribution.VersionEnforced>()
  public readonly onCallFinished = this.calls.event
  public readonly onBytes = this.bytes.event
  public readonly onMessageRefused = this.refused.event
  public readonly onEnforced = this.enforced.event

  public gauges (): nodeServices.NodeGauges {
    return {
      enforcedVersion: 7,
      floorVersion: 6,
      members: { ready: 3 },
      entryInFlight: 2,
      load: { inFlight: 1, queued: 4, slots: 15 },
      openLinks: 2,
      residentBytes: 1,
      readiness: { ready: true, reason: 'ready', floorVersion: 6, enforcedVersion: 7 }
    }
  }
}

test.describe('MetricsAddon', () => {
  test.it('counts calls, bytes and refused messages, so that operators see the failures of callers', async () => {
    const node = new FakeNode()
    const addon = new metricsAddon.MetricsAddon()
    addon.activate(node)
    node.calls.fire({ outcome: 'answered', reason: 'ok', totalMs: 3, targetMs: 2.7 })
    node.calls.fire({ outcome: 'not-run', reason: 'overloaded', totalMs: 0.1, targetMs: 0 })
    node.bytes.fire({ direction: 'sent', traffic: 'control', bytes: 120 })
    node.refused.fire({ source: 'peer', reason: 'x' })
    const text = await addon.exposition.render()
    assert.match(text, /elmpost_calls_total\{outcome="not-run",reason="overloaded",node="n1",zone="vake"\} 1/)
    assert.match(text, /elmpost_added_seconds_bucket\{le="0.0004",node="n1",zone="vake"\} 1/)
    assert.match(text, /elmpost_peer_bytes_total\{direction="sent",traffic="control",node="n1",zone="vake"\} 120/)
    assert.match(text, /elmpost_messages_refused_total\{source="peer",node="n1",zone="vake"\} 1/)
    assert.match(text, /elmpost_members\{state="ready",node="n1",zone="vake"\} 3/)
    assert.match(text, /elmpost_target_queue\{node="n1",zone="vake"\} 4/)
  })

  test.it('stops counting when it is disposed, so that a replaced addon does not keep listening', async () => {
    const node = new FakeNode()
    const addon = new metricsAddon.MetricsAddon()
    addon.activate(node)
    addon.dispose()
    node.calls.fire({ outcome: 'answered', reason: 'ok', totalMs: 1, targetMs: 1 })
    assert.equal(await addon.exposition.render(), '\n')
  })
})
