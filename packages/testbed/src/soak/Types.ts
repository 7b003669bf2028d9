import type * as faultPlan from './FaultPlan.js'

export interface SoakOptions {
  readonly seed: number
  readonly nodeCount: number
  readonly lengthMs: number
  readonly faultCount: number
  /** The bundled program. */
  readonly program: string
  /** For settings files. */
  readonly folder: string
}

export interface SoakResult {
  readonly seed: number
  readonly faults: readonly faultPlan.Fault[]
  readonly calls: number
  readonly answered: number
  /** Answers by status, those without one as 0. */
  readonly statuses: ReadonlyMap<number, number>
  /** Violated guarantees, one line each. */
  readonly problems: readonly string[]
  /** Last log lines of each node, if a guarantee was violated. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}
