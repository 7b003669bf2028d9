import * as assert from 'node:assert/strict'
import * as eventQueues from './EventQueue.js'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as hostModels from './HostModel.js'
import * as test from 'node:test'
import type * as modelFleet from './ModelFleet.js'
import type * as types from './Types.js'

const SERVICE: types.BenchService = { name: fixture.SERVICE, workers: 1, slots: 2, connections: 4, meanServiceMs: 10, routes: [] }

function modelOf (events: eventQueues.EventQueue, serviceMs: number): hostModels.HostModel {
  const node: modelFleet.ModelNode = { nodeId: 'a', zone: 'vake', service: SERVICE, isDead: false, serve: () => ({ serviceMs, status: 200 }) }
  return new hostModels.HostModel({ events, node, host: new fixture.Host().calls, delegate: () => {}, onRun: () => {} })
}

test.describe('HostModel', () => {
  test.it('answers a queued call when its maximum queue time expires, without waiting for the next tick', () => {
    const events = new eventQueues.EventQueue(fixture.T0)
    const model = modelOf(events, Infinity)
    const endedAtMs: number[] = []
    for (let i = 0; i < 3; i++) {
      model.accept('entry', fixture.call(fixture.T0), () => { endedAtMs.push(events.nowMs - fixture.T0) })
    }
    events.runUntil(fixture.T0 + 600)
    assert.deepEqual(endedAtMs, [501])
  })
})
