import * as crashWatches from './CrashWatch.js'
import * as hostedCall from './HostedCall.js'
import * as slotQueue from '@elmpost/common/direct/SlotQueue.js'
import * as slotUse from '@elmpost/common/direct/SlotUse.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as targetHostOptions from './TargetHostOptions.js'
import type * as types from './Types.js'

/** Least remaining time that is sent to a target, because it treats 0 as no limit or as an error. */
const MIN_REMAINING_MS = 1
/** A target stops working at the deadline that it received. A call that lasts longer than this after it is aborted. */
const OVERDUE_MS = 500
/** A target without an answer for this time and for `SILENCE_CALLS` mean service times gets a health check. */
const SILENCE_MS = 700
const SILENCE_CALLS = 4
/** A call that waits to run alone, or for its body, is refused when the time left is less than this share of the mean time of a call. */
const USEFUL_SHARE = 0.5
/** The wait keeps entry nodes that have not heard of the stop from sending further calls here. */
const STOPPING: direct.HostRefusal = { reason: 'stopping', reachedTarget: false, waitMs: 4_000 }

/** Runs calls on the target beside this node, as many at a time as it has slots. */
export class TargetHost implements services.IOfferedHost {
  private readonly _options: targetHostOptions.TargetHostOptions
  private readonly _queue = new slotQueue.SlotQueue()
  private readonly _use = new slotUse.SlotUse()
  private readonly _calls = new Map<number, hostedCall.HostedCall>()
  private readonly _callsByCaller = new Map<services.IHostCaller, Map<number, hostedCall.HostedCall>>()
  private readonly _watch: crashWatches.CrashWatch
  /** Call that waits until it can run alone, or runs alone. */
  private _trial: hostedCall.HostedCall | undefined
  private _nextId = 1
  private _started = 0
  private _answeredAtMs = -Infinity

  constructor (options: targetHostOptions.TargetHostOptions) {
    this._options = options
    const { probe, newCrashId, start, state, nowMs, events } = options
    this._watch = new crashWatches.CrashWatch({
      probe,
      target: () => state() === 'leaving' ? undefined : start(),
      running: () => this._runs(),
      newId: newCrashId,
      nowMs,
      onCrash: crash => {
        this._options.crashes.recordCrash(crash)
        events.onTargetCrashed(crash)
      }
    })
  }

  public get load (): direct.TargetLoad {
    return this._queue.load
  }

  /** Number of calls that have been sent to the target. */
  public get started (): number {
    return this._started
  }

  public get isIdle (): boolean {
    return this._calls.size === 0
  }

  /** What the slots of the target have been used for since this process started. */
  public get slotTimes (): slotUse.SlotTimes {
    return this._use.times(this._options.nowMs())
  }

  public setSlots (slots: number): void {
    this._queue.setSlots(slots)
    this._use.setSlots(this._options.state() === 'ready' ? slots : 0, this._options.nowMs())
    this._startNext()
  }

  /** Sets the rate limit that the target has advertised, Infinity for none. */
  public setLimit (maxCallsPerS: number): void {
    this._queue.setLimit(maxCallsPerS, this._waitClockMs)
    this._startNext()
  }

  /** Whether a health check may be sent to the target now. It counts towards the rate limit that the target has advertised. */
  public takePermit (): boolean {
    return this._queue.takePermit(this._waitClockMs)
  }

  public accept (caller: services.IHostCaller, message: types.CallMessage): void {
    const nowMs = this._waitClockMs
    const call = this._track(caller, message, nowMs)
    const refusal = this._refusalAtArrival(call)
    if (refusal !== undefined) {
      this._refuse(call, refusal)
      return
    }
    if (message.crashes !== undefined) this._options.crashes.recordReports(message.crashes)
    const standing = this._options.crashes.standingOf(message)
    if (standing === 'blocked' || !this._options.nestedCalls.mayRun(message)) {
      this._refuse(call, { reason: 'target-refused', reachedTarget: false, waitMs: 0 })
      return
    }
    if (standing === 'trial') {
      this._offerTrial(call)
      return
    }
    const offer = this._queue.offer(call, nowMs)
    if (offer.kind === 'start') this._start(call)
    else if (offer.kind === 'refused') this._refuse(call, { reason: 'busy', reachedTarget: false, waitMs: offer.waitMs })
    else if (this._queue.isLimited) this._startNext()
  }

