import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as model from './testing/CrashModel.js'
import * as test from 'node:test'

const PROPERTY = { seed: 20_261, numRuns: 1_000 }
const HOSTS = 30

/** Number of targets lost when each entry node sends its calls one after the other. */
function lostInTurn (options: Partial<model.CrashModelOptions>, callsPerEntry: number): number {
  const entries = options.entries ?? 1
  const mesh = new model.CrashModel({ hosts: HOSTS, ...options, entries })
  for (let i = 0; i < entries * callsPerEntry; i++) {
    mesh.begin(Math.floor(i / callsPerEntry))
    mesh.stepAll()
  }
  return mesh.lostTargets
}

/** Begins a call at an entry node, or takes a step of a call; weighted so that most calls end. */
const action = fc.oneof(
  { weight: 1, arbitrary: fc.record({ begin: fc.nat({ max: 2 }) }) },
  { weight: 3, arbitrary: fc.record({ step: fc.nat({ max: 40 }) }) }
)

/** Checks the bound with calls in flight at the same time, whose steps run in any order. */
function checkBound (options: Partial<model.CrashModelOptions>, bound: (mostInFlight: number, entries: number) => number): void {
  const property = fc.property(fc.integer({ min: 1, max: 3 }), fc.array(action, { maxLength: 80, size: 'max' }), (entries, actions) => {
    const mesh = new model.CrashModel({ hosts: HOSTS, ...options, entries })
    for (const next of actions) {
      if ('begin' in next) mesh.begin(next.begin)
      else mesh.step(next.step)
    }
    mesh.stepAll()
    assert.ok(mesh.lostTargets <= bound(mesh.mostInFlight, entries), `${mesh.lostTargets} targets, ${mesh.mostInFlight} calls in flight`)
  })
  fc.assert(property, PROPERTY)
}

test.describe('Number of targets lost to one idempotent request when no crash record is gossiped', () => {
  test.it('is 2 for one entry node, which gets each record with the answer before it decides on a retry', () => {
    assert.equal(lostInTurn({}, 10), 2)
  })

  test.it('is 4 if the request always runs beside another one, because a call carries the records that its entry node knows', () => {
    assert.equal(lostInTurn({ concurrentFingerprints: ['popular'] }, 10), 4)
  })

  test.it('is at most 2 per entry node, so that a lost message costs no more', () => {
    const lost = lostInTurn({ entries: 4 }, 10)
    assert.ok(lost >= 2 && lost <= 8, `${lost}`)
  })

  test.it('is bounded by the attempts of each call when peers do not send the records', () => {
    assert.equal(lostInTurn({ omitsCrashRecords: true }, 1), 10)
  })

  test.it('is at most the calls in flight at once plus one per entry node, if targets run one call at a time', () => {
    checkBound({ hasSerialTargets: true }, (inFlight, entries) => inFlight + entries)
  })

  test.it('is at most twice that when the request also runs beside itself, because it is then not the only suspect on its target', () => {
    checkBound({}, (inFlight, entries) => 2 * (inFlight + entries))
  })
})
