/** Types of the configuration document, of the records that contain it, and of the verdicts on these records. */
import type * as base from '../base/Types.js'

/** A service of the institution. Slots and connections are limits for each of its targets. */
export interface ServiceConfig {
  readonly name: string
  /** Calls that one target runs at the same time. */
  readonly slots: number
  /** Connections that one target accepts. */
  readonly connections: number
  /** Time over which the share of a target that has just started rises to its full value. */
  readonly coldStartMs: base.Millis
}

/** Zones in which a service may be offered. Addresses come from announcements. */
export interface TargetRule {
  readonly service: string
  readonly zones: readonly string[]
}

export interface RouteMatch {
  /** HTTP method, or `*` for every method. */
  readonly method: string
  readonly pathPrefix: string
}

export interface RouteConfig {
  readonly name: string
  readonly match: RouteMatch
  readonly service: string
  readonly idempotent: boolean
  readonly timeoutMs: base.Millis
  readonly retry: { readonly maxAttempts: number }
  readonly limits: { readonly maxQueueMs: base.Millis, readonly maxBodyBytes: number }
}

export type ZonePreference = 'local-first' | 'any'

export type DistributionPreference = 'convergence-time' | 'control-bytes'

export interface DistributionTerms {
  readonly preference: DistributionPreference
  readonly pushFanout: number
  readonly gossipIntervalMs: base.Millis
}

/** Terms of the institution for draining, retries, ownership and distribution. */
export interface Terms {
  readonly drainMs: base.Millis
  /** Retries allowed per first attempt, 0 to 1. */
  readonly retryBudgetRatio: number
  readonly zonePreference: ZonePreference
  readonly ownershipHorizonMs: base.Millis
  readonly keyRetentionMs: base.Millis
  readonly distribution: DistributionTerms
}

/** The declarative file that operators apply as a whole. */
export interface ConfigDocument {
  readonly institution: string
  readonly services: readonly ServiceConfig[]
  readonly targets: readonly TargetRule[]
  readonly routes: readonly RouteConfig[]
  readonly terms: Terms
}

/** A document together with its place in the sequence of accepted versions. */
export interface AcceptedState {
  readonly version: number
  /** SHA-256 of the canonical JSON of `document`. */
  readonly digest: string
  readonly rulesVersion: number
  readonly document: ConfigDocument
  /**
   * The state was in force after every record up to and including this offset of the `config` stream.
   * Without it the state can be enforced, but later records cannot be judged against it.
   */
  readonly asOfOffset?: number
}

/** Fields of every proposal, whether it holds a whole document or a patch. */
export interface ProposalEnvelope {
  readonly kind: 'proposal'
  readonly proposalId: string
  readonly version: number
  readonly baseVersion: number
  readonly baseDigest: string
  /** SHA-256 of the canonical JSON of the proposed document. */
  readonly digest: string
  readonly rulesVersion: number
  readonly author: string
  readonly proposedAtMs: base.Millis
}

export interface ProposalRecord extends ProposalEnvelope {
  readonly document: ConfigDocument
}

/** A proposal whose document is given as a JSON Patch against the document of its base. */
export interface DeltaProposalRecord extends ProposalEnvelope {
  /** Present as null: software that knows only rule set 1 treats a record without a document as malformed and would continue to judge later records. */
  readonly document: null
  /** `add`, `remove` and `replace` operations of RFC 6902. */
  readonly patch: readonly unknown[]
}

/**
 * The accepted state, appended again before the log drops the record that produced it.
 * There may be a newer proposal between `asOfOffset` and the snapshot, so a reader that starts here
 * judges all records after `asOfOffset` against this state, not only those after the snapshot.
 */
export interface SnapshotRecord {
  readonly kind: 'snapshot'
  readonly version: number
  readonly digest: string
  readonly rulesVersion: number
  readonly asOfOffset: number
  readonly document: ConfigDocument
}

export type ConfigRecord = ProposalRecord | DeltaProposalRecord | SnapshotRecord

/** A record of any log stream as the log service returns it. `data` is not yet checked. */
export interface LogRecord {
  readonly offset: number
  readonly data: unknown
}

export type VerdictKind =
  | 'accepted'
  | 'duplicate'
  | 'conflict'
  | 'invalid'
  | 'too-large'
  | 'unsupported-rules'
  | 'stale-snapshot'
  | 'snapshot-adopted'
  /** The log has dropped earlier records, and no snapshot or peer state covers them yet. */
  | 'not-judged'

/** The judgement on one record. The same prefix of the log gives the same verdicts on every node. */
export interface Verdict {
  readonly kind: VerdictKind
  readonly offset: number
  readonly proposalId?: string
  /** The version that the record asked for, or the version in force when it has none. */
  readonly version: number
  readonly reason: string
}

export type ProblemKind = 'schema' | 'reference' | 'too-large' | 'unsupported-rules'

/** One fault of a document. */
export interface ConfigProblem {
  readonly kind: ProblemKind
  /** JSON pointer to the offending value. */
  readonly pointer: string
  readonly message: string
  /** What the operator should change. */
  readonly remedy: string
}

/** An update from one version to another, checked by digests on both ends. */
export interface ConfigDeltaMessage {
  readonly version: number
  readonly rulesVersion: number
  readonly baseVersion: number
  readonly baseDigest: string
  readonly digest: string
  /** Copied from the state that the update leads to. */
  readonly asOfOffset?: number
  /** RFC 6902 JSON Patch against the base document. */
  readonly patch: readonly unknown[]
}
