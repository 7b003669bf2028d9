/** Types of the goodput benchmark. */

export type Fault = 'none' | 'killed' | 'slow' | 'fails-fast' | 'hangs'

/** `baseline-patient` gives each attempt the whole deadline instead of a third of it. */
export type PolicyName = 'elmpost' | 'baseline' | 'baseline-patient'

export type InstitutionName = 'kartuli' | 'lakeshore'

/** Route of a service with its share of the service's calls. */
export interface BenchRoute {
  readonly method: string
  readonly path: string
  readonly idempotent: boolean
  readonly share: number
}

export interface BenchService {
  readonly name: string
  readonly workers: number
  readonly slots: number
  readonly connections: number
  readonly meanServiceMs: number
  readonly routes: readonly BenchRoute[]
}

export interface BenchInstitution {
  readonly name: InstitutionName
  readonly zones: readonly string[]
  /** One-way delays. */
  readonly zoneDelayMs: number
  readonly clientDelayMs: number
  /** Time that a caller waits for its answer. */
  readonly deadlineMs: number
  /** Longest expected wait in a target's queue: `maxQueueMs` of the routes. */
  readonly maxQueueMs: number
  readonly services: readonly BenchService[]
}

export interface RunOptions {
  readonly institution: BenchInstitution
  readonly policy: PolicyName
  readonly fault: Fault
  /** Offered load as a multiple of the capacity of the slots. */
  readonly load: number
  readonly warmUpMs: number
  readonly measureMs: number
  readonly seed: number
}

/** How a call ended for its caller. */
export type CallEnd = 'answered' | 'failed' | 'refused' | 'unknown'

/** One call of a caller. */
export interface ClientCall {
  readonly service: BenchService
  readonly route: BenchRoute
  readonly startedAtMs: number
  sends: number
  /** Number of times that a target started to run the call. */
  runs: number
  ended: boolean
}
