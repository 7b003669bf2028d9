import type * as base from '../base/Types.js'
import * as callLimiter from './CallLimiter.js'
import * as customerShares from './CustomerShares.js'
import * as serviceTimes from '../hosting/ServiceTimes.js'
import type * as types from './Types.js'

/** Mean time of a call on the target, assumed before the first call arrives. */
const INITIAL_SERVICE_MS = 50
/** A queued call is dropped when the time left is less than this share of its expected time on the target. */
const USEFUL_SHARE = 0.5
/** Least urgent calls that will be late are accepted while the wait is at most this share of a call's time on the target. */
const LATE_WAIT_SHARE = 0.25
/**
 * The least urgent calls are queued only if they are expected to end this many mean deviations before their objective.
 * Without it the queue grows until an accepted call is expected to end just in time, and about half of them are late.
 */
const ON_TIME_DEVIATIONS = 3
/** An overload counts as caused by customers that use more than their part for this time after one of their calls arrived. */
const EXCESS_MS = 500
/** A priority counts as in use for this time after its last call. */
const PRIORITY_IN_USE_MS = 5_000

/** A call that waits for a slot of the target or holds one. */
export interface SlotCall {
  readonly id: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedAtMs: base.Millis
  readonly deadlineAtMs: base.Millis
  /** Until when an answer is on time; in the past if the caller was refused before and retried too late. */
  readonly objectiveAtMs: base.Millis
  /** A run of a target waits for the call, and occupies a slot meanwhile. */
  readonly isNested: boolean
  /** Calls of the same work class take about the same time. */
  readonly workClass: number
  /** Time on the target, assumed before the first answer to a call of this class. */
  readonly assumedMs: base.Millis
  /** Undefined if the call is made for no customer. */
  readonly customer?: customerShares.WeightedCustomer | undefined
}

/** A call in the queue. Calls that will be late come after those of equal priority that can be on time. */
interface WaitingCall {
  readonly call: SlotCall
  isLate: boolean
  /** Rank of its customer among calls of equal priority. */
  readonly rank: number
}

export type OfferResult = { readonly kind: 'start' } | { readonly kind: 'queued' } | { readonly kind: 'refused', readonly waitMs: base.Millis }

/** Slots of one target, the rate limit that it advertises, and the queue of calls that wait for either, most urgent first. */
export class SlotQueue {
  private readonly _running = new Map<number, SlotCall>()
  private readonly _waiting: WaitingCall[] = []
  private readonly _limiter = new callLimiter.CallLimiter()
  private readonly _times = new Map<number, serviceTimes.ServiceTimes>()
  private readonly _allTimes = new serviceTimes.ServiceTimes(INITIAL_SERVICE_MS, 0)
  /** Arrival of the last call of each priority. */
  private readonly _lastArrivalsMs = new Map<number, base.Millis>()
  private readonly _shares = new customerShares.CustomerShares()
  /** Last arrival of a call whose customer had used more than its part. */
  private _excessAtMs = -Infinity
  private _isHeld = false
  private _leastUrgent = 0
  private _slots = 1
  private _assumedMs = INITIAL_SERVICE_MS

  public get load (): types.TargetLoad {
    return {
      running: this._running.size,
      queued: this._waiting.length,
      urgentQueued: this._waiting.reduce((count, { call }) => call.priority < this._leastUrgent ? count + 1 : count, 0),
      leastUrgent: this._leastUrgent,
      slots: this._slots,
      serviceMs: this._allTimes.count > 0 ? this._allTimes.meanMs : 0,
      ...(this._limiter.isLimited ? { limit: this._limiter.state } : {})
    }
  }

  /** Mean time of a call on the target; before the first answer, the assumed time of the newest call. */
  public get meanMs (): base.Millis {
    return this._allTimes.count > 0 ? this._allTimes.meanMs : this._assumedMs
  }

  public get isIdle (): boolean {
    return this._running.size === 0 && this._waiting.length === 0
  }

  public setSlots (slots: number): void {
    this._slots = Math.max(1, slots)
  }

  /** While it is held, no call gets a slot but one that `startAlone` starts. */
  public setHeld (isHeld: boolean): void {
    this._isHeld = isHeld
  }

  /** Gives a slot to a call that is not in the queue, if no other call has one and the limit allows it. */
  public startAlone (call: SlotCall, nowMs: base.Millis): boolean {
    if (this._running.size > 0 || !this._limiter.take(nowMs)) return false
    this._run(call, nowMs)
    return true
  }

  /** Whether the target has advertised a rate limit. */
  public get isLimited (): boolean {
    return this._limiter.isLimited
  }

