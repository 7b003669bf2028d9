import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as model from './testing/CrashModel.js'
import * as test from 'node:test'

const PROPERTY = { seed: 20_261, numRuns: 1_000 }
const HOSTS = 30

/** Targets lost to calls that each entry node sends one after the other. */
function lostInTurn (options: Partial<model.CrashModelOptions>, callsPerEntry: number): number {
  const entries = options.entries ?? 1
  const real = new model.CrashModel({ hosts: HOSTS, ...options, entries })
  for (let i = 0; i < entries * callsPerEntry; i++) {
    real.begin(Math.floor(i / callsPerEntry))
    real.stepAll()
  }
  return real.lostTargets
}

/** An entry node, or a step of the call with that number; weighted so that most calls end. */
const action = fc.oneof(
  { weight: 1, arbitrary: fc.record({ begin: fc.nat({ max: 2 }) }) },
  { weight: 3, arbitrary: fc.record({ step: fc.nat({ max: 40 }) }) }
)

/** Calls in flight at the same time, whose steps come in any order. */
function checkBound (options: Partial<model.CrashModelOptions>, bound: (mostInFlight: number, entries: number) => number): void {
  const property = fc.property(fc.integer({ min: 1, max: 3 }), fc.array(action, { maxLength: 80, size: 'max' }), (entries, actions) => {
    const real = new model.CrashModel({ hosts: HOSTS, ...options, entries })
    for (const one of actions) {
      if ('begin' in one) real.begin(one.begin)
      else real.step(one.step)
    }
    real.stepAll()
    assert.ok(real.lostTargets <= bound(real.mostInFlight, entries), `${real.lostTargets} targets, ${real.mostInFlight} calls in flight`)
  })
  fc.assert(property, PROPERTY)
}

test.describe('Targets lost to one idempotent request when no crash record is gossiped', () => {
  test.it('are 2 for calls of one entry node, which gets each record with the answer, before it decides on a retry', () => {
    assert.equal(lostInTurn({}, 10), 2)
  })

  test.it('are 4 if the request always runs beside another one, because a call tells its host what its entry node knows', () => {
    assert.equal(lostInTurn({ concurrentFingerprints: ['popular'] }, 10), 4)
  })

  test.it('are 2 for each entry node, so that a lost message costs no more', () => {
    const lost = lostInTurn({ entries: 4 }, 10)
    assert.ok(lost >= 2 && lost <= 8, `${lost}`)
  })

  test.it('are bounded by the attempts of each call with peers that do not send the records', () => {
    assert.equal(lostInTurn({ omitsCrashRecords: true }, 1), 10)
  })

  test.it('are at most one more than the calls that each entry node had in flight at once, if targets run one call at a time', () => {
    checkBound({ hasSerialTargets: true }, (inFlight, entries) => inFlight + entries)
  })

  test.it('are at most twice as many if the request also runs beside itself, which does not tell it from other suspects', () => {
    checkBound({}, (inFlight, entries) => 2 * (inFlight + entries))
  })
})
