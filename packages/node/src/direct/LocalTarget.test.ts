import * as assert from 'node:assert/strict'
import * as localTarget from './LocalTarget.js'
import * as nestedCall from './NestedCalls.js'
import * as noCrashes from './testing/NoCrashes.js'
import * as test from 'node:test'
import type * as callLog from './CallLog.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const SETTINGS = { service: 'till', targetAddress: '127.0.0.1:1', peerAddress: 'n' } as unknown as types.DirectSettings
const READY: direct.Announcement = { targetId: 't1', service: 'till', address: '127.0.0.1:1', slots: 4, state: 'ready', sequence: 1, startedAtMs: 5 }
const NO_NOTICE: direct.TargetNotice = { maxCallsPerS: Infinity, isLeaving: false }

function limit (maxCallsPerS: number | undefined): direct.TargetNotice {
  return { maxCallsPerS, isLeaving: false }
}

function known (maxCallsPerS: number, change: Partial<direct.KnownNotice> = {}): direct.KnownNotice {
  return { targetId: 't1', startedAtMs: 5, maxCallsPerS, isLeaving: false, ...change }
}

test.describe('LocalTarget', () => {
  let target: localTarget.LocalTarget

  function limitInForce (): number | undefined {
    return target.host.load.limit?.maxCallsPerS
  }

  test.beforeEach(() => {
    target = new localTarget.LocalTarget({
      settings: SETTINGS,
      dialect: {} as unknown as services.ICallDialect,
      nowMs: () => 0,
      uncountedMs: () => 0,
      endsAtMs: () => Infinity,
      logger: { isEnabled: () => true, log: () => {} },
      crashes: noCrashes.NO_CRASHES,
      nestedCalls: new nestedCall.NestedCalls({ mayNestRetries: () => true }, { customerOf: () => undefined }, () => 0),
      customerWeight: () => 1,
      callLog: { log: () => {} } as unknown as callLog.CallLog,
      onChange: () => {}
    })
  })

  test.afterEach(() => { target.dispose() })

  test.describe('a limit in an answer of the target', () => {
    test.beforeEach(() => { target.watch.recordAnnouncement(READY) })

    test.it('holds until an answer advertises another one or none', () => {
      const limits = [limit(9.8), limit(4), limit(undefined), NO_NOTICE].map(notice => {
        target.onTargetNotice('t1', notice)
        return limitInForce()
      })
      assert.deepEqual(limits, [9.8, 4, 4, undefined])
    })

    test.it('is ignored if another target has given the answer', () => {
      target.onTargetNotice('t0', limit(9.8))
      assert.equal(limitInForce(), undefined)
    })

    test.it('does not hold for the next start of the target, also under the same id', () => {
      target.onTargetNotice('t1', limit(9.8))
      target.watch.recordAnnouncement({ ...READY, startedAtMs: 6 })
      assert.equal(limitInForce(), undefined)
    })
  })

  // Guards against a host that forgets a limit or a leaving when it restarts, while the target and the entry nodes do not.
  test.describe('what other nodes know of the target', () => {
    test.it('is applied when the target becomes known: the lowest limit', () => {
      target.recordPeerNotice('a', known(20))
      target.recordPeerNotice('b', known(9.8))
      target.recordPeerNotice('c', known(3, { targetId: 't0' }))
      assert.equal(limitInForce(), undefined)
      target.watch.recordAnnouncement(READY)
      assert.equal(limitInForce(), 9.8)
    })

    test.it('is out of date once this process has an answer of the target', () => {
      target.watch.recordAnnouncement(READY)
      target.recordPeerNotice('a', known(9.8))
      target.onTargetNotice('t1', NO_NOTICE)
      target.recordPeerNotice('b', known(9.8))
      assert.equal(limitInForce(), undefined)
    })

    test.it('makes it leave, whatever the target announces', () => {
      target.recordPeerNotice('a', known(Infinity, { isLeaving: true }))
      target.watch.recordAnnouncement(READY)
      target.watch.recordAnnouncement({ ...READY, sequence: 2 })
      assert.equal(target.watch.state, 'leaving')
    })

    test.it('does not hold for another start of the target under the same id', () => {
      target.watch.restore({ targetId: 't1', startedAtMs: 0, slots: 4, isLeaving: false })
      target.recordPeerNotice('a', known(Infinity, { isLeaving: true }))
      target.watch.recordAnnouncement({ ...READY, startedAtMs: 6 })
      assert.equal(target.watch.state, 'ready')
    })
  })

  test.describe('an answer that signals that the target is leaving', () => {
    test.it('ends its use until its next start, also if later answers do not say so', () => {
      target.watch.recordAnnouncement(READY)
      target.onTargetNotice('t1', { ...NO_NOTICE, isLeaving: true })
      target.onTargetNotice('t1', NO_NOTICE)
      target.watch.recordAnnouncement({ ...READY, sequence: 2 })
      assert.deepEqual([target.watch.state, target.watch.knownTarget?.isLeaving], ['leaving', true])
      target.watch.recordAnnouncement({ ...READY, startedAtMs: 6 })
      assert.equal(target.watch.state, 'ready')
    })
  })
})