  /** Sets the limit on calls to the target, Infinity for none. */
  public setLimit (maxCallsPerS: number, nowMs: base.Millis): void {
    this._limiter.setLimit(maxCallsPerS, nowMs)
  }

  /** Takes a permit for a request to the target that needs no slot. False if the limit does not allow it now. */
  public takePermit (nowMs: base.Millis): boolean {
    return this._limiter.take(nowMs)
  }

  /** Starts or queues a call if it is expected to end in time; refuses it otherwise. */
  public offer (call: SlotCall, nowMs: base.Millis): OfferResult {
    this._recordPriority(call.priority, nowMs)
    if (call.customer !== undefined && this._shares.rankOf(call.customer, this.meanMs, nowMs) > 0) this._excessAtMs = nowMs
    this._assumedMs = call.assumedMs
    if (this.hasRoom && this._limiter.take(nowMs)) {
      this._run(call, nowMs)
      return { kind: 'start' }
    }
    const waitMs = this.refusedWaitMs(call, nowMs)
    if (waitMs !== undefined) return { kind: 'refused', waitMs }
    this._insert(this._waitingCall(call, this._endMs(call, nowMs) > call.objectiveAtMs, nowMs))
    return { kind: 'queued' }
  }

  /** Expected wait of a call that would be refused if it had to wait now; undefined if it would be queued. */
  public refusedWaitMs (call: SlotCall, nowMs: base.Millis): base.Millis | undefined {
    const endMs = this._endMs(call, nowMs)
    const isAtRisk = endMs + this._marginMs(call, nowMs) > call.objectiveAtMs
    return endMs > call.deadlineAtMs || (isAtRisk && !this._mayBeLate(call, nowMs)) ? this._expectedWaitMs(call, nowMs) : undefined
  }

  /** Whether a call would get a slot at once. */
  public get hasRoom (): boolean {
    return !this._isHeld && this._running.size < this._slots && this._waiting.length === 0
  }

  /** Frees the slot of a call. `serviceMs` is undefined if the time on the target does not reflect the target's speed. */
  public release (id: number, serviceMs: base.Millis | undefined): void {
    const call = this._running.get(id)
    if (call === undefined) return
    this._running.delete(id)
    if (serviceMs === undefined) return
    this._allTimes.record(serviceMs)
    this._timesOf(call.workClass).record(serviceMs)
  }

  /** Removes the next call from the queue and gives it a slot. Undefined if no slot is free, the limit allows no call now, or no call waits. */
  public next (nowMs: base.Millis): SlotCall | undefined {
    if (this._isHeld || this._running.size >= this._slots || this._waiting.length === 0) return undefined
    this._deferLate(nowMs)
    if (!this._limiter.take(nowMs)) return undefined
    const call = this._waiting.shift()?.call
    if (call !== undefined) this._run(call, nowMs)
    return call
  }

  /** Removes a waiting call. False if the call is not in the queue. */
  public withdraw (id: number): boolean {
    const index = this._waiting.findIndex(({ call }) => call.id === id)
    if (index < 0) return false
    this._waiting.splice(index, 1)
    return true
  }

  /** Removes and returns the waiting calls that cannot end before their deadline, or will be late and delay others. */
  public prune (nowMs: base.Millis): readonly SlotCall[] {
    const removed: SlotCall[] = []
    let ahead = 0
    this._limiter.advance(nowMs)
    for (const { call } of [...this._waiting]) {
      // A new or lower limit may make calls late that were accepted before it.
      const startMs = nowMs + this._limiter.waitMs(++ahead, nowMs)
      const serviceMs = this._expectedServiceMs(call)
      const isExpired = startMs + serviceMs * USEFUL_SHARE > call.deadlineAtMs
      const isLate = startMs + serviceMs * USEFUL_SHARE > call.objectiveAtMs && !this._mayBeLate(call, nowMs)
      if ((isExpired || isLate) && this.withdraw(call.id)) {
        removed.push(call)
        ahead -= 1
      }
    }
    return removed
  }

  /** Removes and returns all waiting calls. */
  public clear (): readonly SlotCall[] {
    return this._waiting.splice(0).map(({ call }) => call)
  }

  /**
   * The least urgent calls are refused if they may be late, unless the wait is short: they take the overload, and those
   * that are accepted are on time. More urgent calls may be late, because their answers are useful until the deadline. Not so
   * at a limit, which they may exceed by themselves: the queue would grow until all of them are late.
   */
  private _mayBeLate (call: SlotCall, nowMs: base.Millis): boolean {
    if (this._isUrgent(call, nowMs) && !this._limiter.isLimited) return true
    const totalWaitMs = this._waitBehindMs(this._waiting.length, nowMs)
    return totalWaitMs <= this._expectedServiceMs(call) * LATE_WAIT_SHARE
  }

