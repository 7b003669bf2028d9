import * as random from '@elmpost/common/base/Random.js'

/**
 * Faults injected from outside the processes. `kill`, `stop`, `pause` and `reload` signal a node; `links`, `store-link` and
 * `target-link` disturb the connections of one node; `store` disturbs the store for all nodes; `target-leaves` and
 * `target-crashes` end the target beside a node; `target-limits-rate` and `target-signals-leaving` make it state this in its
 * answers, and the second ends it afterwards; `store-returns` makes the store lose what it got in the time of the fault;
 * `configure` publishes a new configuration. `starve` gives all processes half of the processor; `readers-lose-store` cuts half of the
 * nodes off from the store, and `herd-restart` kills most of them under more load, both with a new configuration just after.
 */
export type FaultKind =
  | 'kill' | 'stop' | 'pause' | 'reload' | 'links' | 'store-link' | 'target-link' | 'store' | 'target-leaves' | 'target-crashes' | AddedKind | FleetKind | 'configure'

export type FleetKind = 'starve' | 'readers-lose-store' | 'herd-restart'

type AddedKind = 'target-limits-rate' | 'target-signals-leaving' | 'store-returns'

/** Fault that a relay injects into connections. `one-way` drops only the data that the caller sends. */
export type LinkFault = 'delay' | 'reset' | 'silent' | 'one-way'

export type StoreFault = 'down' | 'silent' | 'lost'

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly durationMs: number
  /** Index of the node in the fleet. */
  readonly node: number
  readonly link: LinkFault
  readonly store: StoreFault
  /** Calls a second. */
  readonly limit: number
}

export interface FaultPlanOptions {
  readonly seed: number
  readonly nodeCount: number
  readonly lengthMs: number
  readonly faultCount: number
}

/** Each kind is listed as often as its weight says. */
const KINDS: readonly FaultKind[] = [
  'kill', 'kill', 'stop', 'stop', 'pause', 'reload', 'links', 'links', 'store-link', 'target-link', 'store', 'store', 'target-leaves',
  'target-crashes', 'configure', 'configure', 'configure'
]
const ADDED_KINDS: readonly AddedKind[] = ['target-limits-rate', 'target-limits-rate', 'target-signals-leaving', 'store-returns']
/** Faults of many nodes at once. */
const FLEET_KINDS: readonly FleetKind[] = ['starve', 'readers-lose-store', 'herd-restart']
/** Faults for each one of many nodes. */
const FAULTS_PER_FLEET_FAULT = 5
const FLEET_SEED = 0xf1ee7
const LIMITS = [0, 0.5, 2, 6, 12]
/** Faults for each one that is added to them. */
const FAULTS_PER_ADDED = 3
/** The bound of a limit holds from 3 s after it was advertised, for windows of 4 s. */
const MIN_ADDED_MS = 4_000
const MAX_ADDED_MS = 10_000
/** Added faults have their own random numbers, so that the other faults of a seed stay the same. */
const ADDED_SEED = 0x5eed
const LINK_FAULTS: readonly LinkFault[] = ['delay', 'reset', 'silent', 'one-way']
const STORE_FAULTS: readonly StoreFault[] = ['down', 'silent', 'lost']
const MIN_DURATION_MS = 300
const MAX_DURATION_MS = 5_000
/** Share of the faults that are injected into several nodes in turn. */
const SERIES_SHARE = 0.3
const MAX_SERIES_LENGTH = 3
const MAX_GAP_MS = 1_200

/** Returns the faults of one run, ordered by time. The same seed gives the same plan. Faults may overlap. */
export function createFaultPlan (options: FaultPlanOptions): readonly Fault[] {
  const { seed, nodeCount, lengthMs, faultCount } = options
  const generator = new random.Random(seed)
  const faults: Fault[] = []
  while (faults.length < faultCount) {
    const first: Fault = {
      kind: pick(KINDS, generator),
      atMs: generator.nextInt(lengthMs),
      durationMs: MIN_DURATION_MS + generator.nextInt(MAX_DURATION_MS - MIN_DURATION_MS),
      node: generator.nextInt(nodeCount),
      link: pick(LINK_FAULTS, generator),
      store: pick(STORE_FAULTS, generator),
      limit: 0
    }
    const steps = generator.nextFloat() < SERIES_SHARE ? 2 + generator.nextInt(MAX_SERIES_LENGTH - 1) : 1
    const gapMs = generator.nextInt(MAX_GAP_MS)
    for (let step = 0; step < steps; step++) {
      faults.push({ ...first, atMs: Math.min(lengthMs, first.atMs + step * gapMs), node: (first.node + step) % nodeCount })
    }
  }
  return [...faults, ...createAdded(options), ...createFleetFaults(options)].sort((one, other) => one.atMs - other.atMs)
}

function createFleetFaults ({ seed, nodeCount, lengthMs, faultCount }: FaultPlanOptions): Fault[] {
  const generator = new random.Random(seed ^ FLEET_SEED)
  return Array.from({ length: Math.ceil(faultCount / FAULTS_PER_FLEET_FAULT) }, () => ({
    kind: pick(FLEET_KINDS, generator),
    atMs: generator.nextInt(lengthMs),
    durationMs: MIN_DURATION_MS + generator.nextInt(MAX_DURATION_MS - MIN_DURATION_MS),
    node: generator.nextInt(nodeCount),
    link: 'silent' as const,
    store: 'down' as const,
    limit: 0
  }))
}

function createAdded ({ seed, nodeCount, lengthMs, faultCount }: FaultPlanOptions): Fault[] {
  const generator = new random.Random(seed ^ ADDED_SEED)
  return Array.from({ length: Math.ceil(faultCount / FAULTS_PER_ADDED) }, () => ({
    kind: pick(ADDED_KINDS, generator),
    atMs: generator.nextInt(lengthMs),
    durationMs: MIN_ADDED_MS + generator.nextInt(MAX_ADDED_MS - MIN_ADDED_MS),
    node: generator.nextInt(nodeCount),
    link: pick(LINK_FAULTS, generator),
    store: 'down' as const,
    limit: pick(LIMITS, generator)
  }))
}

function pick<T> (values: readonly T[], generator: random.Random): T {
  return values[generator.nextInt(values.length)] as T
}
