import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as random from '../base/Random.js'
import * as fake from './FakeMesh.js'
import type * as targetSelector from './TargetSelector.js'

const none: ReadonlySet<string> = new Set()

function rows (count: number, zone: string): ReturnType<typeof fake.rowOf>[] {
  return Array.from({ length: count }, (_, i) => fake.rowOf({ nodeId: `${zone}-${i}`, zone }))
}

function count (selector: targetSelector.TargetSelector, times: number, nowMs: number): Map<string, number> {
  const counts = new Map<string, number>()
  for (let i = 0; i < times; i++) {
    const nodeId = selector.select('till', none, nowMs) ?? 'none'
    counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1)
  }
  return counts
}

test.describe('TargetSelector', () => {
  test.describe('balance', () => {
    test.it('uses no more than the slots of each target at 80 % of the capacity, where a random choice would queue calls', () => {
      const selector = new fake.FakeMesh(rows(5, 'vake')).selector(1)
      const generator = new random.Random(2)
      const inFlight = new Map<string, number>()
      const running: string[] = []
      let most = 0
      for (let nowMs = 0; nowMs < 20_000; nowMs++) {
        const nodeId = selector.select('till', none, nowMs) ?? ''
        selector.recordSend(nodeId, nowMs)
        running.push(nodeId)
        inFlight.set(nodeId, (inFlight.get(nodeId) ?? 0) + 1)
        most = Math.max(most, inFlight.get(nodeId) ?? 0)
        if (running.length < 60) continue
        const ended = running.splice(generator.nextInt(running.length), 1)[0] ?? ''
        inFlight.set(ended, (inFlight.get(ended) ?? 0) - 1)
        selector.recordResult(ended, 'success', { inFlight: inFlight.get(ended) ?? 0, queued: 0, slots: 15 }, nowMs)
      }
      assert.ok(most <= 15, `${most}`)
    })
  })

  test.describe('small pool', () => {
    test.it('selects the less utilized of two targets, because zones often have no more', () => {
      const selector = new fake.FakeMesh(rows(2, 'vake')).selector(1)
      selector.recordSend('vake-0', 0)
      assert.equal(count(selector, 500, 0).get('vake-0'), undefined)
    })

    test.it('avoids a target that answers much slower than the others, although it is not busier', () => {
      const selector = new fake.FakeMesh(rows(4, 'vake')).selector(1)
      count(selector, 1, 0)
      for (let i = 0; i < 200; i++) {
        const nodeId = `vake-${i % 4}`
        selector.recordSend(nodeId, 0)
        selector.recordResult(nodeId, 'success', { inFlight: 0, queued: 0, slots: 15 }, 0, nodeId === 'vake-0' ? 400 : 40)
      }
      assert.equal(count(selector, 500, 0).get('vake-0'), undefined)
    })
  })

  test.describe('distance', () => {
    test.it('selects other zones before its own zone is full, but not below 70 % of its slots', () => {
      const selector = new fake.FakeMesh([...rows(2, 'vake'), ...rows(2, 'didube')]).selector(1)
      let near = 0
      for (;;) {
        const nodeId = selector.select('till', none, 0) ?? ''
        if (nodeId.startsWith('didube')) break
        selector.recordSend(nodeId, 0)
        near += 1
      }
      assert.ok(near >= 0.7 * 30 && near < 30, `${near}`)
    })

    test.it('selects the target of its own VM, which saves a hop, until its utilization is 0.8', () => {
      const mesh = new fake.FakeMesh(rows(3, 'vake'))
      mesh.self = fake.rowOf({ nodeId: 'vake-1' })
      const selector = mesh.selector(1)
      for (let i = 0; i < 12; i++) {
        assert.equal(selector.select('till', none, 0), 'vake-1')
        selector.recordSend('vake-1', 0)
      }
      assert.notEqual(selector.select('till', none, 0), 'vake-1')
    })

    test.it('ignores zones when the institution has no zone preference', () => {
      const document = fake.documentOf({})
      const anyZone = { ...document, terms: { ...document.terms, zonePreference: 'any' as const } }
      const counts = count(new fake.FakeMesh([...rows(1, 'vake'), ...rows(1, 'didube')], anyZone).selector(1), 1_000, 0)
      assert.ok((counts.get('didube-0') ?? 0) > 400)
    })
  })

  test.describe('slow start', () => {
    for (const zone of ['vake', 'didube']) {
      test.it(`increases the share of a starting target in ${zone} with its age, because a cold target answers slowly`, () => {
        const mesh = new fake.FakeMesh(rows(4, zone))
        mesh.put(fake.rowOf({ nodeId: 'cold', zone, targetReadySinceMs: 0 }))
        const shares = [100, 500, 1_000].map(nowMs => (count(mesh.selector(1), 5_000, nowMs).get('cold') ?? 0) / 5_000)
        const [early = 1, middle = 1, full = 0] = shares
        assert.ok(early < 0.05 && middle > 0.07 && middle < 0.15 && full > 0.17, `${shares}`)
      })
    }

    test.it('selects targets of other zones while the only target of its zone starts', () => {
      const mesh = new fake.FakeMesh([...rows(3, 'didube'), fake.rowOf({ nodeId: 'cold', targetReadySinceMs: 0 })])
      assert.ok((count(mesh.selector(1), 1_000, 100).get('cold') ?? 0) < 200)
    })

    test.it('selects a cold target when there is no other, so that a restarted service answers', () => {
      const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'cold', targetReadySinceMs: 0 })])
      assert.equal(mesh.selector(1).select('till', none, 1), 'cold')
    })
  })

  test.describe('ejected target', () => {
    test.it('is not selected while there are other targets, and is selected when it is the only one', () => {
      const selector = new fake.FakeMesh(rows(3, 'vake')).selector(1)
      for (let i = 0; i < 5; i++) selector.recordResult('vake-0', 'failure', undefined, 0)
      count(selector, 1, 0)
      for (let i = 0; i < 5; i++) selector.recordResult('vake-0', 'failure', undefined, 0)
      assert.equal(count(selector, 1_000, 0).get('vake-0'), undefined)
      assert.equal(selector.select('till', new Set(['vake-1', 'vake-2']), 0), 'vake-0')
    })
  })

  test.describe('membership', () => {
    test.it('selects only ready targets in configured zones while nodes join and leave', () => {
      const zones = ['vake', 'didube', 'forbidden']
      const step = fastCheck.record({
        node: fastCheck.nat(7),
        state: fastCheck.constantFrom('joining', 'ready', 'draining', 'left', 'suspect', 'dead'),
        targetReady: fastCheck.boolean(),
        exclude: fastCheck.nat(7)
      })
      fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 60 }), steps => {
        const document = fake.documentOf({ targets: [{ service: 'till', zones: ['vake', 'didube'] }] })
        const mesh = new fake.FakeMesh([], document)
        const selector = mesh.selector(3, 4)
        for (const { node, state, targetReady, exclude } of steps) {
          mesh.put({ nodeId: `n${node}`, zone: zones[node % 3] ?? '', service: 'till', state, targetReady })
          const excluded = `n${exclude}`
          const allowed = mesh.targetsOf('till').filter(row => row.zone !== 'forbidden' && row.nodeId !== excluded)
          const nodeId = selector.select('till', new Set([excluded]), 0)
          if (nodeId === undefined) assert.equal(allowed.length, 0)
          else assert.ok(allowed.some(row => row.nodeId === nodeId))
        }
      }), { seed: 5, numRuns: 200 })
    })

    test.it('selects no target of a service that is not configured, even if its targets are already announced', () => {
      const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'early', service: 'vault' })])
      const selector = mesh.selector(1)
      assert.equal(selector.select('vault', none, 0), undefined)
      const document = fake.documentOf({})
      mesh.enforce({
        ...document,
        services: [...document.services, { name: 'vault', slots: 15, connections: 120, coldStartMs: 0 }],
        targets: [{ service: 'vault', zones: ['vake'] }]
      })
      assert.equal(selector.select('vault', none, 0), 'early')
    })
  })
})
