import * as assert from 'node:assert/strict'
import * as cli from '../Cli.js'
import * as configLog from '../ConfigLog.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as fc from 'fast-check'
import * as silentLogger from '../SilentLogger.js'
import * as test from 'node:test'
import * as testEnvironment from '../TestEnvironment.js'
import type * as config from '@elmpost/common/config/Types.js'

interface Printed {
  readonly outcome: string
  readonly reason: string
  readonly version?: number
  readonly proposalId?: string
  readonly findOutWith?: string
  readonly details: readonly string[]
}

const FILES = {
  'a.json': JSON.stringify(documents.testDocument(1)),
  'b.json': JSON.stringify(documents.testDocument(2)),
  'other.json': JSON.stringify({
    ...documents.testDocument(1),
    institution: 'lakeshore',
    services: [{ name: 'vault', slots: 1, connections: 1, coldStartMs: 0 }],
    targets: [{ service: 'vault', zones: ['ann'] }],
    routes: documents.testDocument(1).routes.map(route => ({ ...route, name: 'fetch', service: 'vault', match: { method: 'GET', pathPrefix: '/' }, idempotent: true, timeoutMs: 1, limits: { maxQueueMs: 1, maxBodyBytes: 1 } })),
    terms: { drainMs: 1000, retryBudgetRatio: 0.5, zonePreference: 'any', ownershipHorizonMs: 700000, keyRetentionMs: 700000, distribution: { preference: 'convergence-time', pushFanout: 8, gossipIntervalMs: 2000 } }
  }),
  'bad.json': JSON.stringify({ ...documents.testDocument(1), routes: [{}], extra: 1 }),
  'text.json': '{'
}

const rival = documents.testProposal(99, undefined, documents.testDocument(9))

async function apply (log: testEnvironment.FakeLog, ...args: string[]): Promise<[exitCode: number, printed: Printed]> {
  const environment = new testEnvironment.TestEnvironment(log, FILES)
  const exitCode = await new cli.Cli(environment).run(['apply', ...args, '--output', 'json'])
  return [exitCode, JSON.parse(environment.stdout) as Printed]
}

