import * as assert from 'node:assert/strict'
import * as documents from '../config/TestDocuments.js'
import * as fixture from '../hosting/testing/Fixture.js'
import * as nodeComposition from './NodeComposition.js'
import * as random from '../base/Random.js'
import * as test from 'node:test'

const STARTED_AT_MS = 1_790_000_000_000

function compose (service: string): nodeComposition.NodeComposition {
  return new nodeComposition.NodeComposition({
    self: { nodeId: 'n', incarnation: STARTED_AT_MS, peerAddress: 'n:1', callerAddress: 'n:2', adminAddress: 'n:3', zone: 'vake', service, targetReady: false, targetReadySinceMs: 0, enforcedVersion: 0 },
    seeds: [],
    random: new random.Random(1),
    onRefused: () => {}
  })
}

test.describe('NodeCore', () => {
  test.describe('readiness', () => {
    test.it('stays not ready and says why while no configuration is known', () => {
      const { core } = compose('till')
      core.tick(STARTED_AT_MS)
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'no-configuration-known')
      assert.equal(core.services.membership.self.state, 'joining')
    })
  })

  test.describe('readiness for keyed calls', () => {
    const windows = fixture.wholeTable({ nodeId: 'n', incarnation: STARTED_AT_MS })

    function started (): nodeComposition.NodeComposition['core'] {
      const { core } = compose(fixture.SERVICE)
      core.services.enforcement.enforce(documents.testState(1, documents.testDocument()), STARTED_AT_MS)
      core.services.membership.setState('ready', STARTED_AT_MS)
      core.targetChanged(true, STARTED_AT_MS)
      return core
    }

    test.it('waits for the first owners of keys, so that the first payments of a fleet do not end unknown', () => {
      const core = started()
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'no-key-owners')
      core.services.ownershipTable.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windows }, 0)
      core.services.ownershipTable.apply({ kind: 'horizon', untilMs: STARTED_AT_MS + 5_000 }, 1)
      assert.equal(core.readiness(STARTED_AT_MS).reason, 'ready')
    })

    test.it('stays ready when the horizon ends in a log outage, because idempotent calls go on', () => {
      const core = started()
      core.services.ownershipTable.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windows }, 0)
      core.services.ownershipTable.apply({ kind: 'horizon', untilMs: STARTED_AT_MS + 5_000 }, 1)
      assert.equal(core.readiness(STARTED_AT_MS + 60_000).reason, 'ready')
    })
  })

  test.describe('log', () => {
    test.it('asks for the streams that it needs, so that a node without peers finds its configuration', () => {
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
    test.it('announces a change of the target once, so that gossip is not repeated for nothing', () => {
      const { core } = compose('till')
      core.targetChanged(true, STARTED_AT_MS)
      const { revision } = core.services.membership.self
      core.targetChanged(true, STARTED_AT_MS + 1)
      assert.equal(core.services.membership.self.revision, revision)
      assert.equal(core.services.membership.self.targetReady, true)
    })
  })

  test.describe('calls', () => {
    test.it('refuses a call without a configuration instead of failing', () => {
      const decision = compose('').core.services.entry.begin({ method: 'GET', path: '/', headers: {}, body: undefined, remainingMs: undefined, key: undefined, depth: 0, attempt: 1 }, STARTED_AT_MS)
      assert.ok(decision.kind === 'answer' && decision.answer.reason === 'no-configuration')
    })
  })
})
