import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as ejection from './Ejection.js'

const nodes = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']

function failTimes (subject: ejection.Ejection, nodeId: string, times: number, nowMs: number): void {
  for (let i = 0; i < times; i++) subject.recordFailure(nodeId, nowMs)
}

test.describe('Ejection', () => {
  test.describe('recordFailure', () => {
    test.it('ejects a target after 5 consecutive failures and not earlier, so that single errors cost no capacity', () => {
      const subject = new ejection.Ejection()
      subject.setCandidates('till', nodes, 0)
      failTimes(subject, 'a', 4, 0)
      subject.recordSuccess('a', 0)
      failTimes(subject, 'a', 4, 0)
      assert.equal(subject.isEjected('a', 0), false)
      failTimes(subject, 'a', 1, 0)
      assert.equal(subject.isEjected('a', 999), true)
      assert.equal(subject.isEjected('a', 1_000), false)
    })

    test.it('doubles the ejection time up to 30 s, so that a target that keeps failing is tried rarely but never abandoned', () => {
      const subject = new ejection.Ejection()
      subject.setCandidates('till', nodes, 0)
      let nowMs = 0
      for (const expectedMs of [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]) {
        failTimes(subject, 'a', 5, nowMs)
        assert.equal(subject.isEjected('a', nowMs + expectedMs - 1), true)
        nowMs += expectedMs
        assert.equal(subject.isEjected('a', nowMs), false)
        subject.tick(nowMs)
      }
    })
  })

  test.describe('end of an ejection', () => {
    test.it('is followed by another one after 1 failure instead of 5, so that a target that keeps failing costs one call', () => {
      const subject = new ejection.Ejection()
      subject.setCandidates('till', nodes, 0)
      failTimes(subject, 'a', 5, 0)
      failTimes(subject, 'a', 1, 1_000)
      assert.equal(subject.isEjected('a', 1_001), true)
      subject.recordSuccess('a', 3_000)
      failTimes(subject, 'a', 4, 3_000)
      assert.equal(subject.isEjected('a', 3_001), false)
    })
  })

  test.describe('cap', () => {
    test.it('never ejects more than a third of the candidates when any of them fail and their number changes', () => {
      const step = fastCheck.record({ node: fastCheck.nat(nodes.length - 1), size: fastCheck.nat(nodes.length), afterMs: fastCheck.nat(700), resize: fastCheck.nat(9) })
      fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 150 }), steps => {
        const subject = new ejection.Ejection()
        let candidates = nodes
        let nowMs = 0
        subject.setCandidates('till', candidates, nowMs)
        for (const { node, size, afterMs, resize } of steps) {
          nowMs += afterMs
          if (resize === 0) {
            candidates = nodes.slice(0, size)
            subject.setCandidates('till', candidates, nowMs)
          }
          failTimes(subject, nodes[node] ?? 'a', 5, nowMs)
          const ejected = candidates.filter(nodeId => subject.isEjected(nodeId, nowMs)).length
          assert.ok(ejected <= Math.floor(candidates.length / 3))
        }
      }), { seed: 11, numRuns: 200 })
    })
  })
})
