import * as assert from 'node:assert/strict'
import * as mesh from './testing/MeshModel.js'
import type * as processes from './testing/ModelProcess.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const STOPPING = 2
const SUCCESSOR = 0
const LAST = 1
const KEYS = 30

/** A mesh in which node 2 has handed over to node 0 and left. If `bystanderLags`, node 1 still has the earlier table. */
function stoppedMesh (off: readonly processes.Mechanism[], bystanderLags: boolean): mesh.MeshModel {
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

/** A mesh in which the acknowledgement of the handover is the only message in flight. */
function meshWithAckInFlight (): mesh.MeshModel {
  const real = new mesh.MeshModel(3, new Set())
  real.advance(20_000)
  real.stop(STOPPING)
  real.advance(500)
  real.deliverAll()
  real.advance(500)
  assert.ok(real.hasInherited(SUCCESSOR))
  return real
}

/** Advances in steps of 0.5 s and delivers every message and append. */
function finish (real: mesh.MeshModel, ticks: number): void {
  for (let tick = 0; tick < ticks; tick++) {
    real.deliverAll()
    real.deliverAll()
    real.advance(500)
  }
}

function answersOfNewKeys (real: mesh.MeshModel, skewMs = 200): Record<types.Outcome, number> {
  for (let i = 0; i < KEYS; i++) {
    real.sendNew(LAST, skewMs, false)
    runAll(real)
  }
  return real.ledger.answers
}

function runAll (real: mesh.MeshModel): void {
  for (let round = 0; round < 4; round++) {
    real.deliverAll()
    for (let step = 0; step < 3; step++) real.stepAll()
  }
}

/** Sends new keys to the successor, and then the same keys to the restarted process at the old address. */
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
    test.it('moves every key to the successor, so that no keys are unavailable after a stop', () => {
      const real = stoppedMesh([], false)
      assert.equal(sendToBoth(real, 500), KEYS)
    })

    test.it('includes the windows that the node has inherited, so that no key is unavailable after a rolling restart', () => {
      const real = stoppedMesh([], false)
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
        const real = stoppedMesh(off, false)
        real.restart(STOPPING)
        real.advance(2_100)
        return real
      }
      assert.ok(sendToBoth(restarted([]), 500) >= KEYS)
      assert.throws(() => sendToBoth(restarted(['release-record']), 500), /ran twice/)
    })

    test.it('keeps a new process with an outdated table from adopting windows before it has read the log', () => {
      const restarted = (off: readonly processes.Mechanism[]): mesh.MeshModel => {
        const real = stoppedMesh(off, true)
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

  test.describe('chain of successors', () => {
    test.it('keeps the keys of the first node when its release is confirmed only after the second has handed over', () => {
      const real = new mesh.MeshModel(3, new Set())
      real.advance(20_000)
      real.hasSlowLog = true
      real.stop(STOPPING)
      real.advance(500)
      real.deliverAll()
      real.deliverAll()
      real.advance(500)
      real.stop(SUCCESSOR)
      real.advance(500)
      // The handover and its acknowledgement overtake the release record of the first node.
      real.deliver(1, false)
      real.deliver(1, false)
      real.hasSlowLog = false
      finish(real, 8)
      assert.deepEqual([real.isRunning(STOPPING), real.isRunning(SUCCESSOR)], [false, false])
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('keeps the keys of a node that stops twice with different successors before its first windows have moved', () => {
      const real = new mesh.MeshModel(4, new Set())
      real.advance(20_000)
      stop(real, STOPPING)
      real.restart(STOPPING)
      real.advance(2_100)
      // The first successor drains, so that another one takes the keys of the second process.
      const first = [0, 1, 3].find(index => real.hasInherited(index)) ?? 0
      real.drain(first)
      stop(real, STOPPING)
      assert.ok([0, 1, 3].some(index => index !== first && real.hasInherited(index)))
      real.undrain(first)
      real.advance(500)
      // These keys were issued before the partitions of the first process moved.
      assert.deepEqual(answersOfNewKeys(real, -3_500), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })
  })

  test.describe('with faults', () => {
    test.it('repeats the handover when its acknowledgement is lost, so that no key is lost', () => {
      const real = meshWithAckInFlight()
      real.drop(0)
      finish(real, 8)
      assert.equal(real.isRunning(STOPPING), false)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('appends the release again when the answer of the log is lost', () => {
      const real = meshWithAckInFlight()
      real.hasSlowLog = true
      real.deliverAll()
      real.advance(500)
      real.drop(0)
      real.hasSlowLog = false
      finish(real, 8)
      assert.equal(real.isRunning(STOPPING), false)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('leaves after the drain time while the log is unavailable, and every new key is answered when the log is available again', () => {
      const real = meshWithAckInFlight()
      real.log.isUp = false
      finish(real, 16)
      assert.equal(real.isRunning(STOPPING), false)
      real.log.isUp = true
      real.restart(STOPPING)
      // Readers retry a failed read after at most 10 s.
      real.advance(12_000)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('does not release its windows to a successor that has died, so that the next process at the address adopts them', () => {
      const real = meshWithAckInFlight()
      real.deliverAll()
      real.crash(SUCCESSOR)
      finish(real, 4)
      assert.equal(real.isRunning(STOPPING), false)
      real.restart(STOPPING)
      real.restart(SUCCESSOR)
      real.advance(2_500)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('ends at once when the successor is replaced by a later process before it has acknowledged', () => {
      const real = meshWithAckInFlight()
      real.drop(0)
      real.restart(SUCCESSOR)
      finish(real, 8)
      assert.equal(real.isRunning(STOPPING), false)
      real.restart(STOPPING)
      real.advance(2_500)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('ends at once when the successor is replaced by a later process before the release is confirmed', () => {
      const real = meshWithAckInFlight()
      real.deliverAll()
      real.advance(500)
      real.restart(SUCCESSOR)
      finish(real, 8)
      assert.equal(real.isRunning(STOPPING), false)
    })
  })

  test.describe('at the same time on all nodes', () => {
    test.it('ends at once when each node chooses a successor before it learns that the successor is stopping too', () => {
      const real = new mesh.MeshModel(3, new Set())
      real.advance(20_000)
      for (const index of [0, 1, 2]) real.lag(index, true)
      for (const index of [0, 1, 2]) real.stop(index)
      finish(real, 8)
      assert.deepEqual([0, 1, 2].map(index => real.isRunning(index)), [false, false, false])
    })

    test.it('returns windows that were inherited just before, so that no keys are lost when all nodes start again', () => {
      const real = new mesh.MeshModel(2, new Set())
      real.advance(20_000)
      real.stop(LAST)
      real.advance(500)
      real.deliverAll()
      assert.ok(real.hasInherited(SUCCESSOR))
      // The first node does not learn that its successor is stopping, but gets its messages.
      real.lag(LAST, true)
      real.stop(SUCCESSOR)
      real.advance(500)
      finish(real, 8)
      assert.deepEqual([real.isRunning(SUCCESSOR), real.isRunning(LAST)], [false, false])
      for (const index of [SUCCESSOR, LAST]) real.restart(index)
      real.lag(LAST, false)
      real.advance(2_500)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })

    test.it('leaves the windows with their owners, so that no keys are lost when all nodes start again', () => {
      const real = new mesh.MeshModel(3, new Set())
      real.advance(20_000)
      for (const index of [0, 1, 2]) real.lag(index, true)
      for (const index of [0, 1, 2]) real.stop(index)
      finish(real, 8)
      for (const index of [0, 1, 2]) {
        real.restart(index)
        real.lag(index, false)
      }
      real.advance(2_500)
      assert.deepEqual(answersOfNewKeys(real), { answered: KEYS, 'not-run': 0, unknown: 0 })
    })
  })
})
