import * as assert from 'node:assert/strict'
import * as fastCheck from 'fast-check'
import * as random from '../base/Random.js'
import * as retryAllowance from './RetryAllowance.js'
import * as retryBound from './testing/RetryBound.js'
import * as test from 'node:test'

const TERMS = { ratio: 0.2, slack: 60, windowMs: 10_000 }
const STEP_MS = 50
const LENGTH_MS = 45_000
const FAILS_FROM_MS = 21_000

interface Scenario {
  readonly nodeCount: number
  /** Calls of the whole fleet. */
  readonly callsPerS: number
  readonly failedShare: number
  /** When all processes are replaced. */
  readonly restartsAtMs: readonly number[]
  /** How long a new process does not know the number of nodes. */
  readonly unknownCountMs: number
  /** All calls enter at one node for this time, then at the next one; 0 if they are spread over all. */
  readonly movesEachMs: number
  readonly seed: number
}

const DEFAULTS: Scenario = { nodeCount: 10, callsPerS: 600, failedShare: 1, restartsAtMs: [], unknownCountMs: 0, movesEachMs: 0, seed: 1 }

/** Simulates a fleet whose calls fail at all nodes from `FAILS_FROM_MS` on, after a time without failures in which allowances accumulate. */
function runScenario ({ nodeCount, callsPerS, failedShare, restartsAtMs, unknownCountMs, movesEachMs, seed }: Scenario): retryBound.WorstWindow {
  const source = new random.Random(seed)
  const bound = new retryBound.RetryBound(TERMS)
  let nowMs = 0
  let startedAtMs = -Infinity
  const process = (): retryAllowance.RetryAllowance => new retryAllowance.RetryAllowance(TERMS, () => nowMs - startedAtMs < unknownCountMs ? undefined : nodeCount, nowMs)
  let nodes = Array.from({ length: nodeCount }, process)
  for (; nowMs < LENGTH_MS; nowMs += STEP_MS) {
    if (restartsAtMs.some(atMs => atMs >= nowMs && atMs < nowMs + STEP_MS)) {
      startedAtMs = nowMs
      nodes = nodes.map(process)
    }
    const calls = Math.floor(callsPerS * STEP_MS / 1000 + source.nextFloat())
    for (let call = 0; call < calls; call++) {
      const place = movesEachMs === 0 ? source.nextInt(nodeCount) : Math.floor(nowMs / movesEachMs) % nodeCount
      const node = nodes[place]
      node?.recordRequest(nowMs)
      bound.recordRequest('till', nowMs)
      const hasFailed = nowMs >= FAILS_FROM_MS && source.nextFloat() < failedShare
      if (hasFailed && node?.take(nowMs) === true) bound.recordRetry('till', nowMs)
    }
  }
  return bound.findWorstWindow()
}

function assertKept (worst: retryBound.WorstWindow): void {
  assert.ok(worst.retries <= worst.allowed, `${worst.retries} retries, ${worst.allowed} allowed, in the window from ${worst.fromMs} ms`)
}

test.describe('The retry allowances of a fleet', () => {
  // Guards against unused and newly earned allowances that add up to more than the bound of a window at low traffic.
  for (const callsPerS of [1, 5, 10, 20, 40, 80, 160, 600]) {
    test.it(`keep the bound in each window at ${callsPerS} calls a second when all calls begin to fail`, () => {
      assertKept(runScenario({ ...DEFAULTS, callsPerS }))
    })
  }

  // Guards against processes that start with an allowance which their predecessors have used already.
  for (const callsPerS of [20, 64, 200, 600]) {
    for (const eachMs of [1_000, 2_000]) {
      test.it(`keep the bound at ${callsPerS} calls a second while all nodes restart every ${eachMs} ms`, () => {
        const restartsAtMs = Array.from({ length: 10 }, (_, place) => 22_000 + place * eachMs)
        assertKept(runScenario({ ...DEFAULTS, callsPerS, restartsAtMs }))
      })
    }
  }

  // Guards against nodes that divide the slack by the few nodes that they know.
  for (const callsPerS of [64, 600]) {
    for (const unknownCountMs of [3_000, 18_000]) {
      test.it(`keep the bound at ${callsPerS} calls a second while restarted nodes do not know the fleet size for ${unknownCountMs} ms`, () => {
        assertKept(runScenario({ ...DEFAULTS, callsPerS, restartsAtMs: [24_000], unknownCountMs }))
      })
    }
  }

  // Guards against a bound that holds only while calls are spread evenly over the nodes.
  for (const movesEachMs of [1_000, 5_000, 10_000, 20_000]) {
    test.it(`keep the bound while all calls move to another node every ${movesEachMs} ms`, () => {
      assertKept(runScenario({ ...DEFAULTS, movesEachMs }))
    })
  }

  // Guards against a bound that holds for one fleet size only.
  for (const nodeCount of [1, 70, 300]) {
    test.it(`keep the bound at 2,000 calls a second on ${nodeCount} nodes`, () => {
      assertKept(runScenario({ ...DEFAULTS, nodeCount, callsPerS: 2_000 }))
    })
  }

  // Guards against a bound that holds only for the fleets, rates and restarts of the cases above.
  test.it('keep the bound for any fleet size, call rate, failure share and restarts', () => {
    fastCheck.assert(fastCheck.property(
      fastCheck.record({
        nodeCount: fastCheck.constantFrom(1, 2, 9, 10, 70),
        callsPerS: fastCheck.integer({ min: 0, max: 150 }),
        failedShare: fastCheck.constantFrom(0.1, 0.5, 1),
        restartsAtMs: fastCheck.array(fastCheck.integer({ min: FAILS_FROM_MS - 5_000, max: LENGTH_MS }), { maxLength: 6 }),
        unknownCountMs: fastCheck.constantFrom(0, 500, 3_000, 18_000),
        movesEachMs: fastCheck.constantFrom(0, 2_000, 10_000),
        seed: fastCheck.integer({ min: 1, max: 1_000 })
      }),
      scenario => { assertKept(runScenario(scenario)) }
    ), { seed: 14, numRuns: 60 })
  })
})
