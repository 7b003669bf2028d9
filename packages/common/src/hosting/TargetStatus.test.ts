import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as routingAnswers from '../routing/Answers.js'
import * as serviceTimes from './ServiceTimes.js'
import * as targetHealth from './TargetHealth.js'
import * as test from 'node:test'

const FAILURES = 5

test.describe('TargetStatus', () => {
  for (const [status, result] of [[200, 'success'], [404, 'success'], [499, 'success'], [500, 'failure'], [502, 'failure'], [503, 'refused'], [504, 'failure']] as const) {
    test.it(`counts ${status} as ${result} at the host node and at the entry node, so that they agree on a target`, () => {
      const health = new targetHealth.TargetHealth(new serviceTimes.ServiceTimes(10))
      const run = { runId: 1, startedAtMs: fixture.T0, timeoutMs: 2_000 }
      for (let i = 0; i < FAILURES; i++) health.handleEnd(run, { ...fixture.ANSWER, status }, fixture.T0)
      assert.equal(health.isFailing(fixture.T0), result === 'failure')
      assert.equal(routingAnswers.sendResultOf({ outcome: 'answered', reason: 'ok', status }), result)
    })
  }
})
