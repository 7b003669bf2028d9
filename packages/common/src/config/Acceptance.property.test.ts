import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as acceptance from './Acceptance.js'
import * as configValidator from './ConfigValidator.js'
import * as ruleSets from './RuleSets.js'
import * as histories from './TestHistory.js'
import type * as types from './Types.js'

const UNKNOWN_RULES_VERSION = 99
const SETTINGS = { seed: 20261203, numRuns: 400 }
const validator = new configValidator.ConfigValidator()

function newNode (): acceptance.Acceptance {
  return new acceptance.Acceptance(validator)
}

function versionAndDigest (state: types.AcceptedState | undefined): string {
  return state === undefined ? 'none' : `${state.version} ${state.digest}`
}

/** Every version that was in force at any time, to compare a state whose offset is not known. */
function versionsInForce (history: histories.History): Set<string> {
  return new Set(history.states.map(versionAndDigest))
}

/** The record as software that does not know the rule set of patches treats it. */
function withUnknownRules (data: unknown): unknown {
  const isDelta = typeof data === 'object' && data !== null && 'rulesVersion' in data && data.rulesVersion === ruleSets.DELTA_RULES_VERSION
  return isDelta ? { ...data, rulesVersion: UNKNOWN_RULES_VERSION } : data
}

test.describe('Acceptance over random histories', () => {
  test.it('has the state of the model after every record, including invalid, conflicting and repeated ones', () => {
    fc.assert(fc.property(histories.history, history => {
      const node = newNode()
      history.records.forEach((data, offset) => {
        const before = versionAndDigest(node.state)
        const verdict = node.apply({ offset, data })
        assert.equal(versionAndDigest(node.state), versionAndDigest(history.states[offset]))
        assert.equal(verdict.kind === 'accepted', before !== versionAndDigest(node.state))
      })
    }), SETTINGS)
  })

  test.it('gives the same verdicts and state on every node for the same prefix of the log', () => {
    fc.assert(fc.property(histories.history, history => {
      const [one, other] = [newNode(), newNode()]
      history.records.forEach((data, offset) => {
        assert.deepEqual(one.apply({ offset, data }), other.apply({ offset, data: structuredClone(data) }))
        assert.deepEqual(one.state, other.state)
      })
    }), SETTINGS)
  })

  test.it('agrees with a reader of the whole log when it starts at any offset, because earlier records may have expired', () => {
    let judged = 0
    fc.assert(fc.property(histories.history, fc.nat({ max: 20 }), (history, start) => {
      const node = newNode()
      history.records.slice(start).forEach((data, index) => {
        node.apply({ offset: start + index, data })
        if (node.state === undefined) return
        judged++
        assert.equal(versionAndDigest(node.state), versionAndDigest(history.states[start + index]))
      })
    }), SETTINGS)
    assert.ok(judged > 1_000, `only ${judged} records were judged`)
  })

  test.it('holds only versions that were in force, and never a lower one, with gaps, repeated records and peer states', () => {
    const event = fc.record({ skip: fc.nat({ max: 3 }), peerOffset: fc.nat({ max: 60 }), isPlaced: fc.boolean(), repeat: fc.boolean() })
    let starts = 0
    fc.assert(fc.property(histories.history, fc.array(event, { minLength: 5, maxLength: 40 }), (history, events) => {
      const node = newNode()
      const known = versionsInForce(history)
      for (const { skip, peerOffset, isPlaced, repeat } of events) {
        const before = node.state?.version ?? 0
        const offset = repeat ? Math.max(0, node.nextOffset - 1) : node.nextOffset + Math.max(0, skip - 1)
        if (offset < history.records.length) node.apply({ offset, data: history.records[offset] })
        const peer = history.states[peerOffset]
        if (peer !== undefined) node.adopt(isPlaced ? peer : { ...peer, asOfOffset: -1 })
        assert.ok((node.state?.version ?? 0) >= before)
        assert.ok(node.state === undefined || known.has(versionAndDigest(node.state)))
        const snapshot = node.makeSnapshot()
        if (snapshot === undefined) continue
        starts++
        assert.equal(`${snapshot.version} ${snapshot.digest}`, versionAndDigest(history.states[node.nextOffset - 1]))
      }
    }), SETTINGS)
    assert.ok(starts > 1_000, `the state was known from the log only ${starts} times`)
  })

  test.it('agrees with software that does not know patches when a fleet runs two releases', () => {
    let states = 0
    let blocked = 0
    fc.assert(fc.property(histories.history, history => {
      const older = newNode()
      const known = versionsInForce(history)
      history.records.forEach((data, offset) => {
        older.apply({ offset, data: withUnknownRules(data) })
        if (older.upgradeReason !== undefined) blocked++
        assert.ok(older.state === undefined || known.has(versionAndDigest(older.state)))
        const snapshot = older.makeSnapshot()
        if (snapshot === undefined) return
        states++
        assert.equal(`${snapshot.version} ${snapshot.digest}`, versionAndDigest(history.states[offset]))
      })
    }), { ...SETTINGS, numRuns: 1_000 })
    assert.ok(states > 1_000 && blocked > 1_000, `the state was known ${states} times, and judging had stopped ${blocked} times`)
  })

  test.it('does not throw for arbitrary data, offsets and peer states', () => {
    fc.assert(fc.property(fc.array(fc.record({ offset: fc.anything(), data: fc.anything(), peer: fc.anything() })), records => {
      const node = newNode()
      for (const record of records) {
        node.apply(record as types.LogRecord)
        node.apply({ offset: node.nextOffset, data: record.data })
        assert.equal(node.adopt(record.peer as types.AcceptedState), false)
      }
      assert.equal(node.state, undefined)
    }), SETTINGS)
  })
})
