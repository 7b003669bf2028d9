import * as assert from 'node:assert/strict'
import * as cli from '../Cli.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as test from 'node:test'
import * as testEnvironment from '../TestEnvironment.js'

const first = documents.testProposal(1, undefined, documents.testDocument(1))
const state1 = documents.testState(1, first.document, 0)
const second = documents.testProposal(2, state1, documents.testDocument(2))
const rival = documents.testProposal(3, state1, documents.testDocument(3))

interface Entry {
  readonly verdict: string
  readonly changes?: readonly unknown[]
  readonly enforced?: readonly unknown[]
}

async function history (log: testEnvironment.FakeLog, ...args: string[]): Promise<{ exitCode: number, stdout: string, stderr: string }> {
  const environment = new testEnvironment.TestEnvironment(log)
  const exitCode = await new cli.Cli(environment).run(['history', ...args])
  return { exitCode, stdout: environment.stdout, stderr: environment.stderr }
}

test.describe('HistoryCommand', () => {
  test.it('shows verdict and difference of each proposal, so that the loser of a race sees what it wanted', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival, second)
    const { stdout } = await history(log, '--output', 'json')
    const { entries } = JSON.parse(stdout) as { entries: Entry[] }
    assert.deepEqual(entries.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict', 'duplicate'])
    assert.deepEqual(entries.slice(1).map(entry => entry.changes?.length), [1, 1, 1])
  })

  test.it('shows the difference of a patch, so that operators can read what a short record did', async () => {
    const log = new testEnvironment.FakeLog()
    const delta = documents.testDelta(4, state1, documents.testDocument(2))
    log.streams.config.push(first, delta, { ...delta, proposalId: rival.proposalId, patch: [{ op: 'remove', path: '/services/7' }] })
    const { stdout } = await history(log, '--output', 'json')
    const { entries } = JSON.parse(stdout) as { entries: Entry[] }
    assert.deepEqual(entries.map(entry => entry.verdict), ['accepted', 'accepted', 'conflict'])
    assert.deepEqual(entries.slice(1).map(entry => entry.changes?.length), [1, undefined])
  })

  test.it('survives forged records, so that nobody can hide the history or control the terminal', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push('x', { kind: 'proposal' }, { ...first, author: '\u001b[2J' }, { ...first, document: { services: [null] } }, first)
    const { stdout, exitCode } = await history(log)
    assert.equal(exitCode, 0)
    assert.equal(stdout.includes('\u001b'), false)
    assert.match(stdout, /accepted version 1/)
  })

  test.it('says that the beginning is gone, and judges after a snapshot, so that an old log is not misread', async () => {
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

  test.it('tells the outcome of one proposal by its exit code, so that scripts can act on it', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival)
    const codes = []
    for (const { proposalId } of [second, rival, { proposalId: 'none' }]) codes.push((await history(log, '--proposal', proposalId)).exitCode)
    assert.deepEqual(codes, [0, 2, 3])
  })

  test.it('names where and when a version was enforced, so that operators see a zone that lags', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.config.push(first, second, rival)
    const summary = { kind: 'enforced', zone: 'vake', version: 2, count: 3, firstAtMs: 2000, lastAtMs: 3000 }
    log.streams.audit.push(
      { kind: 'accepted', proposalId: second.proposalId, version: 2 },
      summary,
      // The second reader of the zone.
      { ...summary, count: 4, firstAtMs: 1000, lastAtMs: 2500 },
      { ...summary, zone: 'didube', count: 1 },
      { ...summary, zone: 7 },
      { ...summary, firstAtMs: 'x' }
    )
    const { stdout } = await history(log, '--output', 'json')
    const vake = { zone: 'vake', nodes: 4, firstAt: '1970-01-01T00:00:01.000Z', lastAt: '1970-01-01T00:00:03.000Z' }
    const didube = { zone: 'didube', nodes: 1, firstAt: '1970-01-01T00:00:02.000Z', lastAt: '1970-01-01T00:00:03.000Z' }
    assert.deepEqual((JSON.parse(stdout) as { entries: Entry[] }).entries.map(entry => entry.enforced), [[], [didube, vake], []])
    assert.match((await history(log)).stdout, /enforced in didube by 1 node, first 1970-01-01T00:00:02.000Z, last 1970-01-01T00:00:03.000Z/)
    const one = JSON.parse((await history(log, '--proposal', second.proposalId, '--output', 'json')).stdout) as { audit: Array<{ kind: string }> }
    assert.deepEqual(one.audit.map(entry => entry.kind), ['accepted', 'enforced', 'enforced', 'enforced'])
  })

  test.it('falls back to the audit stream, so that an expired proposal keeps its verdict', async () => {
    const log = new testEnvironment.FakeLog()
    log.streams.audit.push(null, { kind: 'accepted', proposalId: 'p1' }, { kind: 'proposed', proposalId: 'p2' }, { kind: 'rejected', proposalId: 'p2' })
    assert.deepEqual([(await history(log, '--proposal', 'p1')).exitCode, (await history(log, '--proposal', 'p2')).exitCode], [0, 2])
  })
})
