import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as randoms from '../base/Random.js'
import * as rings from './ProbeRing.js'
import * as schedules from './ProbeSchedule.js'

const START_MS = 1_700_000_000_000
const INTERVAL_MS = 1_000
const TICK_MS = 100
const DURATION_MS = 60_000

interface Prober {
  readonly id: string
  readonly schedule: schedules.ProbeSchedule
  readonly skewMs: number
  readonly tickOffsetMs: number
}

interface ProbeStats {
  /** Longest time between two probes of a member. */
  readonly maxGapMs: number
  readonly probes: number
}

function probersOf (count: number, maxSkewMs: number): Prober[] {
  const random = new randoms.Random(5)
  const ids = Array.from({ length: count }, (_, i) => `vm-${i}`)
  return ids.map(id => {
    const ring = new rings.ProbeRing()
    for (const peer of ids) if (peer !== id) ring.add(peer)
    const schedule = new schedules.ProbeSchedule(ring, id)
    return { id, schedule, skewMs: random.nextInt(maxSkewMs + 1), tickOffsetMs: random.nextInt(TICK_MS) }
  })
}

function allDue (schedule: schedules.ProbeSchedule | undefined, nowMs: number): string[] {
  const targets: string[] = []
  for (let next = schedule?.due(nowMs, INTERVAL_MS); next !== undefined; next = schedule?.due(nowMs, INTERVAL_MS)) targets.push(next)
  return targets
}

function run (probers: readonly Prober[]): ProbeStats {
  const probedAtMs = new Map(probers.map(({ id }) => [id, START_MS + INTERVAL_MS]))
  let maxGapMs = 0
  let probes = 0
  for (let nowMs = START_MS; nowMs < START_MS + DURATION_MS; nowMs++) {
    for (const prober of probers) {
      if ((nowMs + prober.tickOffsetMs) % TICK_MS !== 0) continue
      for (const target of allDue(prober.schedule, nowMs + prober.skewMs)) {
        assert.notEqual(target, prober.id)
        maxGapMs = Math.max(maxGapMs, nowMs - (probedAtMs.get(target) ?? 0))
        probedAtMs.set(target, nowMs)
        probes++
      }
    }
  }
  const endMs = START_MS + DURATION_MS
  for (const atMs of probedAtMs.values()) maxGapMs = Math.max(maxGapMs, endMs - atMs)
  return { maxGapMs, probes }
}

test.describe('ProbeSchedule', () => {
  for (const count of [2, 3, 50]) {
    test.it(`probes each of ${count} members once per interval, so that an unreachable one does not wait for its first probe`, () => {
      assert.ok(run(probersOf(count, 0)).maxGapMs <= INTERVAL_MS + TICK_MS)
    })
  }

  test.it('makes one probe per node and interval', () => {
    const count = 50
    const { probes } = run(probersOf(count, 0))
    assert.ok(Math.abs(probes - count * DURATION_MS / INTERVAL_MS) <= count, `${probes} probes`)
  })

  test.it('keeps the gaps between the probes of a member short when clocks differ as much as peers accept', () => {
    assert.ok(run(probersOf(50, 250)).maxGapMs <= INTERVAL_MS + 250 + 2 * TICK_MS)
  })

  test.it('reaches every other member, so that a broken path between two members is detected', () => {
    const [first] = probersOf(20, 0)
    const seen = new Set<string>()
    for (let nowMs = START_MS; nowMs < START_MS + 10 * DURATION_MS; nowMs += TICK_MS) {
      for (const target of allDue(first?.schedule, nowMs)) seen.add(target)
    }
    assert.equal(seen.size, 19)
  })

  test.it('makes one late probe after a stall, without a burst of the missed ones', () => {
    const [first] = probersOf(20, 0)
    allDue(first?.schedule, START_MS)
    let probes = 0
    for (let nowMs = START_MS + 30_000; nowMs < START_MS + 31_000; nowMs += TICK_MS) {
      probes += allDue(first?.schedule, nowMs).length
    }
    assert.ok(probes <= 2, `${probes} probes`)
  })

  test.it('continues to probe when the clock is set back', () => {
    const [first] = probersOf(20, 0)
    allDue(first?.schedule, START_MS + DURATION_MS)
    let probes = 0
    for (let nowMs = START_MS; nowMs < START_MS + 10_000; nowMs += TICK_MS) {
      probes += allDue(first?.schedule, nowMs).length
    }
    assert.ok(probes >= 10, `${probes} probes`)
  })

  // Guards against a node that learns the version of a member late: versions are exchanged on probes only.
  test.it('probes every peer once in as many rounds as there are peers', () => {
    const [prober] = probersOf(10, 0)
    const targets = Array.from({ length: 9 }, (_, round) => allDue(prober?.schedule, START_MS + (round + 1) * INTERVAL_MS - 1)).flat()
    assert.deepEqual([targets.length, new Set(targets).size], [9, 9])
  })
})
