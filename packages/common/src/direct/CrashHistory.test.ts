import * as assert from 'node:assert/strict'
import * as crashHistory from './CrashHistory.js'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'
import type * as types from './Types.js'

const HEAD_LENGTH = 3

function report (id: string, requests: readonly (string | types.CrashedRequest)[], ageMs = 0): types.CrashReport {
  return { id, service: 'booking', ageMs, requests: requests.map(request => typeof request === 'string' ? { fingerprint: request, isTrial: false, answered: 'never' } : request) }
}

function trial (fingerprint: string): types.CrashedRequest {
  return { fingerprint, isTrial: true, answered: 'never' }
}

function newHistory (): crashHistory.CrashHistory {
  return new crashHistory.CrashHistory(fingerprint => fingerprint.slice(0, HEAD_LENGTH))
}

test.describe('CrashHistory', () => {
  let history: crashHistory.CrashHistory

  test.beforeEach(() => { history = newHistory() })

  test.describe('a request that no target has ever answered', () => {
    test.it('is suspect after one crash, runs alone after the second, and is blocked after a third in a trial', () => {
      const standings = [history.standingOf('bad')]
      for (const crash of [report('1', ['bad', 'other']), report('2', ['bad', 'third']), report('3', [trial('bad')])]) {
        history.record(crash, 0)
        standings.push(history.standingOf('bad'))
      }
      assert.deepEqual(standings, ['free', 'suspect', 'trial', 'blocked'])
      assert.deepEqual([history.standingOf('other'), history.standingOf('third')], ['suspect', 'suspect'])
    })

    // Guards against a request that is on many targets when they are all killed at once, and is then refused.
    test.it('is not blocked by any number of crashes in which it did not run alone', () => {
      for (let id = 0; id < 20; id++) history.record(report(`${id}`, ['harmless']), 0)
      assert.equal(history.standingOf('harmless'), 'trial')
    })
  })

  test.describe('a request that a target answers', () => {
    test.it('is cleared of all crashes before', () => {
      for (const id of ['1', '2', '3']) history.record(report(id, ['harmless']), 0)
      assert.equal(history.recordAnswer('harmless', 10), true)
      assert.equal(history.standingOf('harmless'), 'free')
    })

    // Guards against a popular request that runs beside each crash.
    test.it('is never more than suspect if it is answered between crashes', () => {
      for (let id = 0; id < 50; id++) {
        history.recordAnswer('popular', id * 1_000)
        history.record(report(`${id}`, ['popular', 'bad']), id * 1_000 + 10)
        assert.equal(history.standingOf('popular'), 'suspect')
        history.recordAnswer('popular', id * 1_000 + 20)
        assert.equal(history.standingOf('popular'), 'free')
      }
    })

    test.it('is blocked after two crashes in trials if it begins to crash targets later', () => {
      history.recordAnswer('turned', 0)
      const standings: types.Standing[] = []
      for (const crash of [report('1', ['turned']), report('2', ['turned']), report('3', [trial('turned')]), report('4', [trial('turned')])]) {
        history.record(crash, 100)
        standings.push(history.standingOf('turned'))
      }
      assert.deepEqual(standings, ['suspect', 'trial', 'trial', 'blocked'])
    })

    test.it('is cleared of a crash that another node reports later', () => {
      history.recordAnswer('harmless', 5_000)
      history.record(report('1', ['harmless'], 4_000), 6_000)
      assert.equal(history.standingOf('harmless'), 'free')
    })
  })

  test.describe('what nodes tell each other', () => {
    test.it('is each crash once, and an answer only if it lifts a restriction', () => {
      history.record(report('1', ['a', 'b']), 0)
      assert.deepEqual(history.takeUntold(10).map(({ id, ageMs }) => [id, ageMs]), [['1', 10]])
      history.recordAnswer('a', 20)
      assert.deepEqual(history.takeUntold(30), [])
      history.record(report('2', ['b']), 40)
      history.takeUntold(50)
      history.recordAnswer('b', 60)
      assert.deepEqual(history.takeUntold(60).map(({ id, requests }) => [id, requests]), [
        ['1', [{ fingerprint: 'b', isTrial: false, answered: 'after' }]], ['2', [{ fingerprint: 'b', isTrial: false, answered: 'after' }]]
      ])
    })

    // Guards against nodes that go on to differ about a request because reports crossed each other.
    test.it('leads to the same standings in any order and any number of times', () => {
      const request = fastCheck.record({ fingerprint: fastCheck.constantFrom('aaa', 'bbb', 'ccc'), isTrial: fastCheck.boolean(), answered: fastCheck.constantFrom<types.AnswerTime>('never', 'before', 'after') })
      const reports = fastCheck.array(fastCheck.record({ id: fastCheck.constantFrom('1', '2', '3', '4', '5'), service: fastCheck.constant('s'), ageMs: fastCheck.constant(0), requests: fastCheck.array(request, { maxLength: 3 }) }), { maxLength: 12 })
      fastCheck.assert(fastCheck.property(reports, fastCheck.infiniteStream(fastCheck.nat()), (told, order) => {
        const shuffled = [...told, ...told.slice(0, 3)].map(one => ({ one, key: order.next().value as number })).sort((a, b) => a.key - b.key).map(({ one }) => one)
        const other = newHistory()
        for (const one of told) history.record(one, 0)
        for (const one of shuffled) other.record(one, 0)
        for (const fingerprint of ['aaa', 'bbb', 'ccc']) assert.equal(other.standingOf(fingerprint), history.standingOf(fingerprint))
        // A node that is told only what this one tells when it connects knows at least what restricts requests.
        const restarted = newHistory()
        for (const one of history.summary(0)) restarted.record(one, 0)
        for (const fingerprint of ['aaa', 'bbb', 'ccc']) assert.equal(restarted.standingOf(fingerprint), history.standingOf(fingerprint))
        history = newHistory()
      }))
    })
  })

  test.describe('time and memory', () => {
    test.it('forgets a crash after an hour, and then tries a blocked request once', () => {
      for (const [at, crash] of [report('1', ['bad']), report('2', ['bad']), report('3', [trial('bad')])].entries()) history.record(crash, at * 1_000)
      assert.equal(history.blockedForMs('bad', 10_000), crashHistory.KEPT_MS - 10_000)
      history.tick(crashHistory.KEPT_MS + 500)
      assert.equal(history.standingOf('bad'), 'trial')
      history.record(report('4', [trial('bad')]), crashHistory.KEPT_MS + 600)
      assert.equal(history.standingOf('bad'), 'blocked')
      history.tick(crashHistory.KEPT_MS * 3)
      assert.deepEqual([history.standingOf('bad'), history.isEmpty, history.hasHead('bad')], ['free', true, false])
    })

    // Guards against a fleet whose targets are killed in herds, and nodes that keep all that ran on them.
    test.it('keeps a bounded number of crashes, and those that restrict a request the longest', () => {
      for (const crash of [report('x', ['bad']), report('y', ['bad']), report('z', [trial('bad')])]) history.record(crash, 0)
      for (let id = 0; id < 2_000; id++) history.record(report(`${id}`, Array.from({ length: 100 }, (_, at) => `${id}-${at}`)), id)
      assert.equal(history.standingOf('bad'), 'blocked')
      assert.ok(history.summary(2_000).length <= 64)
      let kept = 0
      for (let id = 0; id < 2_000; id++) for (let at = 0; at < 100; at++) if (history.standingOf(`${id}-${at}`) !== 'free') kept += 1
      assert.ok(kept <= crashHistory.MAX_REPORTS * crashHistory.MAX_REQUESTS, `${kept} requests kept`)
    })
  })

  test.describe('a block that an operator lifts', () => {
    test.it('is lifted on nodes that are told of it, until the next crashes', () => {
      for (const crash of [report('1', ['bad']), report('2', ['bad']), report('3', [trial('bad')])]) history.record(crash, 0)
      history.takeUntold(0)
      assert.equal(history.lift('bad'), true)
      const other = newHistory()
      for (const crash of [report('1', ['bad']), report('2', ['bad']), report('3', [trial('bad')])]) other.record(crash, 0)
      for (const told of history.takeUntold(0)) other.record(told, 0)
      assert.deepEqual([history.standingOf('bad'), other.standingOf('bad'), history.lift('bad')], ['free', 'free', false])
    })
  })
})
