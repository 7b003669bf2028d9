import * as assert from 'node:assert/strict'
import * as targetWatch from './TargetWatch.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const SETTINGS = { service: 'till', targetAddress: '10.0.0.1:80' } as unknown as types.DirectSettings
const READY: direct.Announcement = { targetId: 't1', service: 'till', address: '10.0.0.1:80', slots: 10, state: 'ready', sequence: 1, startedAtMs: 5 }

test.describe('TargetWatch', () => {
  let watch: targetWatch.TargetWatch

  /** Runs a health check and waits for its answer. */
  let changes = 0

  async function probe (): Promise<void> {
    watch.tick()
    await new Promise(resolve => { setImmediate(resolve) })
  }

  test.beforeEach(() => {
    const client = { health: () => Promise.resolve({ isHealthy: true, targetId: 't1' }) } as unknown as services.ITargetClient
    watch = new targetWatch.TargetWatch({ settings: SETTINGS, client: () => client, healthPath: () => '/health', nowMs: () => 0, logger: { isEnabled: () => true, log: () => {} }, mayProbe: () => true, onHealth: () => {}, onChange: () => { changes += 1 } })
  })

  test.describe('a target that was found by a health check', () => {
    test.it('is used, but not recorded before it announces its slots, because it would be recorded twice', async () => {
      await probe()
      assert.deepEqual([watch.state, watch.knownTarget], ['ready', undefined])
      watch.recordAnnouncement(READY)
      assert.deepEqual(watch.knownTarget, { targetId: 't1', startedAtMs: 5, slots: 10, isLeaving: false })
    })

    // Guards against records without the start of a target, which a later start under the same id could not be told from.
    test.it('tells a change when its start becomes known', async () => {
      await probe()
      changes = 0
      watch.recordAnnouncement(READY)
      assert.deepEqual([changes > 0, watch.reported?.startedAtMs], [true, READY.startedAtMs])
    })

    test.it('is recorded when it leaves, so that the next process of the node does not use it', async () => {
      await probe()
      watch.recordLeaving('t1')
      assert.deepEqual(watch.knownTarget?.isLeaving, true)
    })
  })
})
