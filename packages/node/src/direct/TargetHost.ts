import * as slotQueue from '@elmpost/common/direct/SlotQueue.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Least time that a target is told; it takes 0 for no limit or an error. */
const MIN_REMAINING_MS = 1
/** Share of its objective that a call is assumed to take before the first answer to one like it. */
const ASSUMED_SHARE = 1 / 3
/** A target ends its work at the deadline that it was told. A call that lasts longer than this beyond it is broken off. */
const OVERDUE_MS = 500
/** A target that gives no answer for this time, and for some times its mean, is asked for its health. */
const SILENCE_MS = 700
const SILENCE_CALLS = 4

export interface TargetHostOptions {
  readonly nodeId: base.NodeId
  readonly service: string
  readonly dialect: services.ICallDialect
  readonly client: () => services.ITargetClient
  /** Id that the target is expected to have. */
  readonly targetId: () => string | undefined
  readonly state: () => direct.TargetState
  readonly nowMs: () => base.Millis
  /** Time that the steady clock may have left out so far, because the VM was suspended. It never falls. */
  readonly uncountedMs: () => base.Millis
  readonly events: ITargetHostEvents
}

export interface ITargetHostEvents {
  /** The target does not take connections. */
  unreachable(code: string): void
  /** The target has calls and gives no answers. */
  silent(): void
  /** Another target answers at the address. */
  displaced(targetId: string): void
  /** A call ended without an answer of the target. */
  failed(call: types.CallMessage, reason: string, detail: string): void
  refused(call: types.CallMessage, reason: direct.RefusalReason, waitMs: base.Millis): void
}

interface HostedCall extends slotQueue.SlotCall {
  readonly caller: services.IHostCaller
  readonly message: types.CallMessage
  run: services.ITargetRun | undefined
  startedAtMs: base.Millis
  /** By the steady clock. Infinite until the call is started. */
  overdueAtMs: base.Millis
}

/** Runs calls on the target beside this node, as many at a time as it has slots. */
export class TargetHost implements services.IHost {
  private readonly _options: TargetHostOptions
  private readonly _queue = new slotQueue.SlotQueue()
  /** Ids of the requests of retries that run on the target. */
  private readonly _retries = new Set<string>()
  private readonly _calls = new Map<number, HostedCall>()
  private readonly _byCaller = new Map<services.IHostCaller, Map<number, HostedCall>>()
  private _nextId = 1
  private _answeredAtMs = -Infinity

  constructor (options: TargetHostOptions) {
    this._options = options
  }

  public get load (): direct.TargetLoad {
    return this._queue.load
  }

  /** Whether the target runs a retry with this id. */
  public runsRetry (requestId: string): boolean {
    return this._retries.has(requestId)
  }

  public get isIdle (): boolean {
    return this._calls.size === 0
  }

  public setSlots (slots: number): void {
    this._queue.setSlots(slots)
    this._startNext()
  }

