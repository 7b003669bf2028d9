import * as assert from 'node:assert/strict'
import * as cli from '../Cli.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as test from 'node:test'
import * as testEnvironment from '../TestEnvironment.js'

const first = documents.testProposal(1, undefined, documents.testDocument(1))
const state1 = documents.testState(1, first.document, 0)
const second = documents.testProposal(2, state1, documents.testDocument(2))
const rival = documents.testProposal(3, state1, documents.testDocument(3))

const PROPOSED_AT_MS = second.proposedAtMs

interface Entry {
  readonly verdict: string
  readonly changes?: readonly unknown[]
  readonly enforced?: ReadonlyArray<{ readonly zone: string, readonly nodes: number, readonly unconfirmed: string | null }>
}

/** A node that knows four members of one zone and one of another, all with version 2. */
const NODES = new testEnvironment.FakeNodes([
  ...[1, 2, 3, 4].map(number => testEnvironment.fakeRow(`vake-${number}`, 'vake', 2, 7070 + number)),
  testEnvironment.fakeRow('didube-1', 'didube', 2, 7080)
])

async function history (log: testEnvironment.FakeLog, ...args: string[]): Promise<{ exitCode: number, stdout: string, stderr: string }> {
  const environment = new testEnvironment.TestEnvironment(log, {}, NODES)
  const exitCode = await new cli.Cli(environment).run(['history', ...args])
  return { exitCode, stdout: environment.stdout, stderr: environment.stderr }
}

