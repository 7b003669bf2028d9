import * as assert from 'node:assert/strict'
import * as mesh from './testing/MeshModel.js'
import type * as processes from './testing/ModelProcess.js'
import * as test from 'node:test'

const STOPPING = 2
const KEYS = 30

/** Node 2 hands over to node 0 and leaves; node 1 may keep the table of before. */
function stopped (off: readonly processes.Mechanism[], bystanderLags: boolean): mesh.MeshModel {
  const real = new mesh.MeshModel(3, new Set(off))
  real.advance(20_000)
  real.lag(1, bystanderLags)
  stop(real, STOPPING)
  return real
}

function stop (real: mesh.MeshModel, index: number): void {
  real.stop(index)
  for (let tick = 0; tick < 5; tick++) {
    real.advance(500)
    real.deliverAll()
    real.deliverAll()
  }
}

function runAll (real: mesh.MeshModel): void {
  for (let round = 0; round < 4; round++) {
    real.deliverAll()
    for (let step = 0; step < 3; step++) real.stepAll()
  }
}

/** Sends new keys to the successor, and then the same keys to the process that started again at the old address. */
function sendToBoth (real: mesh.MeshModel, skewMs: number): number {
  const before = real.ledger.answers.answered
  for (let i = 0; i < KEYS; i++) {
    real.sendNew(0, skewMs, false)
    runAll(real)
  }
  for (let i = 0; i < KEYS; i++) {
    real.send(i, STOPPING, 'f1', true)
    runAll(real)
  }
  return real.ledger.answers.answered - before
}

test.describe('A planned stop', () => {
  test.describe('handover', () => {
    test.it('gives every key to the successor, so that a stop makes no share of the keys unavailable', () => {
      const real = stopped([], false)
      assert.equal(sendToBoth(real, 500), KEYS)
    })

    test.it('passes on what the successor inherited, so that a rolling restart makes no key unavailable', () => {
      const real = stopped([], false)
      real.restart(STOPPING)
      real.advance(2_100)
      stop(real, 0)
      real.restart(0)
      real.advance(2_100)
      for (let i = 0; i < KEYS; i++) {
        real.sendNew(1, 200, false)
        runAll(real)
      }
      assert.deepEqual(real.ledger.answers, { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('keeps a new process at the old address from adopting the windows that the successor owns', () => {
      const restarted = (off: readonly processes.Mechanism[]): mesh.MeshModel => {
        const real = stopped(off, false)
        real.restart(STOPPING)
        real.advance(2_100)
        return real
      }
      assert.ok(sendToBoth(restarted([]), 500) >= KEYS)
      assert.throws(() => sendToBoth(restarted(['release-record']), 500), /ran twice/)
    })

    test.it('keeps a new process with an old table from adopting windows before it has read the log', () => {
      const restarted = (off: readonly processes.Mechanism[]): mesh.MeshModel => {
        const real = stopped(off, true)
        real.lag(STOPPING, true)
        real.restart(STOPPING)
        real.push(1, STOPPING)
        real.advance(2_100)
        return real
      }
      assert.ok(sendToBoth(restarted([]), 100) > 0)
      assert.throws(() => sendToBoth(restarted(['catch-up']), 100), /ran twice/)
    })
  })
})
