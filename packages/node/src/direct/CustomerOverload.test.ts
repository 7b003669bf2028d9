import * as assert from 'node:assert/strict'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as test from 'node:test'
import * as virtualFleet from './testing/VirtualFleet.js'
import type * as virtualCallers from './testing/VirtualCallers.js'
import type * as virtualLoad from './testing/VirtualLoad.js'

const NODES = 48
const SLOTS = 4
const SPEEDS = [0.7, 0.7, 1.6]
const LENGTH_MS = 8_000
/** Time from which the load has lasted for long enough to be known to all hosts. */
const SETTLED_MS = 2_000
const CUSTOMERS = 80
const PRIORITIES = 3
const WORK_MS = { look: 210, charge: 276 }
const LOOK_SHARE = 0.65

interface Load {
  /** Share of the slots that all calls need. */
  readonly load: number
  readonly customers: readonly virtualLoad.VirtualCustomer[]
}

function customer (name: string, weight: number, change: Partial<virtualLoad.VirtualCustomer['rule']> = {}): virtualLoad.VirtualCustomer {
  return { rule: { name, keys: [name], priority: 1, maxCallsPerS: Infinity, burstCalls: 0, ...change }, weightAt: () => weight }
}

/** Two routes with the same priority. Returns the requests of the settled time. */
function play ({ load, customers }: Load): readonly virtualCallers.VirtualEnd[] {
  const parts = [{ service: 'booking', weight: 1 }]
  const callsPerS = NODES * SLOTS * load * 1000 / (LOOK_SHARE * WORK_MS.look + (1 - LOOK_SHARE) * WORK_MS.charge)
  const fleet = new virtualFleet.VirtualFleet({
    nodes: Array.from({ length: NODES }, () => 'booking'),
    slots: SLOTS,
    routes: [
      { rule: rules.route({ name: 'look', pathPrefix: '/look/', parts, priority: 1, timeoutMs: 2_087, objectiveMs: 835 }), callsPerS: callsPerS * LOOK_SHARE, workMs: WORK_MS.look },
      { rule: rules.route({ name: 'charge', pathPrefix: '/charge/', kind: 'non-idempotent', parts, priority: 1, timeoutMs: 2_607, objectiveMs: 1_043 }), callsPerS: callsPerS * (1 - LOOK_SHARE), workMs: WORK_MS.charge }
    ],
    retryTerms: { ratio: 0.2, slack: 192, windowMs: 10_000 },
    seed: 1,
    lostShare: () => 0,
    topology: { zones: 3, sameZoneMs: 0.5, otherZoneMs: 1 },
    workSpread: 0.6,
    speedOf: at => SPEEDS[at % SPEEDS.length] ?? 1,
    customers,
    callers: { retries: 1, wayMs: 3, patienceSpread: 0.1 }
  })
  fleet.run(LENGTH_MS)
  return fleet.ends.filter(({ beganAtMs }) => beganAtMs > SETTLED_MS)
}

function servedShare (ends: readonly virtualCallers.VirtualEnd[]): number {
  return ends.filter(({ isServed }) => isServed).length / ends.length
}

function percent (share: number): string {
  return `${(100 * share).toFixed(1)} %`
}

test.describe('A fleet that is overloaded by its customers', () => {
  for (const load of [1.5, 2]) {
    test.describe(`at ${load} times its capacity, with customers of three priorities`, () => {
      const customers = Array.from({ length: CUSTOMERS }, (_, at) => customer(`c${at}`, 1 / (at + 1) ** 1.2, { priority: at % PRIORITIES }))
      let byPriority: readonly number[]
      let all: number

      test.before(() => {
        const ends = play({ load, customers })
        const priorityOf = (name = ''): number => Number(name.slice(1)) % PRIORITIES
        byPriority = [0, 1, 2].map(priority => servedShare(ends.filter(end => priorityOf(end.customer) === priority)))
        all = servedShare(ends)
      })

      // Guards against calls of urgent customers that are served less often than those of others.
      test.it('serves urgent customers most often', () => {
        assert.ok(byPriority.every((share, priority) => priority === 0 || share < (byPriority[0] ?? 0)), byPriority.map(percent).join(', '))
      })

      // Guards against customers that get nothing while more urgent ones are in use.
      test.it('serves no priority less than half as often as all', () => {
        for (const share of byPriority) assert.ok(share >= all / 2, `${byPriority.map(percent).join(', ')} of ${percent(all)}`)
      })
    })
  }

  // Guards against a customer that takes the capacity of others by sending more, at equal priorities and without limits.
  test.it('serves a customer with little load as if the heavy one beside it were not there', () => {
    const ends = play({ load: 1650 / 800, customers: [customer('heavy', 1500), customer('light', 150)] })
    const light = servedShare(ends.filter(end => end.customer === 'light'))
    assert.ok(light > 0.98, percent(light))
  })
})
