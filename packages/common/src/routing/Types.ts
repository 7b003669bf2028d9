/** Types of calls on the entry side. */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as hosting from '../hosting/Types.js'

/** A call as received from a caller. */
export interface EntryRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  /** Remaining time given by the caller, or undefined. */
  readonly remainingMs: base.Millis | undefined
  readonly key: string | undefined
  readonly depth: number
  readonly attempt: number
}

/** Next action of the entry node for a call. */
export type EntryDecision =
  | { readonly kind: 'send', readonly callId: number, readonly to: base.NodeId, readonly address: string, readonly attempt: number, readonly deadlineAtMs: base.Millis, /** Arrival of the call, or issue time of a key that replaced an earlier key. */ readonly sentAtMs: base.Millis, readonly route: config.RouteConfig, readonly version: number, readonly key: string | undefined, readonly fingerprint: string, /** Crash records of the fingerprint that this node knows, for the host. */ readonly crashes?: readonly hosting.CrashRecord[] }
  | { readonly kind: 'answer', readonly callId: number, readonly answer: hosting.FinalAnswer }

/** A service and the zones in which its targets may be used, from one configuration. */
export interface ServiceTargets {
  readonly config: config.ServiceConfig
  readonly zones: ReadonlySet<string>
  readonly zonePreference: config.ZonePreference
}

/** Result of a send to a target, for load and ejection. */
export type SendResult =
  | 'success'
  | 'failure'
  /** The target or its host refused the call; the target counts as full for 100 ms. */
  | 'refused'
  /** The result says nothing about the target, for example because the caller disconnected. */
  | 'neutral'

/** Reason why a send brought no answer. */
export type SendFailure =
  /** The message was never written to the peer's connection. */
  | 'not-sent'
  /** The connection was lost after the message was written. */
  | 'peer-lost'
  /** The deadline passed while waiting. */
  | 'deadline'
