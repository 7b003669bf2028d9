import * as assert from 'node:assert/strict'
import * as rolloutPlan from './RolloutPlan.js'
import * as test from 'node:test'
import type * as types from './RolloutTypes.js'

const ORDER: types.RolloutOrder = { service: 'till', targetVersion: 'v2', rampMs: 12_000, offset: 7, digest: 'd7' }
const STATE: types.RolloutState = { order: ORDER, phase: 'waiting', share: 0, isBad: false, isRecorded: false, isPast: false, orderedAtMs: 0 }
const VIEW = { exposureShare: 0.1, verdict: 'good', callsPerS: 300, longestTimeoutMs: 3_000, newSlots: 20, oldSlots: 20, serviceMs: 50, lostSinceMs: undefined, isConfirmed: true } as const
const TICK_MS = 100
const READY_AT_MS = 2_000

interface Course {
  readonly ends: string
  readonly endsAtMs: number
  /** Calls to the new version, in calls of all versions of one second. */
  readonly exposedS: number
  readonly allAtMs: number
}

/** Follows an order until its end. */
function follow (change: (nowMs: number, phase: types.RolloutPhase) => Partial<rolloutPlan.RolloutView>, order = ORDER): Course {
  let state: types.RolloutState = { ...STATE, order }
  let phaseSinceMs = 0
  let exposedS = 0
  let allAtMs = Infinity
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS) {
    const view = { ...VIEW, newSlots: nowMs < READY_AT_MS ? 0 : 20, state, nowMs, phaseSinceMs, ...change(nowMs, state.phase) }
    const step = rolloutPlan.next(view)
    if (step.kind === 'complete' || step.kind === 'roll-back') return { ends: step.kind, endsAtMs: nowMs, exposedS, allAtMs }
    if (step.kind === 'phase') {
      state = { ...state, phase: step.phase, share: step.share }
      phaseSinceMs = nowMs
      if (step.phase === 'all') allAtMs = nowMs
    }
    exposedS += state.share * TICK_MS / 1000
  }
  return { ends: 'never', endsAtMs: Infinity, exposedS, allAtMs }
}

test.describe('RolloutPlan', () => {
  test.describe('next', () => {
    for (const rampMs of [10_000, 12_000, 15_000]) {
      for (const longestTimeoutMs of [1_000, 2_000, 3_000]) {
        const order = { ...ORDER, rampMs }

        test.it(`completes a good version before a ramp of ${rampMs} ms, and after calls of ${longestTimeoutMs} ms to old targets`, () => {
          const { ends, endsAtMs, allAtMs } = follow(() => ({ longestTimeoutMs }), order)
          assert.equal(ends, 'complete')
          assert.ok(endsAtMs <= rampMs - 800 && endsAtMs - allAtMs > longestTimeoutMs, `all at ${allAtMs}, end at ${endsAtMs}`)
        })

        for (const badPhase of ['canary', 'quarter', 'half', 'all']) {
          test.it(`keeps the bound of calls to a version that turns bad in phase ${badPhase} (${rampMs} ms, ${longestTimeoutMs} ms)`, () => {
            let sinceMs = Infinity
            // 300 ms until the answers are known to be bad. At 300 calls a second the slack of 50 calls is 0.17 s.
            const course = follow((nowMs, phase) => {
              if (phase === badPhase) sinceMs = Math.min(sinceMs, nowMs)
              return { longestTimeoutMs, verdict: nowMs - sinceMs >= 300 ? 'bad' : 'good' }
            }, order)
            assert.equal(course.ends, 'roll-back')
            assert.ok(course.exposedS <= 0.1 * course.endsAtMs / 1000 + 0.17, `${course.exposedS} of ${course.endsAtMs}`)
          })
        }
      }
    }

    test.it('waits for targets of the version, and does not send all calls to a few of them', () => {
      assert.equal(follow(() => ({ newSlots: 0 })).ends, 'never')
      assert.equal(follow(() => ({ newSlots: 14 })).allAtMs, Infinity)
      assert.equal(follow(() => ({ newSlots: 16 })).ends, 'complete')
    })

    // Guards against a good version that is held up because the VM of one of its targets has failed, although the others can take all calls.
    test.it('does not wait for more targets than the load needs', () => {
      assert.equal(follow(() => ({ newSlots: 4, callsPerS: 60 })).ends, 'complete')
    })

    test.it('rolls back a version whose targets have all ended while calls depend on them', () => {
      assert.equal(follow((nowMs, phase) => phase === 'all' ? { newSlots: 0, lostSinceMs: nowMs - 1_100 } : {}).ends, 'roll-back')
    })

    test.it('waits for old targets to end their calls, but not beyond the ramp', () => {
      const { ends, endsAtMs } = follow(() => ({ longestTimeoutMs: 1_000, isConfirmed: false }))
      assert.deepEqual([ends, endsAtMs], ['complete', 11_100])
    })
  })

  test.describe('merge', () => {
    const canary = { ...STATE, phase: 'canary', share: 0.03 } as const

    test.it('keeps the later phase, in whichever order two drivers are heard', () => {
      const half = { ...STATE, phase: 'half', share: 0.5 } as const
      assert.equal(rolloutPlan.merge(canary, half).phase, 'half')
      assert.equal(rolloutPlan.merge(half, canary), half)
    })

    test.it('keeps that a version is bad, until the store has the final status', () => {
      const bad = rolloutPlan.merge(canary, { ...STATE, isBad: true })
      assert.deepEqual([bad.phase, bad.isBad], ['canary', true])
      assert.equal(rolloutPlan.merge(bad, { ...canary, phase: 'all', share: 1 }).isBad, true)
      const done = rolloutPlan.merge(bad, { ...STATE, phase: 'done', share: 1 })
      assert.deepEqual([done.phase, done.isBad], ['done', false])
      assert.equal(rolloutPlan.merge(done, bad), done)
    })

    test.it('replaces an order by a new one, also for the same version and with the same bytes', () => {
      const again = { ...STATE, order: { ...ORDER, offset: 9 }, orderedAtMs: 5 }
      const rolledBack = { ...STATE, phase: 'rolled-back', isBad: true } as const
      assert.equal(rolloutPlan.merge(rolledBack, again), again)
      assert.equal(rolloutPlan.merge(again, rolledBack), again)
    })

    test.it('takes an order with and without its offset for the same one', () => {
      const { offset, ...unknown } = ORDER
      const merged = rolloutPlan.merge({ ...canary, order: unknown }, STATE)
      assert.deepEqual([merged.phase, merged.order.offset], ['canary', offset])
    })
  })
})
