import * as assert from 'node:assert/strict'
import * as crashGuards from './CrashGuard.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as requestIdentity from './RequestIdentity.js'
import type * as types from './Types.js'

const TARGET = { targetId: 't', startedAtMs: 1 }

function request (path: string, body?: Uint8Array): requestIdentity.IdentifiedRequest {
  return { method: 'GET', path, headers: ['Host', 'shop.example'], body }
}

function crash (id: string, requests: readonly requestIdentity.IdentifiedRequest[], isTrial = false): Parameters<crashGuards.CrashGuard['recordCrash']>[0] {
  return { id, target: TARGET, runs: requests.map(call => ({ call: call as types.CallMessage, isTrial })) }
}

test.describe('CrashGuard', () => {
  let nowMs: number
  let told: { readonly to: string, readonly crashes: readonly direct.CrashReport[] }[]
  let lines: string[]
  let ownCrashes: number
  let guard: crashGuards.CrashGuard

  function create (): crashGuards.CrashGuard {
    return new crashGuards.CrashGuard({
      dialect: { callerOf: () => 'tutor' },
      service: 'booking',
      nowMs: () => nowMs,
      timeOfDayMs: () => nowMs + 1_000_000,
      callLog: { log: (_level, event, { standing }) => { lines.push(`${event} ${String(standing)}`) } },
      links: () => ({
        broadcast: message => { told.push({ to: 'all', crashes: message.kind === 'nodes' ? message.crashes ?? [] : [] }) },
        sendToSome: message => { told.push({ to: 'some', crashes: message.kind === 'nodes' ? message.crashes ?? [] : [] }) }
      }),
      onOwnCrash: () => { ownCrashes += 1 }
    })
  }

  test.beforeEach(() => {
    nowMs = 0
    told = []
    lines = []
    ownCrashes = 0
    guard = create()
  })

  test.describe('a crash of the own target', () => {
    test.it('is told to all nodes with a link at once, and written to the store', () => {
      guard.recordCrash(crash('1', [request('/a'), request('/b')]))
      assert.deepEqual(told.map(({ to, crashes }) => [to, crashes.length, crashes[0]?.requests.length]), [['all', 1, 2], ['some', 1, 2]])
      assert.deepEqual([ownCrashes, guard.stored.length], [1, 1])
      guard.tick()
      assert.equal(told.length, 2)
    })

    test.it('is passed on by a node that is told of it, once', () => {
      guard.recordCrash(crash('1', [request('/a')]))
      const other = create()
      other.recordReports(told[0]?.crashes ?? [])
      other.recordReports(told[0]?.crashes ?? [])
      told = []
      other.tick()
      other.tick()
      assert.deepEqual(told.map(({ to, crashes }) => [to, crashes[0]?.id]), [['some', '1']])
      assert.equal(other.standingOf(request('/a')), 'suspect')
    })
  })

  test.describe('requests under suspicion', () => {
    test.it('are logged when they are restricted, blocked and cleared', () => {
      guard.recordCrash(crash('1', [request('/a')]))
      guard.recordCrash(crash('2', [request('/a')]))
      guard.recordCrash(crash('3', [request('/a')], true))
      guard.recordAnswer(request('/a'), 500)
      assert.equal(guard.standingOf(request('/a')), 'blocked')
      guard.recordAnswer(request('/a'), 404)
      assert.deepEqual(lines, ['request-restricted trial', 'request-restricted blocked', 'request-cleared undefined'])
      assert.deepEqual(guard.restricted, [])
    })

    // Guards against long bodies that are read again for each call.
    test.it('are told apart from others by the content of the body only if the rest is the same', () => {
      const long = (fill: number): requestIdentity.IdentifiedRequest => request('/a', new Uint8Array(100_000).fill(fill))
      guard.recordCrash(crash('1', [long(1)]))
      assert.deepEqual([guard.standingOf(long(1)), guard.standingOf(long(2)), guard.standingOf(request('/a'))], ['suspect', 'free', 'free'])
    })

    test.it('are lifted by an operator, and the other nodes are told', () => {
      for (const id of ['1', '2', '3']) guard.recordCrash(crash(id, [request('/a')], id === '3'))
      const [record] = guard.restricted
      told = []
      assert.equal(guard.lift(record?.fingerprint ?? ''), true)
      assert.deepEqual([guard.standingOf(request('/a')), told.length, guard.lift('unknown')], ['free', 2, false])
    })
  })

  test.describe('the crashes in the store', () => {
    test.it('are known to the next process, with their age', () => {
      for (const id of ['1', '2', '3']) guard.recordCrash(crash(id, [request('/a')], id === '3'))
      nowMs = 60_000
      const next = create()
      next.restore(guard.stored, 'booking', true)
      assert.deepEqual([next.standingOf(request('/a')), next.stored.length, next.restricted[0]?.ageMs], ['blocked', 3, 60_000])
    })

    test.it('are the last few', () => {
      for (let id = 0; id < 20; id++) guard.recordCrash(crash(`${id}`, [request(`/${id}`)]))
      assert.deepEqual(guard.stored.map(({ id }) => id), ['16', '17', '18', '19'])
    })
  })
})
