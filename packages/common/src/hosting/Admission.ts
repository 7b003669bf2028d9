import type * as base from '../base/Types.js'
import * as queues from './DeadlineQueue.js'
import * as serviceTimes from './ServiceTimes.js'
import type * as types from './Types.js'

/** A hint below this would make callers retry in a tight loop. */
const MIN_RETRY_AFTER_MS = 50

/**
 * A call is admitted if it can wait this many times the expected time. At 1, every hundredth refusal at twice the
 * capacity came only after the whole queue time, because service times vary.
 */
const WAIT_MARGIN = 1.5

export interface AdmissionOptions {
  /** Assumed until the first answer; a low value admits calls that a measured one would refuse. */
  readonly initialServiceMs: base.Millis
}

/** Calls that a target can run at the same time. */
export interface TargetCapacity {
  readonly slots: number
  readonly connections: number
}

/** Limits of the target that apply to one decision. */
export interface TargetLimits extends TargetCapacity {
  readonly maxQueueMs: base.Millis
}

export type AdmissionVerdict =
  | { readonly kind: 'admitted', readonly latestStartMs: base.Millis }
  | { readonly kind: 'refused', readonly reason: types.OutcomeReason, readonly retryAfterMs: base.Millis }

/** Counts calls on the target and in its queue, and admits a call only if it can start in time. */
export class Admission {
  public readonly queue = new queues.DeadlineQueue()
  public readonly serviceTimes: serviceTimes.ServiceTimes
  private _inFlight = 0

  constructor (options: AdmissionOptions) {
    this.serviceTimes = new serviceTimes.ServiceTimes(options.initialServiceMs)
  }

  public get inFlight (): number {
    return this._inFlight
  }

  public get meanServiceMs (): base.Millis {
    return this.serviceTimes.meanMs
  }

  /** Whether every slot is taken. */
  public isFull (limits: TargetCapacity): boolean {
    return this._inFlight >= width(limits)
  }

  /** Whether a call would have to wait. Each running call uses one connection. */
  public isBusy (limits: TargetCapacity): boolean {
    return this._inFlight + this.queue.size >= width(limits)
  }

  public decide (limits: TargetLimits, remainingMs: base.Millis, nowMs: base.Millis): AdmissionVerdict {
    if (remainingMs <= 0) return { kind: 'refused', reason: 'deadline', retryAfterMs: MIN_RETRY_AFTER_MS }
    const waitMs = this.expectedWaitMs(limits)
    const longWaitMs = waitMs * WAIT_MARGIN
    if (waitMs > 0 && (longWaitMs > limits.maxQueueMs || longWaitMs + this.meanServiceMs > remainingMs)) {
      return { kind: 'refused', reason: 'overloaded', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)) }
    }
    // With a free slot the call starts as soon as the process gets to it, which is no time in the queue.
    const latestMs = waitMs === 0 ? remainingMs : Math.min(remainingMs, limits.maxQueueMs)
    return { kind: 'admitted', latestStartMs: nowMs + latestMs }
  }

  /** Wait of a call that arrives now: the calls ahead of it that need a slot first, itself included. */
  public expectedWaitMs (limits: TargetLimits): base.Millis {
    const slots = width(limits)
    const ahead = this._inFlight + this.queue.size + 1 - slots
    return ahead <= 0 ? 0 : ahead * this.meanServiceMs / slots
  }

  public recordStart (runId: number): void {
    this.queue.remove(runId)
    this._inFlight++
  }

  /** `serviceMs` is undefined when the run gave no answer. */
  public recordEnd (serviceMs: base.Millis | undefined): void {
    this._inFlight--
    if (serviceMs !== undefined) this.serviceTimes.record(serviceMs)
  }
}

function width (limits: TargetCapacity): number {
  return Math.max(1, Math.min(limits.slots, limits.connections))
}
