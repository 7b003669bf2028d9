/** Types of roll-outs of a new version of a service. */
import type * as base from '../base/Types.js'

/** An operator's order to replace the targets of a service by those of another version. */
export interface RolloutOrder {
  readonly service: string
  readonly targetVersion: string
  /** Time from the order within which a good version has to be in use alone. */
  readonly rampMs: base.Millis
  /** Offset of the order in the store. Undefined if it is not known. */
  readonly offset?: number | undefined
  /** Digest of the record, which identifies an order whose offset is not known. */
  readonly digest: string
}

/**
 * Phases in their order. `waiting`: no target of the version has been used yet. `canary`, `quarter`, `half` and `all`: growing shares of the calls.
 * `done` and `rolled-back`: the end, as recorded in the store.
 */
export const PHASES = ['waiting', 'canary', 'quarter', 'half', 'all', 'done', 'rolled-back'] as const
export type RolloutPhase = (typeof PHASES)[number]

/** What a node knows of a roll-out. */
export interface RolloutState {
  readonly order: RolloutOrder
  readonly phase: RolloutPhase
  /** Share of the calls that targets of the version get. */
  readonly share: number
  /** The version is known to be bad and gets no calls, whatever the phase. */
  readonly isBad: boolean
  /** The store has the status `running` of this order. */
  readonly isRecorded: boolean
  /** The order was already in the store when it was first read, so that it may have ended before. */
  readonly isPast: boolean
  /** Time of the order on the clock of this node, as far as it is known. */
  readonly orderedAtMs: base.Millis
}

/** Answers of some targets to the calls of one class. */
export interface ClassSums {
  readonly answers: number
  /** Answers that are errors, and runs without an answer. */
  readonly bad: number
  /** Sum of the times of the answers that are counted in `times`. */
  readonly timeMs: base.Millis
  /** Number of answers by time; see `VersionHealth.bucketOf`. Answers of targets that have just started are left out. */
  readonly times: readonly number[]
}

/** Sums by class of calls, which is the name of their route. */
export type VersionSums = ReadonlyMap<string, ClassSums>

/** What a host has counted since an order for its service. */
export interface HostHealth {
  readonly nodeId: base.NodeId
  readonly service: string
  /** Identifies the order; see `RolloutPlan.keyOf`. */
  readonly orderKey: string
  /** Increases with each report of a node, also over its restarts. */
  readonly sequence: number
  /** Version of the target beside the host. Undefined if it is not known. */
  readonly softwareVersion?: string | undefined
  /** Phase that the host knows, and so enforces. */
  readonly phase: RolloutPhase
  /** Calls that are on the target. */
  readonly running: number
  readonly sums: VersionSums
}

/** `unknown`: there are too few answers. */
export type HealthVerdict = 'good' | 'bad' | 'unknown'

/** Which targets of a service a call may be sent to. */
export interface VersionChoice {
  readonly version: string
  /** Whether targets of `version` are chosen; else those of other versions. */
  readonly isWanted: boolean
  /** Whether other targets must not be used even if there is no target of the choice. */
  readonly isOnly: boolean
  /** Versions of earlier orders that have not completed, and may be bad. */
  readonly avoided: readonly string[]
}
