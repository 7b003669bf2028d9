import * as assert from 'node:assert/strict'
import * as rolloutHealths from './RolloutHealths.js'
import * as rolloutPlan from '@elmpost/common/direct/RolloutPlan.js'
import * as test from 'node:test'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'

const ORDER = { service: 'till', targetVersion: 'v2', rampMs: 8_000, digest: 'd' }
const STATE = { order: ORDER } as rolloutTypes.RolloutState

test.describe('RolloutHealths', () => {
  let nowMs: number
  let sequence: number
  let healths: rolloutHealths.RolloutHealths

  function report (nodeId: string, softwareVersion: string, answers: number, bad: number): void {
    sequence += 1
    const sums = new Map([['price', { answers, bad, timeMs: 0, times: [] }]])
    healths.record(STATE, { nodeId, service: 'till', orderKey: rolloutPlan.keyOf(ORDER), sequence, softwareVersion, phase: 'all', running: 0, sums })
  }

  test.beforeEach(() => {
    nowMs = 0
    sequence = 0
    healths = new rolloutHealths.RolloutHealths(() => nowMs)
  })

  // Guards against a good version that is rolled back because the good answers of a host vanish with its process, and the errors of another do not.
  test.it('keep the answers of a host that has restarted and counts from 0', () => {
    report('o', 'v1', 500, 50)
    report('x', 'v2', 90, 0)
    report('y', 'v2', 200, 20)
    nowMs = 1_000
    report('o', 'v1', 600, 60)
    report('x', 'v2', 0, 0)
    report('y', 'v2', 300, 30)
    assert.notEqual(healths.judge(STATE).verdict, 'bad')
    assert.deepEqual(healths.summary(STATE), { newAnswers: 390, newBad: 30, oldAnswers: 600, oldBad: 60 })
  })

  test.it('keep the answers of an old target whose host gets a new one', () => {
    report('o', 'v1', 500, 50)
    report('o', 'v2', 10, 0)
    assert.deepEqual(healths.summary(STATE), { newAnswers: 10, newBad: 0, oldAnswers: 500, oldBad: 50 })
  })
})