  public refusalAtArrival (message: types.CallMessage): direct.HostRefusal | undefined {
    return this._logged(message, this._refusalAtArrival({ message, deadlineAtMs: this._waitClockMs + message.remainingMs }))
  }

  public refusalOf (message: types.CallMessage, transferMs: base.Millis): direct.HostRefusal | undefined {
    const nowMs = this._waitClockMs
    const call = hostedCall.slotCallOf(0, message, nowMs, this._options)
    const refusal = this._refusalAtArrival({ ...call, message })
    if (refusal !== undefined) return this._logged(message, refusal)
    // It waits for a slot after its body has arrived.
    const waiting = { ...call, deadlineAtMs: call.deadlineAtMs - transferMs, objectiveAtMs: call.objectiveAtMs - transferMs }
    const waitMs = this._queue.hasRoom ? undefined : this._queue.refusedWaitMs(waiting, nowMs)
    // A body that comes too late says nothing about the slots, so other calls need not avoid this host.
    const isTooLate = nowMs + this._queue.meanMs * USEFUL_SHARE > waiting.deadlineAtMs
    if (!isTooLate && waitMs === undefined) return undefined
    const reason = isTooLate ? 'deadline' : 'busy'
    return this._logged(message, { reason, reachedTarget: false, waitMs: waitMs ?? 0 })
  }

  public recordRefusal (message: types.CallMessage, refusal: direct.HostRefusal): void {
    this._logged(message, refusal)
  }

  /** Drops a waiting call. A running call is aborted if it is idempotent; otherwise it runs to its end. */
  public cancel (caller: services.IHostCaller, callId: number): boolean {
    const call = this._callsByCaller.get(caller)?.get(callId)
    if (call === undefined) return false
    const isWaiting = this._queue.withdraw(call.id) || this._isWaitingTrial(call)
    this._options.events.onCallCancelled(call.message, !isWaiting, this._waitClockMs - call.arrivedAtMs)
    if (isWaiting) {
      this._remove(call)
      this._startNext()
      return true
    }
    if (call.message.isIdempotent) this._abort(call)
    return false
  }

  public abandon (caller: services.IHostCaller): void {
    for (const callId of [...this._callsByCaller.get(caller)?.keys() ?? []]) this.cancel(caller, callId)
  }

  /** Starts waiting calls that the limit allows now, refuses those that cannot end in time, so that they are sent elsewhere, and aborts overdue calls. */
  public tick (): void {
    const nowMs = this._options.nowMs()
    this._startNext()
    for (const call of this._calls.values()) {
      if (nowMs > call.overdueAtMs) this._abort(call)
    }
    if (this._isSilent(nowMs)) this._options.events.onTargetSilent()
  }

  /** Aborts idempotent calls when the target is down, so that they can be sent elsewhere. */
  public abortIdempotent (): void {
    for (const call of [...this._calls.values()]) {
      if (call.message.isIdempotent) this._abort(call)
    }
  }

  /** Another start of the target is current. */
  public handleNewStart (): void {
    this._watch.handleNewStart()
  }

