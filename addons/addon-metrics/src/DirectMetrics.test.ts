import * as assert from 'node:assert/strict'
import * as directMetrics from './DirectMetrics.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Services.js'
import type * as types from '@elmpost/common/direct/Types.js'

class FakeNode implements direct.IDirectView {
  public readonly nodeName = 'n1'
  public readonly zone = 'ann'
  public readonly calls = new emitter.Emitter<direct.CallMeasured>()
  public readonly onCallEnded = this.calls.event
  public readonly onRetry = new emitter.Emitter<types.RetryDecided>().event

  public gauges (): direct.DirectGauges {
    const load = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 0 }
    return { version: 1, isReady: true, entryInFlight: 0, load, slotTimes: { 'on-time': 4_000, late: 500, error: 0, lost: 0, free: 90_000 }, linkBytes: { sent: { result: 5_000, status: 60 }, received: { call: 700 } }, state: 'ready', targetCrashes: 2, targetCalls: 42, targetLimitPerS: 9.8, knownNodes: 1, connectedNodes: 1, storeAgeMs: 0, acceptWaitMs: 0.3, bodyBytes: 5_000, connections: { heldBytes: 9_000, paused: 2, closed: { unread: 3 } }, behindMs: 700, grants: { requested: 30, received: 33, issued: 9, refused: 4 }, confirmedAgeMs: 900, rollouts: [{ order: { service: 'till', targetVersion: 'v2', rampMs: 8_000, digest: 'd' }, orderedAtMs: 0, phase: 'canary', share: 0.07, isBad: false, isRecorded: false, isPast: false }], drivesRollouts: true }
  }
}

test.describe('DirectMetrics', () => {
  test.it('counts results by priority and origin, so that bad results of one kind of call are not hidden by the others', async () => {
    const node = new FakeNode()
    const metrics = new directMetrics.DirectMetrics(node)
    const call = { reason: 'ok', totalMs: 3, sends: 1 } as const
    node.calls.fire({ ...call, outcome: 'answered', result: 'late', origin: 'client', priority: 2 })
    node.calls.fire({ ...call, outcome: 'answered', result: 'on-time', origin: 'target', priority: 0 })
    node.calls.fire({ ...call, outcome: 'not-run', result: 'not-run', origin: 'client', priority: undefined })
    const text = await metrics.render()
    assert.match(text, /elmpost_direct_results_total\{priority="2",origin="client",result="late",node="n1",zone="ann"\} 1/)
    assert.match(text, /elmpost_direct_results_total\{priority="0",origin="target",result="on-time",node="n1",zone="ann"\} 1/)
    assert.doesNotMatch(text, /priority="undefined"/)
  })

  test.it('shows the rate limit that the target advertises beside the calls that it got', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    assert.match(text, /elmpost_direct_target_calls\{.*\} 42\n/)
    assert.match(text, /elmpost_direct_target_limit_per_second\{.*\} 9\.8\n/)
  })

  test.it('shows what the slots of the target were used for, so that overload can be told from slots that are free or used in vain', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    assert.match(text, /elmpost_direct_slot_seconds_total\{use="late",.*\} 0\.5\n/)
    assert.match(text, /elmpost_direct_slot_seconds_total\{use="free",.*\} 90\n/)
  })

  test.it('shows grants and refusals, so that calls over a limit can be told from limits that are not handed out', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    for (const [name, value] of [['grants_requested_total', 30], ['grants_received_total', 33], ['grants_issued_total', 9], ['over_limit_total', 4]]) assert.match(text, new RegExp(`elmpost_direct_${name}\\{.*\\} ${value}\n`))
  })

  test.it('shows roll-outs, so that their phase can be seen at any node', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    assert.match(text, /elmpost_direct_rollout_share\{service="till",version="v2",phase="canary",bad="false",.*\} 0\.07\n/)
    assert.match(text, /elmpost_direct_rollout_driver\{.*\} 1\n/)
  })

  test.it('shows the bytes on links by kind, so that a full link can be told from a slow node', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    assert.match(text, /elmpost_direct_link_bytes_total\{direction="sent",kind="result",.*\} 5000\n/)
    assert.match(text, /elmpost_direct_link_bytes_total\{direction="received",kind="call",.*\} 700\n/)
  })

  test.it('shows in seconds how long callers may wait to be accepted, and how long a newer version is known', async () => {
    const text = await new directMetrics.DirectMetrics(new FakeNode()).render()
    assert.match(text, /elmpost_direct_body_bytes\{.*\} 5000\n/)
    assert.match(text, /elmpost_direct_accept_wait_seconds\{.*\} 0\.0003\n/)
    assert.match(text, /elmpost_direct_connection_bytes\{.*\} 9000\n/)
    assert.match(text, /elmpost_direct_connections_paused\{.*\} 2\n/)
    assert.match(text, /elmpost_direct_connections_closed_total\{reason="unread",.*\} 3\n/)
    assert.match(text, /elmpost_direct_behind_seconds\{.*\} 0\.7\n/)
    assert.match(text, /elmpost_direct_confirmed_age_seconds\{.*\} 0\.9\n/)
  })
})
