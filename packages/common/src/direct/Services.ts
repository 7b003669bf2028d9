/** What a node that carries direct calls exposes to metrics. */
import type * as base from '../base/Types.js'
import type * as rolloutTypes from './RolloutTypes.js'
import type * as slotUse from './SlotUse.js'
import type * as types from './Types.js'

/** Who made a call: a client, or the target beside the node (a nested call), as far as the call's id shows it. */
export type CallOrigin = 'client' | 'target'

/** `late`: after the objective of the route, counted from the first request of the caller. `error`: the target answered with a 5xx status. */
export type CallResult = 'on-time' | 'late' | 'error' | 'not-run' | 'unknown'

/** Measurements of a call that has its final answer. */
export interface CallMeasured {
  readonly outcome: 'answered' | 'not-run' | 'unknown'
  readonly result: CallResult
  readonly origin: CallOrigin
  /** Priority of the route; undefined if no route was found. */
  readonly priority: number | undefined
  /** `ok` if a target answered. */
  readonly reason: string
  /** From receipt of the complete request to the answer. */
  readonly totalMs: base.Millis
  /** Number of hosts that the call was sent to. */
  readonly sends: number
}

/** Grants for calls of customers with limits, since the start of the process. */
export interface GrantCounts {
  /** Requests for grants that this node has sent to issuers, itself included. */
  readonly requested: number
  /** Grants that it has received. */
  readonly received: number
  /** Grants that it has issued, to itself included. */
  readonly issued: number
  /** Calls refused because their customer was over its limit. */
  readonly refused: number
}

export interface DirectGauges {
  readonly version: number
  readonly isReady: boolean
  /** Calls that entered the mesh at this node and have no final answer yet. */
  readonly entryInFlight: number
  readonly load: types.TargetLoad
  /** What the slots of the target beside the node have been used for since its process started. */
  readonly slotTimes: slotUse.SlotTimes
  readonly state: types.TargetState
  /** Calls that have been sent to the target beside the node. */
  readonly targetCalls: number
  /** Unexpected ends of the target beside the node since its process started. */
  readonly targetCrashes: number
  /** Requests a second that the target says it takes; Infinity if it advertises no rate limit. */
  readonly targetLimitPerS: number
  /** Bytes of messages on links to other nodes since the start of the process, by kind of message. */
  readonly linkBytes: Readonly<Record<'sent' | 'received', Readonly<Record<string, number>>>>
  readonly knownNodes: number
  readonly connectedNodes: number
  readonly storeAgeMs: base.Millis
  /** How long a connection of a caller that is accepted now may have waited. */
  readonly acceptWaitMs: base.Millis
  /** Bytes of bodies of callers that are being received, or whose requests have no answer yet. */
  readonly bodyBytes: number
  readonly connections: ConnectionGauges
  /** Time since another node is known to enforce a newer version. */
  readonly behindMs: base.Millis
  readonly grants: GrantCounts
  /** Since the version in force is known to have been the newest one; Infinity if it is not known. */
  readonly confirmedAgeMs: base.Millis
  /** Newest order of each service, as the node knows it. */
  readonly rollouts: readonly rolloutTypes.RolloutState[]
  /** Whether the node takes the decisions on open orders. */
  readonly drivesRollouts: boolean
}

/** Connections to the servers of the process, and what they hold memory for. */
export interface ConnectionGauges {
  readonly heldBytes: number
  /** Connections from which nothing is read, because of what they hold. */
  readonly paused: number
  /** Connections that were closed because of a limit, by reason. */
  readonly closed: Readonly<Record<string, number>>
}

export interface IDirectView {
  readonly nodeName: string
  readonly zone: string
  readonly onCallEnded: base.IEvent<CallMeasured>
  readonly onRetry: base.IEvent<types.RetryDecided>
  gauges(): DirectGauges
}
