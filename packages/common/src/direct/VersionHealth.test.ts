import * as assert from 'node:assert/strict'
import * as random from '../base/Random.js'
import * as test from 'node:test'
import * as versionHealth from './VersionHealth.js'
import type * as types from './RolloutTypes.js'

interface Behaviour {
  readonly errorShare?: number
  readonly slowShare?: number
  readonly slowFactor?: number
}

test.describe('VersionHealth', () => {
  let health: versionHealth.VersionHealth
  let chance: random.Random
  let sums: { old: types.VersionSums, fresh: types.VersionSums }

  function answers (count: number, { errorShare = 0, slowShare = 0, slowFactor = 4 }: Behaviour = {}, meanMs = 50): types.ClassSums {
    const times: number[] = Array.from({ length: versionHealth.BUCKETS }, () => 0)
    let bad = 0
    let timeMs = 0
    for (let call = 0; call < count; call++) {
      if (chance.nextFloat() < errorShare) {
        bad += 1
        continue
      }
      const tookMs = meanMs * (0.5 + chance.nextFloat()) * (chance.nextFloat() < slowShare ? slowFactor : 1)
      const bucket = versionHealth.bucketOf(tookMs)
      times[bucket] = (times[bucket] ?? 0) + 1
      timeMs += tookMs
    }
    return { answers: count, bad, timeMs, times }
  }

  /** Adds answers of both versions, and judges. */
  function judge (old: Record<string, types.ClassSums>, fresh: Record<string, types.ClassSums>, nowMs = 0): versionHealth.Finding {
    sums = { old: versionHealth.total([sums.old, new Map(Object.entries(old))]), fresh: versionHealth.total([sums.fresh, new Map(Object.entries(fresh))]) }
    health.record(sums.old, sums.fresh, nowMs)
    return health.judge()
  }

  test.beforeEach(() => {
    health = new versionHealth.VersionHealth()
    chance = new random.Random(1)
    sums = { old: new Map(), fresh: new Map() }
  })

  test.it('knows nothing before there are enough answers', () => {
    assert.equal(judge({ price: answers(400) }, { price: answers(10) }).verdict, 'unknown')
  })

  test.it('does not end the roll-out of a good version by chance, with many samples and the errors of both versions', () => {
    for (let seed = 1; seed <= 300; seed++) {
      chance = new random.Random(seed)
      health = new versionHealth.VersionHealth()
      sums = { old: new Map(), fresh: new Map() }
      for (let round = 0; round < 20; round++) {
        const { verdict, reason } = judge({ price: answers(90, { errorShare: 0.03, slowShare: 0.03 }), photo: answers(30, { errorShare: 0.1 }, 200) }, { price: answers(6, { errorShare: 0.03, slowShare: 0.03 }), photo: answers(2, { errorShare: 0.1 }, 200) }, round * 250)
        assert.notEqual(verdict, 'bad', `seed ${seed} round ${round}: ${reason}`)
      }
    }
  })

  test.it('finds a version whose answers are errors at once', () => {
    assert.deepEqual(judge({ price: answers(400) }, { price: answers(16, { errorShare: 0.5 }) }), { verdict: 'bad', reason: 'errors price' })
  })

  test.it('finds errors on one route among many calls to the others', () => {
    assert.equal(judge({ price: answers(800), photo: answers(100) }, { price: answers(200), photo: answers(14, { errorShare: 0.6 }) }).reason, 'errors photo')
  })

  test.it('finds a version that turns bad late, although its earlier answers were good', () => {
    judge({ price: answers(2000) }, { price: answers(300) }, 0)
    assert.equal(judge({ price: answers(200) }, { price: answers(30) }, 2_000).verdict, 'good')
    judge({ price: answers(200) }, { price: answers(2) }, 2_100)
    assert.equal(judge({ price: answers(200) }, { price: answers(20, { errorShare: 0.6 }) }, 2_300).verdict, 'bad')
  })

  test.it('finds a version of which only a part of the answers take several times as long', () => {
    assert.equal(judge({ price: answers(400) }, { price: answers(60, { slowShare: 0.3 }) }).reason, 'slow price')
  })

  test.it('adds up slow answers on routes that have few calls each', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
    const old = Object.fromEntries(names.map((name, at) => [name, answers(60, {}, 20 * (at + 1))]))
    const fresh = Object.fromEntries(names.map((name, at) => [name, answers(4, { slowShare: 0.6 }, 20 * (at + 1))]))
    assert.equal(judge(old, fresh).reason, 'slow all')
  })

  test.it('does not blame the version for errors that both versions have, as when another service fails', () => {
    assert.notEqual(judge({ price: answers(400, { errorShare: 0.5 }) }, { price: answers(60, { errorShare: 0.5 }) }).verdict, 'bad')
  })

  test.it('does not judge a version by the answers of a host that has restarted and counts from 0', () => {
    judge({ price: answers(400) }, { price: answers(100) }, 0)
    health.record(sums.old, new Map(), 1_000)
    assert.notEqual(health.judge().verdict, 'bad')
  })

  test.it('measures the rate of calls', () => {
    judge({ price: answers(100) }, {}, 0)
    judge({ price: answers(90) }, { price: answers(10) }, 500)
    assert.equal(health.answersPerS, 200)
  })
})
