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

function place (state: types.AcceptedState | undefined): string {
  return state === undefined ? 'none' : `${state.version} ${state.digest}`
}

/** Every version that was ever in force, so that a state can be compared without its place in time. */
function truth (history: histories.History): Set<string> {
  return new Set(history.states.map(place))
}

/** A record as software sees it that does not know the rule set of patches. */
function withUnknownRules (data: unknown): unknown {
  const isDelta = typeof data === 'object' && data !== null && 'rulesVersion' in data && data.rulesVersion === ruleSets.DELTA_RULES_VERSION
  return isDelta ? { ...data, rulesVersion: UNKNOWN_RULES_VERSION } : data
}

test.describe('Acceptance over random histories', () => {
  test.it('matches the model record by record, so that no bad, raced or repeated record changes the state', () => {
    fc.assert(fc.property(histories.history, history => {
      const node = newNode()
      history.records.forEach((data, offset) => {
        const before = place(node.state)
        const verdict = node.apply({ offset, data })
        assert.equal(place(node.state), place(history.states[offset]))
        assert.equal(verdict.kind === 'accepted', before !== place(node.state))
      })
    }), SETTINGS)
  })

  test.it('gives the same verdicts and state for the same prefix, so that nodes cannot disagree', () => {
    fc.assert(fc.property(histories.history, history => {
      const [one, other] = [newNode(), newNode()]
      history.records.forEach((data, offset) => {
        assert.deepEqual(one.apply({ offset, data }), other.apply({ offset, data: structuredClone(data) }))
        assert.deepEqual(one.state, other.state)
      })
    }), SETTINGS)
  })

  test.it('agrees with the whole log wherever it starts, so that expired records cannot fork the configuration', () => {
    let judged = 0
    fc.assert(fc.property(histories.history, fc.nat({ max: 20 }), (history, start) => {
      const node = newNode()
      history.records.slice(start).forEach((data, index) => {
        node.apply({ offset: start + index, data })
        if (node.state === undefined) return
        judged++
        assert.equal(place(node.state), place(history.states[start + index]))
      })
    }), SETTINGS)
    assert.ok(judged > 1_000, `only ${judged} records were judged`)
  })

  test.it('holds only versions that were in force and never goes down, with gaps, repeats and states of peers', () => {
    const event = fc.record({ skip: fc.nat({ max: 3 }), peerOffset: fc.nat({ max: 60 }), isPlaced: fc.boolean(), repeat: fc.boolean() })
    let starts = 0
    fc.assert(fc.property(histories.history, fc.array(event, { minLength: 5, maxLength: 40 }), (history, events) => {
      const node = newNode()
      const known = truth(history)
      for (const { skip, peerOffset, isPlaced, repeat } of events) {
        const before = node.state?.version ?? 0
        const offset = repeat ? Math.max(0, node.nextOffset - 1) : node.nextOffset + Math.max(0, skip - 1)
        if (offset < history.records.length) node.apply({ offset, data: history.records[offset] })
        const peer = history.states[peerOffset]
        if (peer !== undefined) node.adopt(isPlaced ? peer : { ...peer, asOfOffset: -1 })
        assert.ok((node.state?.version ?? 0) >= before)
        assert.ok(node.state === undefined || known.has(place(node.state)))
        const snapshot = node.snapshot()
        if (snapshot === undefined) continue
        starts++
        assert.equal(`${snapshot.version} ${snapshot.digest}`, place(history.states[node.nextOffset - 1]))
      }
    }), SETTINGS)
    assert.ok(starts > 1_000, `the state was known from the log only ${starts} times`)
  })

  test.it('agrees with software that does not know patches, so that a fleet with two releases cannot fork the configuration', () => {
    let states = 0
    let blocked = 0
    fc.assert(fc.property(histories.history, history => {
      const older = newNode()
      const known = truth(history)
      history.records.forEach((data, offset) => {
        older.apply({ offset, data: withUnknownRules(data) })
        if (older.upgradeReason !== undefined) blocked++
        assert.ok(older.state === undefined || known.has(place(older.state)))
        const snapshot = older.snapshot()
        if (snapshot === undefined) return
        states++
        assert.equal(`${snapshot.version} ${snapshot.digest}`, place(history.states[offset]))
      })
    }), { ...SETTINGS, numRuns: 1_000 })
    assert.ok(states > 1_000 && blocked > 1_000, `the state was known ${states} times, and judging had stopped ${blocked} times`)
  })

  test.it('survives any JSON as data, as offset and as state of a peer, so that a broken sender cannot stop a node', () => {
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