test.describe('HistoryCommand', () => {
  test.it('shows the verdict and the changes of each proposal, including those that lost a race', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival, second)
    const { stdout } = await history(log, '--output', 'json')
    const { entries } = JSON.parse(stdout) as { entries: Entry[] }
    assert.deepEqual(entries.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict', 'duplicate'])
    assert.deepEqual(entries.slice(1).map(entry => entry.changes?.length), [1, 1, 1])
  })

  test.it('shows the changes of a patch, so that operators can read what a short record changed', async () => {
    const log = new testEnvironment.FakeLog()
    const delta = documents.testDelta(4, state1, documents.testDocument(2))
    log.streams.config.push(first, delta, { ...delta, proposalId: rival.proposalId, patch: [{ op: 'remove', path: '/services/7' }] })
    const { stdout } = await history(log, '--output', 'json')
    const { entries } = JSON.parse(stdout) as { entries: Entry[] }
    assert.deepEqual(entries.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict'])
    assert.deepEqual(entries.slice(1).map(entry => entry.changes?.length), [1, undefined])
  })

  test.it('lists valid proposals among forged records, so that nobody can hide the history or control the terminal', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push('x', { kind: 'proposal' }, { ...first, author: '\u001b[2J' }, { ...first, document: { services: [null] } }, first)
    const { stdout, exitCode } = await history(log)
    assert.equal(exitCode, 0)
    assert.equal(stdout.includes('\u001b'), false)
    assert.match(stdout, /accepted version 1/)
  })

  test.it('notes that the oldest records were dropped, and judges proposals only after a snapshot', async () => {
    const log = new testEnvironment.FakeLog()
    const snapshot = { kind: 'snapshot', version: 1, digest: state1.digest, rulesVersion: 1, asOfOffset: 0, document: state1.document }
    log.streams.config.push(first, second)
    log.firstOffset = 1
    const before = await history(log)
    assert.match(before.stderr, /no snapshot replaces them/)
    assert.match(before.stdout, /not-judged version 2/)
    log.streams.config.push(snapshot, rival)
    const after = await history(log, '--output', 'json')
    assert.deepEqual((JSON.parse(after.stdout) as { entries: Entry[] }).entries.map(entry => entry.verdict), ['accepted', 'conflict'])
  })

  test.it('reports the outcome of one proposal by its exit code, so that scripts can act on it', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival)
    const codes = []
    for (const { proposalId } of [second, rival, { proposalId: 'none' }]) codes.push((await history(log, '--proposal', proposalId)).exitCode)
    assert.deepEqual(codes, [0, 2, 3])
  })

  test.it('shows where and when a version was enforced, so that operators see a zone that lags', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival)
    const summary = { kind: 'enforced', zone: 'vake', version: 2, count: 3, firstAtMs: PROPOSED_AT_MS + 2000, lastAtMs: PROPOSED_AT_MS + 3000 }
    log.streams.audit.push(
      { kind: 'accepted', proposalId: second.proposalId, version: 2, offset: 1 },
      summary,
      // The second reader of the zone.
      { ...summary, count: 4, firstAtMs: PROPOSED_AT_MS + 1000, lastAtMs: PROPOSED_AT_MS + 2500 },
      { ...summary, zone: 'didube', count: 1 },
      { ...summary, zone: 7 },
      { ...summary, firstAtMs: 'x' }
    )
    const { stdout } = await history(log, '--output', 'json')
    const vake = { zone: 'vake', nodes: 4, firstAt: '2023-11-14T22:13:21.000Z', lastAt: '2023-11-14T22:13:23.000Z', unconfirmed: null }
    const didube = { zone: 'didube', nodes: 1, firstAt: '2023-11-14T22:13:22.000Z', lastAt: '2023-11-14T22:13:23.000Z', unconfirmed: null }
    assert.deepEqual((JSON.parse(stdout) as { entries: Entry[] }).entries.map(entry => entry.enforced), [[], [didube, vake], []])
    assert.match((await history(log)).stdout, /enforced in didube by 1 node, first 2023-11-14T22:13:22.000Z, last 2023-11-14T22:13:23.000Z$/m)
    const one = JSON.parse((await history(log, '--proposal', second.proposalId, '--output', 'json')).stdout) as { audit: Array<{ kind: string }>, unconfirmed: unknown[] }
    assert.deepEqual(one.audit.map(entry => entry.kind), ['accepted', 'enforced', 'enforced', 'enforced'])
    assert.deepEqual(one.unconfirmed, [])
  })

  test.it('falls back to the audit stream, so that an expired proposal keeps its verdict', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second)
    log.firstOffset = 1
    log.streams.audit.push(null, null, { kind: 'accepted', proposalId: 'p1', offset: 0 }, { kind: 'proposed', proposalId: 'p2' }, { kind: 'rejected', proposalId: 'p2', offset: 0 })
    assert.deepEqual([(await history(log, '--proposal', 'p1')).exitCode, (await history(log, '--proposal', 'p2')).exitCode], [0, 2])
  })

  test.describe('forged audit records', () => {
    const summary = { kind: 'enforced', zone: 'vake', version: 2, count: 3, firstAtMs: PROPOSED_AT_MS + 2000, lastAtMs: PROPOSED_AT_MS + 3000 }

    function logWith (...audit: unknown[]): testEnvironment.FakeLog {
      const log = new testEnvironment.FakeLog()
      log.streams.config.push(first, second, rival)
      log.streams.audit.push(...audit)
      return log
    }

    const FORGED: ReadonlyArray<readonly [record: Readonly<Record<string, unknown>>, problem: RegExp]> = [
      [{ ...summary, zone: 'nowhere' }, /know 0 members of the zone/],
      [{ ...summary, count: 5 }, /know 4 members of the zone/],
      [{ ...summary, count: 0 }, /counts no node/],
      [{ ...summary, firstAtMs: PROPOSED_AT_MS - 60_000 }, /before that of the proposal/],
      [{ ...summary, lastAtMs: PROPOSED_AT_MS }, /last time is before its first/],
      [{ ...summary, lastAtMs: Date.UTC(2027, 0, 1) }, /in the future/]
    ]

    test.it('are marked as unconfirmed and change no confirmed line, so that nobody can make a version look enforced', async () => {
      for (const [record, problem] of FORGED) {
        const log = logWith(summary, record)
        const { entries } = JSON.parse((await history(log, '--output', 'json')).stdout) as { entries: Entry[] }
        const enforced = entries[1]?.enforced ?? []
        assert.deepEqual(enforced.filter(row => row.unconfirmed === null).map(({ zone, nodes }) => [zone, nodes]), [['vake', 3]])
        const marked = enforced.filter(row => row.unconfirmed !== null)
        assert.equal(marked.length, 1)
        assert.match(marked[0]?.unconfirmed ?? '', problem)
        assert.match((await history(log)).stdout, /enforced in .* \(unconfirmed: /)
        assert.match((await history(log, '--proposal', second.proposalId)).stdout, /audit \(unconfirmed: /)
      }
    })

    test.it('leave all lines unconfirmed while no node answers, because the log alone proves nothing', async () => {
      const environment = new testEnvironment.TestEnvironment(logWith(summary))
      await new cli.Cli(environment).run(['history'])
      assert.match(environment.stdout, /enforced in vake by 3 nodes.*\(unconfirmed: no node answered\)/)
      assert.match(environment.stderr, /Name a running node with --admin/)
    })

    test.it('do not make a proposal accepted that the log never held', async () => {
      for (const offset of [undefined, -1, 2, 99]) {
        const log = logWith({ kind: 'accepted', proposalId: 'forged', version: 2, offset })
        const result = await history(log, '--proposal', 'forged')
        assert.equal(result.exitCode, 3, String(offset))
        assert.match(result.stdout, /^unknown .*\naudit \(unconfirmed: the config stream holds no such proposal\)/)
      }
    })

    test.it('are marked as unconfirmed if the config stream contradicts them', async () => {
      const log = logWith(
        { kind: 'accepted', proposalId: rival.proposalId, version: 2, offset: 2 },
        { kind: 'rejected', proposalId: rival.proposalId, version: 2, offset: 2 },
        { kind: 'accepted', proposalId: rival.proposalId, version: 2, offset: 1 },
        { kind: 'proposed', proposalId: rival.proposalId, version: 2, author: 'somebody' }
      )
      const { outcome, unconfirmed } = JSON.parse((await history(log, '--proposal', rival.proposalId, '--output', 'json')).stdout) as { outcome: string, unconfirmed: Array<{ index: number }> }
      assert.equal(outcome, 'rejected')
      assert.deepEqual(unconfirmed.map(({ index }) => index), [0, 2, 3])
    })
  })
})