  /** Refuses all waiting calls when the target accepts no more calls. */
  public refuseWaiting (): void {
    if (this._trial !== undefined && this._isWaitingTrial(this._trial)) this._refuse(this._trial, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
    for (const { id } of this._queue.clear()) this._refuseWaitingCall(id, 'no-target')
  }

  /**
   * Clock for waiting calls, which also counts the time for which the VM may have been suspended. If it was not, some calls
   * are refused as not run and sent elsewhere. Running calls use the monotonic clock, because they cannot be withdrawn.
   */
  private get _waitClockMs (): base.Millis {
    return this._options.nowMs() + this._options.uncountedMs()
  }

  /** Whether the target has answered lately. Such a target is up, even if it accepts no further connection. */
  private get _isAnswering (): boolean {
    return this._queue.load.running > 0 && this._options.nowMs() - this._answeredAtMs < SILENCE_MS
  }

  private _isSilent (nowMs: base.Millis): boolean {
    let oldestMs = Infinity
    for (const { startedAtMs } of this._calls.values()) oldestMs = Math.min(oldestMs, startedAtMs)
    return nowMs - Math.max(oldestMs, this._answeredAtMs) > Math.max(SILENCE_MS, SILENCE_CALLS * this._queue.meanMs)
  }

  /** Whether the call would be cut if it takes all of its time. Another host can run it. */
  private _mayOutlastProcess ({ deadlineAtMs }: Pick<hostedCall.HostedCall, 'deadlineAtMs'>): boolean {
    return this._options.nowMs() + deadlineAtMs - this._waitClockMs > this._options.endsAtMs()
  }

  /** Lets the calls on the target end and the call run alone. One call at a time, so that the others wait for one run only. */
  private _offerTrial (call: hostedCall.HostedCall): void {
    if (this._trial !== undefined) {
      this._refuse(call, { reason: 'busy', reachedTarget: false, waitMs: this._queue.meanMs })
      return
    }
    this._trial = call
    this._queue.setHeld(true)
    this._startNext()
  }

  private _isWaitingTrial (call: hostedCall.HostedCall): boolean {
    return call === this._trial && call.startedAtMs === Infinity
  }

  /** The target may go on with a call that it has begun. */
  private _abort (call: hostedCall.HostedCall): void {
    if (call.startedAtMs < Infinity) this._watch.recordAbandoned(this._runOf(call), Math.max(0, call.overdueAtMs - this._options.nowMs()))
    call.run?.abort()
  }

  /** Requests that have been passed to the target. */
  private * _runs (): Iterable<crashWatches.CrashedRun> {
    for (const call of this._calls.values()) if (call.startedAtMs < Infinity) yield this._runOf(call)
  }

  private _refusalAtArrival (call: Pick<hostedCall.HostedCall, 'message' | 'deadlineAtMs'>): direct.HostRefusal | undefined {
    const { service, state, rollout } = this._options
    if (call.message.service !== service || state() !== 'ready' || rollout?.mayRun === false) return { reason: 'no-target', reachedTarget: false, waitMs: 0 }
    if (call.message.remainingMs <= 0) return { reason: 'deadline', reachedTarget: false, waitMs: 0 }
    return this._mayOutlastProcess(call) ? STOPPING : undefined
  }

  private _track (caller: services.IHostCaller, message: types.CallMessage, nowMs: base.Millis): hostedCall.HostedCall {
    const call: hostedCall.HostedCall = {
      ...hostedCall.slotCallOf(this._nextId++, message, nowMs, this._options),
      caller,
      message,
      run: undefined,
      startedAtMs: Infinity,
      overdueAtMs: Infinity
    }
    this._calls.set(call.id, call)
    let calls = this._callsByCaller.get(caller)
    if (calls === undefined) {
      calls = new Map()
      this._callsByCaller.set(caller, calls)
    }
    calls.set(message.callId, call)
    return call
  }

  private _start (call: hostedCall.HostedCall): void {
    const { dialect, client, nowMs, events } = this._options
    const targetId = this._options.targetId()
    const { requestId, method, path, headers, body } = call.message
    const remainingMs = Math.max(MIN_REMAINING_MS, Math.floor(call.deadlineAtMs - this._waitClockMs))
    const isExpired = (): boolean => this._waitClockMs >= call.deadlineAtMs
    const request = { requestId, method, path, body, isExpired, headers: [...headers, ...dialect.targetHeaders(requestId, remainingMs, targetId)] }
    let hasEnded = false
    this._started += 1
    call.startedAtMs = nowMs()
    this._use.begin(call.startedAtMs)
    call.overdueAtMs = call.startedAtMs + remainingMs + OVERDUE_MS
    this._options.nestedCalls.beginRun(call.message)
    const run = client().run(request, result => {
      hasEnded = true
      this._handleEnd(call, result)
    }, notice => {
      if (targetId !== undefined) events.onTargetNotice(targetId, notice)
    })
    if (!hasEnded) call.run = run
  }

  private _handleEnd (call: hostedCall.HostedCall, result: types.RunResult): void {
    const nowMs = this._options.nowMs()
    this._use.end(hostedCall.purposeOf(call, result, this._waitClockMs), nowMs - call.startedAtMs, nowMs)
    this._options.nestedCalls.endRun(call.message)
    this._options.rollout?.recordRun(call.message, result, nowMs - call.startedAtMs)
    this._queue.release(call.id, result.kind === 'answered' ? result.serviceMs : undefined)
    if (result.kind === 'answered' || result.kind === 'declined') this._answeredAtMs = this._options.nowMs()
    switch (result.kind) {
      case 'answered':
        this._options.crashes.recordAnswer(call.message, result.answer.status)
        this._finish(call, { kind: 'answered', answer: result.answer })
        break
      case 'declined':
        if (result.targetId !== undefined && result.targetId !== this._options.targetId()) this._options.events.onTargetDisplaced(result.targetId)
        this._refuse(call, { reason: 'target-refused', reachedTarget: true, waitMs: 0 })
        break
      case 'withdrawn':
        this._refuse(call, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
        break
      case 'unreachable':
        this._refuse(call, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
        if (result.code === 'ECONNREFUSED') this._watch.handleRefused()
        if (!this._isAnswering) this._options.events.onTargetUnreachable(result.code)
        break
      case 'failed':
        if (result.reason === 'target-lost') this._watch.handleLost(this._runOf(call), () => { this._fail(call, result) })
        else this._fail(call, result)
    }
    this._startNext()
  }

  private _fail (call: hostedCall.HostedCall, { reason, detail }: types.RunResult & { readonly kind: 'failed' }): void {
    this._options.events.onCallFailed(call.message, reason, detail)
    this._finish(call, { kind: 'failed', reason })
    this._startNext()
  }

  private _runOf (call: hostedCall.HostedCall): crashWatches.CrashedRun {
    return { call: call.message, isTrial: call === this._trial }
  }

  /** Refuses waiting calls that cannot end in time. This happens before their deadlines, because callers may retry only calls that were refused as not run. */
  private _prune (nowMs: base.Millis): void {
    for (const { id } of this._queue.prune(nowMs)) this._refuseWaitingCall(id, 'busy')
  }

  private _startNext (): void {
    const nowMs = this._waitClockMs
    this._prune(nowMs)
    if (this._trial !== undefined) {
      this._startTrial(this._trial, nowMs)
      return
    }
    for (let next = this._queue.next(nowMs); next !== undefined; next = this._queue.next(nowMs)) {
      const call = this._calls.get(next.id)
      const refusal = call === undefined ? undefined : this._refusalOf(call)
      if (call !== undefined && refusal === undefined) {
        this._start(call)
        continue
      }
      this._queue.release(next.id, undefined)
      if (call !== undefined && refusal !== undefined) this._refuse(call, refusal)
    }
  }

  /** Why a call that has waited must not be started; undefined if it may be. */
  private _refusalOf (call: hostedCall.HostedCall): direct.HostRefusal | undefined {
    if (this._mayOutlastProcess(call)) return STOPPING
    const standing = this._options.crashes.standingOf(call.message)
    if (standing === 'blocked') return { reason: 'target-refused', reachedTarget: false, waitMs: 0 }
    // It comes back as a trial.
    return standing === 'trial' ? { reason: 'busy', reachedTarget: false, waitMs: 0 } : undefined
  }

  private _startTrial (trial: hostedCall.HostedCall, nowMs: base.Millis): void {
    if (!this._isWaitingTrial(trial)) return
    const isBlocked = this._mayOutlastProcess(trial) || this._options.crashes.standingOf(trial.message) === 'blocked'
    if (isBlocked || nowMs + this._queue.meanMs * USEFUL_SHARE > trial.deadlineAtMs) {
      this._refuse(trial, { reason: isBlocked ? 'target-refused' : 'busy', reachedTarget: false, waitMs: this._queue.meanMs })
      this._startNext()
    } else if (this._queue.startAlone(trial, nowMs)) {
      this._options.events.onTrial(trial.message)
      this._start(trial)
    }
  }

  private _refuseWaitingCall (id: number, reason: direct.RefusalReason): void {
    const call = this._calls.get(id)
    if (call !== undefined) this._refuse(call, { reason, reachedTarget: false, waitMs: this._queue.meanMs })
  }

  private _logged (message: types.CallMessage, refusal: direct.HostRefusal | undefined): direct.HostRefusal | undefined {
    if (refusal !== undefined) this._options.events.onCallRefused(message, refusal.reason, refusal.waitMs)
    return refusal
  }

  private _refuse (call: hostedCall.HostedCall, refusal: direct.HostRefusal): void {
    this._logged(call.message, refusal)
    this._finish(call, { kind: 'refused', refusal })
  }

  private _finish (call: hostedCall.HostedCall, result: types.HostResult): void {
    this._remove(call)
    call.caller.handleHostResult(this._options.nodeId, call.message.callId, result, this.load)
  }

  private _remove (call: hostedCall.HostedCall): void {
    if (call === this._trial) {
      this._trial = undefined
      this._queue.setHeld(false)
    }
    this._calls.delete(call.id)
    const calls = this._callsByCaller.get(call.caller)
    calls?.delete(call.message.callId)
    if (calls?.size === 0) this._callsByCaller.delete(call.caller)
  }
}
