import * as assert from 'node:assert/strict'
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