test.describe('ApplyCommand', () => {
  test.describe('accepted', () => {
    test.it('takes the verdict from the log, so that it is the verdict of the nodes', async () => {
      const log = new testEnvironment.FakeLog()
      const [exitCode, printed] = await apply(log, 'a.json')
      assert.deepEqual([exitCode, printed.outcome, printed.version], [0, 'accepted', 1])
      assert.deepEqual(log.streams.audit.map(entry => (entry as Printed).proposalId), [printed.proposalId])
    })

    test.it('proposes nothing if the document is in force, so that repeated runs create no versions', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      assert.deepEqual((await apply(log, 'a.json'))[0], 0)
      assert.equal(log.streams.config.length, 1)
    })

    test.it('finds its record after a lost answer, so that a change is not made twice', async () => {
      const log = new testEnvironment.FakeLog()
      log.faults = ['lost-answer']
      assert.deepEqual((await apply(log, 'a.json'))[0], 0)
      assert.equal(log.streams.config.length, 1)
    })

    test.it('sends the same proposalId again after a lost request, so that both records are one change', async () => {
      const log = new testEnvironment.FakeLog()
      log.faults = ['delayed', 'lost-request']
      const [exitCode, printed] = await apply(log, 'a.json')
      log.appendDelayed()
      assert.equal(exitCode, 0)
      assert.deepEqual(log.streams.config.map(record => (record as Printed).proposalId), [printed.proposalId, printed.proposalId])
    })
  })

  test.describe('form of the proposal', () => {
    test.it('is the whole document for the first file and a patch after it, so that the log holds few bytes', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      assert.deepEqual([(await apply(log, 'b.json'))[0], log.streams.config.length], [0, 2])
      const [first, second] = log.streams.config as [config.ProposalRecord, config.DeltaProposalRecord]
      assert.deepEqual(first.document, documents.testDocument(1))
      assert.deepEqual(second.patch, [{ op: 'replace', path: '/services/0/coldStartMs', value: 2 }])
    })

    test.it('is the whole document if a patch is not shorter, so that a rewrite takes no more bytes than the document', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      assert.equal((await apply(log, 'other.json'))[0], 0)
      assert.deepEqual((log.streams.config[1] as config.ProposalRecord).document.services[0]?.name, 'vault')
    })

    test.it('is a patch on a snapshot if the base has expired, so that the log need not keep the record of the base', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      const { document, digest } = documents.testState(1, documents.testDocument(1))
      log.streams.config.push({ kind: 'snapshot', version: 1, digest, rulesVersion: 1, asOfOffset: 0, document })
      log.firstOffset = 1
      const [exitCode, printed] = await apply(log, 'b.json')
      assert.deepEqual([exitCode, printed.version, (log.streams.config[2] as config.DeltaProposalRecord).document], [0, 2, null])
    })
  })

  test.describe('rejected', () => {
    test.it('reports a proposal that lost a race as rejected, so that no operator takes it for accepted', async () => {
      const [exitCode, printed] = await apply(new testEnvironment.FakeLog(log => { if (log.streams.config.length === 0) log.streams.config.push(rival) }), 'a.json')
      assert.deepEqual([exitCode, printed.outcome], [2, 'rejected'])
    })

    test.it('is the outcome of a lost request once another version is in force, so that it does not stay unknown', async () => {
      const log = new testEnvironment.FakeLog(fake => { if (fake.streams.config.length === 0) fake.streams.config.push(rival) })
      log.faults = ['lost-request', 'lost-request', 'lost-request', 'lost-request', 'lost-request']
      const [exitCode, printed] = await apply(log, 'a.json')
      assert.deepEqual([exitCode, printed.outcome], [2, 'rejected'])
      assert.match(printed.reason, /Version 1 was accepted first/)
    })

    test.it('lists all problems of a file and sends nothing, so that bad input never reaches the log', async () => {
      const log = new testEnvironment.FakeLog()
      const [exitCode, printed] = await apply(log, 'bad.json')
      assert.deepEqual([exitCode, printed.outcome], [4, 'rejected'])
      assert.ok(printed.details.length >= 8)
      assert.ok(printed.details.every(line => line.startsWith('bad.json: /')))
      assert.deepEqual([(await apply(log, 'text.json'))[0], (await apply(log, 'none.json'))[0]], [4, 4])
      assert.equal((await apply(log, 'a.json', '--author', 'a\nb'))[0], 4)
      assert.deepEqual(log.streams, { config: [], audit: [] })
    })

    test.it('has different exit codes for an unreachable log and a refusal, so that scripts know when to try again', async () => {
      const down = new testEnvironment.FakeLog()
      down.isReadFailing = true
      const refusing = new testEnvironment.FakeLog()
      refusing.faults = ['refused']
      const failing = new testEnvironment.FakeLog()
      failing.faults = ['down', 'down']
      assert.deepEqual([(await apply(down, 'a.json'))[0], (await apply(refusing, 'a.json'))[0], (await apply(failing, 'a.json', '--attempts', '2'))[0]], [5, 2, 5])
    })

    test.it('refuses a base other than --base-version, so that only reviewed changes are applied', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      const [exitCode, printed] = await apply(log, 'b.json', '--base-version', '0')
      assert.deepEqual([exitCode, printed.outcome, log.streams.config.length], [2, 'rejected', 1])
    })

    test.it('does not guess the base when the log has dropped it, so that no version number is used twice', async () => {
      const log = new testEnvironment.FakeLog()
      await apply(log, 'a.json')
      log.firstOffset = 1
      const [exitCode, printed] = await apply(log, 'b.json')
      assert.deepEqual([exitCode, printed.outcome], [5, 'rejected'])
    })
  })

  test.describe('unknown', () => {
    test.it('names the command that shows the verdict later', async () => {
      const log = new testEnvironment.FakeLog()
      log.faults = ['lost-request', 'lost-request']
      const [exitCode, printed] = await apply(log, 'a.json', '--attempts', '2')
      assert.deepEqual([exitCode, printed.outcome], [3, 'unknown'])
      assert.equal(printed.findOutWith, `elmpost history --proposal ${printed.proposalId}`)
    })
  })

  test.it('never contradicts the log when records are lost, delayed, refused or overtaken', async () => {
    const fault = fc.constantFrom<testEnvironment.AppendFault>('none', 'lost-answer', 'lost-request', 'delayed', 'refused', 'down')
    const outcomes = new Set<string>()
    await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 6 }), fc.nat({ max: 6 }), fc.nat({ max: 6 }), async (faults, rivalAt, downAt) => {
      let appends = 0
      const log = new testEnvironment.FakeLog(fake => {
        appends++
        if (appends === rivalAt) fake.streams.config.push(rival)
        fake.isReadFailing = appends === downAt
      })
      log.faults = faults
      const [, printed] = await apply(log, 'a.json', '--attempts', '4')
      outcomes.add(printed.outcome)
      log.isReadFailing = false
      log.appendDelayed()
      const truth = new configLog.ConfigLog(log, silentLogger.SILENT_LOGGER)
      await truth.catchUp()
      const isAccepted = printed.proposalId !== undefined && truth.verdictOf(printed.proposalId)?.kind === 'accepted'
      if (printed.outcome !== 'unknown') assert.equal(isAccepted, printed.outcome === 'accepted')
    }), { seed: 20261203, numRuns: 500 })
    assert.deepEqual([...outcomes].sort(), ['accepted', 'rejected', 'unknown'])
  })
})
