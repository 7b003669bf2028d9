import * as assert from 'node:assert/strict'
import * as crashFleets from './testing/CrashFleet.js'
import * as random from '@elmpost/common/base/Random.js'
import * as test from 'node:test'

/** From the third crash of a request until each node has to know of it. */
const CONTACT_MS = 3_000
const ALLOWED_RUNS = 3
const CRASHES = 3
const WAVE_MS = 1_700
const LENGTH_MS = 20_000
const HARMFUL = ['/harmful-a', '/harmful-b', '/harmful-c', '/harmful-d']
const SIZES = [{ nodeCount: 5, links: 10 }, { nodeCount: 60, links: 10 }] as const
const SEEDS = [1, 2, 3]

for (const { nodeCount, links } of SIZES) {
  for (const seed of SEEDS) {
    test.describe(`A fleet of ${nodeCount} nodes, seed ${seed}`, () => {
      let fleet: crashFleets.CrashFleet
      let source: random.Random

      function create (change: Partial<crashFleets.CrashFleetOptions> = {}): void {
        source = new random.Random(seed)
        fleet = new crashFleets.CrashFleet({ nodeCount, links, slots: 6, workMs: 60, downMs: 1_500, isHarmful: path => path.startsWith('/harmful'), seed, ...change })
      }

      /** Harmless calls: some paths that all callers use, and some that come once. */
      function press (): void {
        for (let at = 0; at < nodeCount; at++) {
          if (source.nextFloat() < 0.02) fleet.call(`/popular-${source.nextInt(3)}`, at)
          if (source.nextFloat() < 0.01) fleet.call(`/once-${source.nextInt(1_000_000)}`, at)
        }
      }

      function lateRuns (path: string): number {
        const thirdAtMs = fleet.crashesAtMs.get(path)?.[CRASHES - 1] ?? Infinity
        return fleet.runs.filter(run => run.path === path && run.atMs > thirdAtMs + CONTACT_MS).length
      }

      function refusedHarmless (): string[] {
        return fleet.answers.filter(({ path, reason }) => reason === 'crashes-targets' && !path.startsWith('/harmful')).map(({ path }) => path)
      }

      /** Share of harmless calls that ended in the last seconds and were served. */
      function servedAtEnd (): number {
        const ended = fleet.answers.filter(({ path, atMs }) => !path.startsWith('/harmful') && atMs > LENGTH_MS - 3_000)
        return ended.filter(({ reason }) => reason === '200').length / ended.length
      }

      test.afterEach(() => { fleet.dispose() })

      // Guards against a count that each node keeps for itself (incident BUDGET), and against one that dies with a process.
      test.it('passes several harmful requests on no more, sent at all nodes at once, while nodes are killed', () => {
        create()
        fleet.run(LENGTH_MS, () => {
          press()
          if (fleet.nowMs % WAVE_MS === WAVE_MS - 1) for (const path of HARMFUL) for (let at = 0; at < nodeCount; at++) fleet.call(path, at)
          if (fleet.nowMs % 500 === 0) fleet.killNode(source.nextInt(nodeCount))
        })
        for (const path of HARMFUL) assert.ok(lateRuns(path) <= ALLOWED_RUNS, `${path}: ${lateRuns(path)} late runs, ${fleet.crashesAtMs.get(path)?.length} crashes`)
        assert.deepEqual(refusedHarmless(), [])
        assert.ok(servedAtEnd() > 0.95, `${servedAtEnd()} served`)
      })

      test.it('passes a request on no more that comes rarely, each time at another node', () => {
        create()
        let sent = 0
        fleet.run(LENGTH_MS, () => {
          press()
          if (fleet.nowMs % 300 === 299) fleet.call('/harmful-a', (sent++ * 7) % nodeCount)
        })
        const crashes = fleet.crashesAtMs.get('/harmful-a')?.length ?? 0
        assert.ok(crashes >= CRASHES && crashes <= 4, `${crashes} crashes`)
        assert.equal(lateRuns('/harmful-a'), 0)
        assert.deepEqual(refusedHarmless(), [])
      })

      // Guards against harmless requests that are blamed for kills, together or one by one.
      test.it('refuses no harmless request when targets are killed, many at once and in series', () => {
        create({ isHarmful: () => false })
        fleet.run(LENGTH_MS, () => {
          press()
          if (fleet.nowMs % 2_500 === 500 && fleet.nowMs < LENGTH_MS - 5_000) for (let at = 0; at < nodeCount; at++) if (source.nextFloat() < 0.7) fleet.killTarget(at)
          if (fleet.nowMs % 400 === 0 && fleet.nowMs < LENGTH_MS - 5_000) fleet.killTarget(source.nextInt(nodeCount))
        })
        assert.deepEqual(refusedHarmless(), [])
        assert.ok(servedAtEnd() > 0.95, `${servedAtEnd()} served`)
      })
    })
  }
}
