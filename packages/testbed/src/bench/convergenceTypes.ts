/** Results of the convergence benchmark. */
import type * as config from '@elmpost/common/config/Types.js'
import type * as distributionTypes from '@elmpost/common/distribution/Types.js'

export type BenchStrategy = distributionTypes.DistributionStrategy | 'hybrid-bytes' | 'every-node-polls'

/** Form of the proposals: that of `elmpost apply`, or always the whole document. */
export type ProposalForm = 'apply' | 'whole'

export interface CaseSpec {
  readonly size: number
  readonly strategy: BenchStrategy
  readonly seed: number
  readonly proposals: ProposalForm
  readonly deadRatios: readonly number[]
  /** Whether CPU, control traffic and log traffic are measured as well. */
  readonly withBytes: boolean
  readonly withDetection: boolean
  /** Number of nodes that are killed one after the other for each kind of failure. */
  readonly detectionKills: number
  readonly withRestart: boolean
}

export interface ConvergenceFigures {
  readonly deadRatio: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Time until the last live node enforces the version; undefined if some did not within the limit. */
  readonly lastMs: number | undefined
  readonly unreached: number
  /** Bytes of configuration messages, sent and received, per node. */
  readonly bytesPerNode: number
}

export interface TrafficFigures {
  /** Bytes sent and received per node and second. */
  readonly meanBytesPerS: number
  readonly maxBytesPerS: number
  readonly messagesPerS: number
}

/** Traffic of the stream `config` of the log, as JSON without HTTP headers. */
export interface LogFigures {
  readonly bytesPerChange: number
  /** Number of nodes that received records from the log. */
  readonly readers: number
  readonly bytesPerReaderS: number
}

export interface DetectionFigures {
  readonly killed: number
  /** Time until the first live node suspects the killed one: the wait for a probe and the time-outs of the probes. */
  readonly firstSuspectP50Ms: number
  readonly firstSuspectMaxMs: number
  readonly firstDeadP50Ms: number
  readonly firstDeadMaxMs: number
  /** Time until all live nodes have marked the killed one as dead. */
  readonly allDeadP50Ms: number
  readonly allDeadMaxMs: number
}

export interface RestartFigures {
  readonly allEnforceMs: number | undefined
  readonly logReads: number
  readonly peakLogReadsPerS: number
  readonly recordsRead: number
  /** Bytes sent and received by the busiest node in its busiest second. */
  readonly peakNodeBytesPerS: number
  readonly meanNodeBytes: number
}

export interface CaseResult {
  readonly size: number
  readonly strategy: BenchStrategy
  readonly preference: config.DistributionPreference
  readonly documentBytes: number
  readonly convergence: readonly ConvergenceFigures[]
  readonly idle?: TrafficFigures
  readonly loaded?: TrafficFigures
  /** Measured together with `loaded`. */
  readonly log?: LogFigures
  /** Processor time per node and second without changes, including the simulated network. */
  readonly cpuMsPerNodeS?: number
  /** The VM fails, and no peer gets a connection error. */
  readonly detection?: DetectionFigures
  /** The process is killed, and the connections of 3 peers to it close. */
  readonly detectionConnected?: DetectionFigures
  readonly restart?: RestartFigures
  readonly wallS: number
  readonly peakRssMb: number
}

export interface MicroFigures {
  readonly size: number
  /** Heap of one member table that shares no rows. */
  readonly memberTableMb: number
  /** Heap of one document. */
  readonly documentMb: number
  /** Processor time to apply one delta and enforce it. */
  readonly applyMs: number
}
