/** Types of a node that carries direct calls. */
import type * as base from '@elmpost/common/base/Types.js'
import type * as blockBody from '../BlockBody.js'
import type * as direct from '@elmpost/common/direct/Types.js'

/** Alternating names and values of headers, as received. */
export type RawHeaders = readonly string[]

/** A request that an entry node passes to a host node. */
export interface CallMessage {
  readonly callId: number
  readonly service: string
  readonly isIdempotent: boolean
  readonly priority: number
  readonly remainingMs: base.Millis
  readonly objectiveMs: base.Millis
  /** Time that the caller has waited, including its earlier requests that were refused. */
  readonly elapsedMs: base.Millis
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: RawHeaders
  readonly body: blockBody.Body | undefined
  /** Whether an earlier send of the call reached a target or may have, or the call is nested in a run that is a retry. */
  readonly isRetry: boolean
  /** Whether the body may be sent when the host requests it. Only for the link to the host. */
  readonly mayOfferBody?: boolean
  /** When the entry node wrote the call, on its monotonic clock; set by the link. Undefined from a node of an earlier version. */
  readonly sentAtMs?: base.Millis
  /** Crashes that the request took part in, for a host that may not know of them. */
  readonly crashes?: readonly direct.CrashReport[] | undefined
}

/** Complete answer of a target. */
export interface TargetAnswer {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Uint8Array | undefined
  /** Whether the target gave no length, so that it is not known whether the body is complete. */
  readonly isUnframed: boolean
}

/** How a call ended at the node beside the target. */
export type HostResult =
  | { readonly kind: 'answered', readonly answer: TargetAnswer }
  | { readonly kind: 'refused', readonly refusal: direct.HostRefusal }
  | { readonly kind: 'failed', readonly reason: direct.FailureReason }

/** How an exchange with the target ended. */
export type RunResult =
  | { readonly kind: 'answered', readonly answer: TargetAnswer, readonly serviceMs: base.Millis }
  /** The target stated that it did not run the request. */
  | { readonly kind: 'declined', readonly status: number, readonly targetId: string | undefined }
  /** Nothing was written, because no connection could be opened. */
  | { readonly kind: 'unreachable', readonly code: string }
  /** Nothing was written, because this side aborted the request before. */
  | { readonly kind: 'withdrawn' }
  | { readonly kind: 'failed', readonly reason: direct.FailureReason, readonly detail: string }

/** Answer of the target to a health check. */
export interface TargetHealth {
  readonly isHealthy: boolean
  readonly targetId: string | undefined
  readonly notice: direct.TargetNotice
}

/** Values from the headers of a caller's request. */
export interface CallerRequestInfo {
  readonly requestId: string
  readonly remainingMs: base.Millis | undefined
  /** Key of the customer. Undefined if the request bears none, or more than one. */
  readonly customerKey?: string | undefined
}

/** Values from the headers of a target's answer. */
export interface TargetAnswerInfo {
  readonly requestId: string | undefined
  /** Whether the target states that it did not run the request. */
  readonly isDeclined: boolean
  /** Whether the answer bears the header by which targets mark their answers. */
  readonly isMarked: boolean
  readonly targetId: string | undefined
  /** Whether another target has the address now and answered in place of the expected one. */
  readonly isFromOther: boolean
}

/** A configuration and the bytes from which it was decoded. */
export interface StoredRules {
  readonly rules: direct.MeshRules
  readonly bytes: Uint8Array
}

/** Record of a topic that keeps the newest record of each key. */
export interface KeyedRecord {
  readonly key: string
  /** Undefined if the key was deleted. */
  readonly value: Buffer | undefined
  /** Undefined if the store does not tell it. */
  readonly offset?: number | undefined
}

export type NewestResult =
  | { readonly kind: 'records', readonly records: readonly KeyedRecord[], readonly nextOffset: number }
  | { readonly kind: 'unavailable', readonly problem: string }

export type ReadResult = NewestResult | { readonly kind: 'compacted' }

/** `moved`: nothing was written, because the topic does not end at the expected offset. `unknown`: the record may have been written, or may be written later. */
export type PutResult = { readonly kind: 'written' } | { readonly kind: 'moved', readonly problem: string } | { readonly kind: 'refused' | 'unknown', readonly problem: string }

/** Settings of a node that carries direct calls. */
export interface DirectSettings {
  readonly nodeName: string
  readonly zone: string
  readonly service: string
  /** `host:port` of the target beside the node. */
  readonly targetAddress: string
  /** `host:port` for callers. */
  readonly callerAddress: string
  /** `host:port` for other nodes; it is also the node's id. */
  readonly peerAddress: string
  /** `host:port` to listen on for other nodes; differs from `peerAddress` if they connect through a relay. */
  readonly peerListenAddress: string
  /** Capacity of the VM's link, in Mbit/s; 0 if it is not known. */
  readonly linkMbps: number
  /** Peer addresses of nodes to connect to at the start; they need not be reachable. */
  readonly seeds: readonly string[]
  /** Longest time from a stop signal until the process must have exited. */
  readonly graceMs: base.Millis
  /** Whether the whole fleet starts for the first time, so that the store has no records of earlier processes. */
  readonly isFirstStart: boolean
  readonly retryTerms: direct.RetryTerms
  readonly customerLimitTerms: direct.CustomerLimitTerms
  readonly rolloutTerms: direct.RolloutTerms
}
