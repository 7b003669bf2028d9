import * as assert from 'node:assert/strict'
import * as documents from '../config/TestDocuments.js'
import * as fixture from '../hosting/testing/Fixture.js'
import * as nodeComposition from './NodeComposition.js'
import * as random from '../base/Random.js'
import * as test from 'node:test'
import type * as config from '../config/Types.js'
import type * as messages from './Messages.js'
import type * as nodeServices from './Services.js'

const STARTED_AT_MS = 1_790_000_000_000

function compose (service: string, skipped: nodeServices.RecordSkipped[] = []): nodeComposition.NodeComposition {
  return new nodeComposition.NodeComposition({
    self: { nodeId: 'n', incarnation: STARTED_AT_MS, peerAddress: 'n:1', callerAddress: 'n:2', adminAddress: 'n:3', zone: 'vake', service, targetReady: false, targetReadySinceMs: 0, enforcedVersion: 0 },
    seeds: [],
    random: new random.Random(1),
    onRefused: () => {},
    onRecordSkipped: record => { skipped.push(record) }
  })
}

test.describe('NodeCore', () => {
  test.describe('readiness', () => {
    test.it('is not ready and reports the reason while no configuration is known', () => {
      const { core } = compose('till')
      core.tick(STARTED_AT_MS)
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'no-configuration-known')
      assert.equal(core.services.membership.self.state, 'joining')
    })
  })

  test.describe('readiness for keyed calls', () => {
    const windows = fixture.windowsOfAllPartitions({ nodeId: 'n', incarnation: STARTED_AT_MS })

    function started (): nodeComposition.NodeComposition['core'] {
      const { core } = compose(fixture.SERVICE)
      core.services.enforcement.enforce(documents.testState(1, documents.testDocument()), STARTED_AT_MS)
      core.services.membership.setState('ready', STARTED_AT_MS)
      core.handleTargetChange(true, STARTED_AT_MS)
      return core
    }

    test.it('is not ready until keys have owners, so that the first payments of a new fleet do not end as unknown', () => {
      const core = started()
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'no-key-owners')
      core.services.ownershipTable.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windows }, 0)
      core.services.ownershipTable.apply({ kind: 'horizon', untilMs: STARTED_AT_MS + 5_000 }, 1)
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'ready')
    })

    test.it('stays ready when the horizon ends during a log outage, because idempotent calls continue', () => {
      const core = started()
      core.services.ownershipTable.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windows }, 0)
      core.services.ownershipTable.apply({ kind: 'horizon', untilMs: STARTED_AT_MS + 5_000 }, 1)
      assert.equal(core.readiness(STARTED_AT_MS + 60_000).reason, 'ready')
    })
  })

  test.describe('outdated software', () => {
    const first = documents.testProposal(1, undefined, documents.testDocument(1))
    const second = documents.testProposal(2, documents.testState(1, first.document), documents.testDocument(2))
    const newer = { ...second, rulesVersion: 3, document: { form: 'of newer software' } }

    function readAll (stream: messages.StreamName, ...data: unknown[]): messages.LogReadResult {
      return { stream, ok: true, records: data.map((record, offset) => ({ offset, data: record })), firstOffset: 0, nextOffset: data.length, retentionMs: 3_600_000 }
    }

    /** A ready entry node that has read the log and enforces the state that it could read. */
    function started (skipped: nodeServices.RecordSkipped[] = []): nodeComposition.NodeComposition['core'] {
      const { core } = compose('', skipped)
      core.services.enforcement.enforce(documents.testState(1, first.document, 0), STARTED_AT_MS)
      core.services.membership.setState('ready', STARTED_AT_MS)
      core.logRead(readAll('config', first, newer), STARTED_AT_MS)
      return core
    }

    test.it('is not ready and reports the reason while a version that it cannot read may be in force', () => {
      const readiness = started().readiness(STARTED_AT_MS)
      assert.equal(readiness.ready, false)
      assert.equal(readiness.reason, 'upgrade-needed')
      assert.match(readiness.upgradeReason ?? '', /offset 1 needs rule set 3.*Upgrade elmpost on this machine/)
      assert.equal(readiness.enforcedVersion, 1)
    })

    test.it('stays a ready member, so that calls continue under the version that it enforces', () => {
      const core = started()
      assert.equal(core.services.distribution.readiness(STARTED_AT_MS).ready, true)
      assert.equal(core.services.membership.self.state, 'ready')
    })

    test.it('is ready again after it receives that version from peers, because it then enforces the same version as they do', () => {
      const core = started()
      core.services.enforcement.enforce(documents.testState(2, documents.testDocument(2), 1), STARTED_AT_MS)
      const readiness = core.readiness(STARTED_AT_MS)
      assert.equal(readiness.reason, 'ready')
      assert.equal(readiness.upgradeReason, undefined)
    })

    test.it('reports only records that it skips, each with a remedy, so that operators need not search the verdicts', () => {
      const skipped: nodeServices.RecordSkipped[] = []
      const core = started(skipped)
      const rival: config.ProposalRecord = documents.testProposal(3, undefined, documents.testDocument(3))
      const records = [first, newer, { kind: 'later-kind' }, rival]
      core.logRead({ ...readAll('config', ...records), records: records.map((data, offset) => ({ offset, data })) }, STARTED_AT_MS)
      assert.deepEqual(skipped.map(({ stream, offset }) => [stream, offset]), [['config', 1], ['config', 2], ['config', 3]])
      for (const { problem } of skipped) assert.match(problem, /[Uu]pgrade elmpost/)
      const skippedAmongJudged: nodeServices.RecordSkipped[] = []
      compose('', skippedAmongJudged).core.logRead(readAll('config', first, second, rival, second), STARTED_AT_MS)
      assert.deepEqual(skippedAmongJudged, [])
    })

    test.it('reports each skipped record of the ownership stream with a remedy', () => {
      const skipped: nodeServices.RecordSkipped[] = []
      compose('', skipped).core.logRead(readAll('ownership', { kind: 'later-kind' }), STARTED_AT_MS)
      assert.deepEqual(skipped.map(({ stream, offset }) => [stream, offset]), [['ownership', 0]])
      assert.match(skipped[0]?.problem ?? '', /same software version/)
    })
  })

  test.describe('log', () => {
    test.it('reads the config stream, so that a node without peers finds its configuration', () => {
      const { core, effects } = compose('till')
      const streams = new Set<string>()
      for (let nowMs = STARTED_AT_MS; nowMs < STARTED_AT_MS + 10_000; nowMs += 100) {
        core.tick(nowMs)
        for (const effect of effects.drain()) if (effect.kind === 'read-log') streams.add(effect.stream)
      }
      assert.ok(streams.has('config'))
    })
  })

  test.describe('target', () => {
    test.it('announces a change of the target once, so that gossip is not repeated without a change', () => {
      const { core } = compose('till')
      core.handleTargetChange(true, STARTED_AT_MS)
      const { revision } = core.services.membership.self
      core.handleTargetChange(true, STARTED_AT_MS + 1)
      assert.equal(core.services.membership.self.revision, revision)
      assert.equal(core.services.membership.self.targetReady, true)
    })
  })

  test.describe('calls', () => {
    test.it('refuses a call when no configuration is known', () => {
      const decision = compose('').core.services.entry.begin({ method: 'GET', path: '/', headers: {}, body: undefined, remainingMs: undefined, key: undefined, depth: 0, attempt: 1 }, STARTED_AT_MS)
      assert.ok(decision.kind === 'answer' && decision.answer.reason === 'no-configuration')
    })
  })
})