  public accept (caller: services.IHostCaller, message: types.CallMessage): void {
    const nowMs = this._waitClockMs
    const call = this._track(caller, message, nowMs)
    if (message.service !== this._options.service || this._options.state() !== 'ready') {
      this._refuse(call, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
      return
    }
    if (message.remainingMs <= 0) {
      this._refuse(call, { reason: 'deadline', reachedTarget: false, waitMs: 0 })
      return
    }
    const offer = this._queue.offer(call, nowMs)
    if (offer.kind === 'start') this._start(call)
    else if (offer.kind === 'refused') this._refuse(call, { reason: 'busy', reachedTarget: false, waitMs: offer.waitMs })
  }

  /** A waiting call is dropped. A running one is broken off if it may run again; another one runs to its end. */
  public cancel (caller: services.IHostCaller, callId: number): boolean {
    const call = this._byCaller.get(caller)?.get(callId)
    if (call === undefined) return false
    if (this._queue.withdraw(call.id)) {
      this._forget(call)
      return true
    }
    if (call.message.isIdempotent) call.run?.abort()
    return false
  }

  public abandon (caller: services.IHostCaller): void {
    for (const callId of [...this._byCaller.get(caller)?.keys() ?? []]) this.cancel(caller, callId)
  }

  /** Refuses waiting calls that cannot end in time, so that they are sent elsewhere, and breaks overdue ones off. */
  public tick (): void {
    const nowMs = this._options.nowMs()
    this._prune(this._waitClockMs)
    for (const call of this._calls.values()) {
      if (nowMs > call.overdueAtMs) call.run?.abort()
    }
    if (this._isSilent(nowMs)) this._options.events.silent()
  }

  /** The target is down: calls that may run again are broken off, so that they can be sent elsewhere. */
  public breakOff (): void {
    for (const call of [...this._calls.values()]) {
      if (call.message.isIdempotent) call.run?.abort()
    }
  }

  /** The target takes no more calls: those that wait are refused. */
  public refuseWaiting (): void {
    for (const { id } of this._queue.clear()) this._refuseWaiting(id, 'no-target')
  }

  /**
   * Calls that wait are judged by a clock that also counts the time in which the VM may have been suspended. If it was not,
   * some are refused as not run and are sent elsewhere. Running calls go by the steady clock, as nothing takes them back.
   */
  private get _waitClockMs (): base.Millis {
    return this._options.nowMs() + this._options.uncountedMs()
  }

  /** A target that gives answers is up. It may still take no more connections. */
  private get _isAnswering (): boolean {
    return this._queue.load.running > 0 && this._options.nowMs() - this._answeredAtMs < SILENCE_MS
  }

  private _isSilent (nowMs: base.Millis): boolean {
    let oldestMs = Infinity
    for (const { startedAtMs } of this._calls.values()) oldestMs = Math.min(oldestMs, startedAtMs)
    return nowMs - Math.max(oldestMs, this._answeredAtMs) > Math.max(SILENCE_MS, SILENCE_CALLS * this._queue.meanMs)
  }

  private _track (caller: services.IHostCaller, message: types.CallMessage, nowMs: base.Millis): HostedCall {
    const call: HostedCall = {
      id: this._nextId++,
      priority: message.priority,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + message.remainingMs,
      objectiveAtMs: nowMs + message.objectiveMs - message.elapsedMs,
      workClass: message.objectiveMs,
      assumedMs: message.objectiveMs * ASSUMED_SHARE,
      caller,
      message,
      run: undefined,
      startedAtMs: Infinity,
      overdueAtMs: Infinity
    }
    this._calls.set(call.id, call)
    let calls = this._byCaller.get(caller)
    if (calls === undefined) {
      calls = new Map()
      this._byCaller.set(caller, calls)
    }
    calls.set(message.callId, call)
    return call
  }

  private _start (call: HostedCall): void {
    const { dialect, client, targetId, nowMs } = this._options
    const { requestId, method, path, headers, body } = call.message
    const remainingMs = Math.max(MIN_REMAINING_MS, Math.floor(call.deadlineAtMs - this._waitClockMs))
    const request = { requestId, method, path, body, headers: [...headers, ...dialect.targetHeaders(requestId, remainingMs, targetId())] }
    let hasEnded = false
    call.startedAtMs = nowMs()
    call.overdueAtMs = call.startedAtMs + remainingMs + OVERDUE_MS
    if (call.message.isRetry) this._retries.add(requestId)
    const run = client().run(request, result => {
      hasEnded = true
      this._ended(call, result)
    })
    if (!hasEnded) call.run = run
  }

  private _ended (call: HostedCall, result: types.RunResult): void {
    this._retries.delete(call.message.requestId)
    this._queue.ended(call.id, result.kind === 'answered' ? result.serviceMs : undefined)
    if (result.kind === 'answered' || result.kind === 'declined') this._answeredAtMs = this._options.nowMs()
    switch (result.kind) {
      case 'answered':
        this._finish(call, { kind: 'answered', answer: result.answer })
        break
      case 'declined':
        if (result.targetId !== undefined && result.targetId !== this._options.targetId()) this._options.events.displaced(result.targetId)
        this._refuse(call, { reason: 'target-refused', reachedTarget: true, waitMs: 0 })
        break
      case 'withdrawn':
        this._refuse(call, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
        break
      case 'unreachable':
        this._refuse(call, { reason: 'no-target', reachedTarget: false, waitMs: 0 })
        if (!this._isAnswering) this._options.events.unreachable(result.code)
        break
      case 'failed':
        this._options.events.failed(call.message, result.reason, result.detail)
        this._finish(call, { kind: 'failed', reason: result.reason })
    }
    this._startNext()
  }

  /** A waiting call is refused before its deadline, because its caller may send it again only if it is told that it did not run. */
  private _prune (nowMs: base.Millis): void {
    for (const { id } of this._queue.prune(nowMs)) this._refuseWaiting(id, 'busy')
  }

  private _startNext (): void {
    const nowMs = this._waitClockMs
    this._prune(nowMs)
    for (let next = this._queue.next(nowMs); next !== undefined; next = this._queue.next(nowMs)) {
      const call = this._calls.get(next.id)
      if (call === undefined) this._queue.ended(next.id, undefined)
      else this._start(call)
    }
  }

  private _refuseWaiting (id: number, reason: direct.RefusalReason): void {
    const call = this._calls.get(id)
    if (call !== undefined) this._refuse(call, { reason, reachedTarget: false, waitMs: this._queue.meanMs })
  }

  private _refuse (call: HostedCall, refusal: direct.HostRefusal): void {
    this._options.events.refused(call.message, refusal.reason, refusal.waitMs)
    this._finish(call, { kind: 'refused', refusal })
  }

  private _finish (call: HostedCall, result: types.HostResult): void {
    this._forget(call)
    call.caller.hostEnded(this._options.nodeId, call.message.callId, result, this.load)
  }

  private _forget (call: HostedCall): void {
    this._calls.delete(call.id)
    const calls = this._byCaller.get(call.caller)
    calls?.delete(call.message.callId)
    if (calls?.size === 0) this._byCaller.delete(call.caller)
  }
}