  /** Moves calls that have become late behind those that can be on time, so that they do not make these late as well. */
  private _deferLate (nowMs: base.Millis): void {
    for (let [first] = this._waiting; first !== undefined && !first.isLate; [first] = this._waiting) {
      if (nowMs + this._expectedServiceMs(first.call) <= first.call.objectiveAtMs) return
      first.isLate = true
      this._waiting.shift()
      this._insert(first)
    }
  }

  private _run (call: SlotCall, nowMs: base.Millis): void {
    this._running.set(call.id, call)
    if (call.customer !== undefined) this._shares.recordRun(call.customer, this._expectedServiceMs(call), nowMs)
  }

  private _waitingCall (call: SlotCall, isLate: boolean, nowMs: base.Millis): WaitingCall {
    return { call, isLate, rank: call.customer === undefined ? 0 : this._shares.rankOf(call.customer, this.meanMs, nowMs) }
  }

  private _recordPriority (priority: number, nowMs: base.Millis): void {
    this._lastArrivalsMs.set(priority, nowMs)
    this._leastUrgent = priority
    for (const [other, atMs] of this._lastArrivalsMs) {
      if (nowMs - atMs > PRIORITY_IN_USE_MS) this._lastArrivalsMs.delete(other)
      else this._leastUrgent = Math.max(this._leastUrgent, other)
    }
  }

  private _endMs (call: SlotCall, nowMs: base.Millis): base.Millis {
    return nowMs + this._expectedWaitMs(call, nowMs) + this._expectedServiceMs(call)
  }

  private _expectedWaitMs (call: SlotCall, nowMs: base.Millis): base.Millis {
    const arriving = this._waitingCall(call, false, nowMs)
    const ahead = this._waiting.reduce((count, waiting) => staysAhead(waiting, arriving) ? count + 1 : count, 0)
    return this._waitBehindMs(ahead, nowMs)
  }

  /** Expected wait of a call with `ahead` calls before it. */
  private _waitBehindMs (ahead: number, nowMs: base.Millis): base.Millis {
    const calls = ahead + 1
    const isSlotFree = this._limiter.isLimited && this._running.size < this._slots
    return Math.max(isSlotFree ? 0 : calls * this.meanMs / this._slots, this._limiter.waitMs(calls, nowMs))
  }

  private _expectedServiceMs (call: SlotCall): base.Millis {
    return this._times.get(call.workClass)?.meanMs ?? call.assumedMs
  }

  /** A nested call is not kept waiting, however urgent it is: another host may have room, and a run waits for it. */
  private _isUrgent ({ priority, isNested, customer }: SlotCall, nowMs: base.Millis): boolean {
    if (isNested) return false
    return priority < this._leastUrgent || (customer !== undefined && nowMs - this._excessAtMs < EXCESS_MS && this._shares.rankOf(customer, this.meanMs, nowMs) === 0)
  }

  private _marginMs (call: SlotCall, nowMs: base.Millis): base.Millis {
    if (this._isUrgent(call, nowMs)) return 0
    return (this._times.get(call.workClass)?.deviationMs ?? 0) * ON_TIME_DEVIATIONS
  }

  private _timesOf (workClass: number): serviceTimes.ServiceTimes {
    let times = this._times.get(workClass)
    if (times === undefined) {
      times = new serviceTimes.ServiceTimes(INITIAL_SERVICE_MS, 0)
      this._times.set(workClass, times)
    }
    return times
  }

  private _insert (arriving: WaitingCall): void {
    let at = this._waiting.length
    while (at > 0) {
      const before = this._waiting[at - 1]
      if (before === undefined || staysAhead(before, arriving)) break
      at -= 1
    }
    this._waiting.splice(at, 0, arriving)
  }
}

/** Whether a waiting call stays ahead of an arriving one: by priority, then calls that can be on time, then customers with little recent use, then the earlier objective. */
function staysAhead (waiting: WaitingCall, arriving: WaitingCall): boolean {
  if (waiting.call.priority !== arriving.call.priority) return waiting.call.priority < arriving.call.priority
  if (waiting.isLate !== arriving.isLate) return arriving.isLate
  if (waiting.rank !== arriving.rank) return waiting.rank < arriving.rank
  return waiting.call.objectiveAtMs <= arriving.call.objectiveAtMs
}
