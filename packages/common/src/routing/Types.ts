/** Shapes of calls on the entry side. */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as hosting from '../hosting/Types.js'

/** A call as a caller sent it to this node. */
export interface EntryRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  /** Remaining time that the caller gave, or undefined. */
  readonly remainingMs: base.Millis | undefined
  readonly key: string | undefined
  readonly depth: number
  readonly attempt: number
}

/** What the entry node does next with a call. */
export type EntryDecision =
  | { readonly kind: 'send', readonly callId: number, readonly to: base.NodeId, readonly address: string, readonly attempt: number, readonly deadlineAtMs: base.Millis, /** Arrival of the call, or time of issue of the key that replaced another. */ readonly sentAtMs: base.Millis, readonly route: config.RouteConfig, readonly version: number, readonly key: string | undefined, readonly fingerprint: string, /** What this node knows of crashes by the fingerprint, for the host. */ readonly crashes?: readonly hosting.CrashRecord[] }
  | { readonly kind: 'answer', readonly callId: number, readonly answer: hosting.FinalAnswer }

/** A service and the zones in which its targets may be used, as one configuration states them. */
export interface ServiceTargets {
  readonly config: config.ServiceConfig
  readonly zones: ReadonlySet<string>
  readonly zonePreference: config.ZonePreference
}

/** How a send to a target ended, for load and ejection. */
export type SendResult =
  | 'success'
  | 'failure'
  /** The target or its host turned the call away; it counts as full for a moment. */
  | 'refused'
  /** The end tells nothing about the target, for example because the caller left. */
  | 'neutral'

/** Why a send did not bring an answer. */
export type SendFailure =
  /** The message was never written to the peer's connection. */
  | 'not-sent'
  /** The connection was lost after the message was written. */
  | 'peer-lost'
  /** The deadline passed while waiting. */
  | 'deadline'
