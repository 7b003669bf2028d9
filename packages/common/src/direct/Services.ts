/** What a node that carries direct calls shows of itself. */
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Who made a call: a client, or the target beside the node in one of its runs, as far as the id of the call tells. */
export type CallOrigin = 'client' | 'target'

/** `late`: after the objective of the route, counted from the first request of the caller. `error`: the target answered with a 5xx status. */
export type CallResult = 'on-time' | 'late' | 'error' | 'not-run' | 'unknown'

/** A call has its final answer. */
export interface CallMeasured {
  readonly outcome: 'answered' | 'not-run' | 'unknown'
  readonly result: CallResult
  readonly origin: CallOrigin
  /** Priority of the route; undefined if no route was found. */
  readonly priority: number | undefined
  /** `ok` for an answer of a target. */
  readonly reason: string
  /** From the whole request to the answer. */
  readonly totalMs: base.Millis
  /** Hosts that the call was sent to. */
  readonly sends: number
}

export interface DirectGauges {
  readonly version: number
  readonly isReady: boolean
  /** Calls that entered here and have no final answer. */
  readonly entryInFlight: number
  readonly load: types.TargetLoad
  readonly state: types.TargetState
  readonly knownNodes: number
  readonly connectedNodes: number
  readonly storeAgeMs: base.Millis
}

export interface IDirectView {
  readonly nodeName: string
  readonly zone: string
  readonly onCallEnded: base.IEvent<CallMeasured>
  readonly onRetry: base.IEvent<types.RetryDecided>
  gauges(): DirectGauges
}
