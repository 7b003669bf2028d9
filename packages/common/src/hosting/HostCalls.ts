import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as messages from '../node/Messages.js'
import * as admissions from './Admission.js'
import * as answers from './Answers.js'
import * as blames from './CrashAttribution.js'
import * as decisions from './Decisions.js'
import * as delegations from './DelegationTable.js'
import * as keyChecks from './KeyCheck.js'
import * as keys from './Keys.js'
import * as keyTables from './KeyTable.js'
import * as limits from './CallLimits.js'
import * as requests from './Requests.js'
import * as runs from './RunTable.js'
import * as targetHealth from './TargetHealth.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import * as windows from './OwnedWindows.js'

/** Peers with a larger difference are refused when they connect. */
const MAX_CLOCK_DIFFERENCE_MS = 250

/** Retention without a configuration; no call runs then, so it only keeps memory. */
const DEFAULT_KEY_RETENTION_MS = 600_000

/** Mean service time assumed before the first answer. */
const INITIAL_SERVICE_MS = 10

export interface HostCallsOptions {
  /** This process with the incarnation at which it started. */
  readonly self: types.PartitionOwner
  /** The incarnation now. A process raises it when it refutes a suspicion. */
  readonly currentIncarnation: () => base.Incarnation
  readonly service: string
  /** This process's clock when it started. Keys issued up to 2 s later may have been run by its predecessor. */
  readonly startedAtMs: base.Millis
  readonly configuration: () => config.ConfigDocument | undefined
  /** Whether the target beside the node is up. */
  readonly targetReady: () => boolean
  readonly table: services.IOwnershipTable
  readonly isCaughtUp: () => boolean
  readonly crashes: services.ICrashTable
  readonly delegates: services.IDelegateSelector
  readonly keyLimits?: Partial<typeof keyTables.DEFAULT_LIMITS>
}

/**
 * Calls on the target beside this node.
 *
 * A key runs at most once. The argument:
 *
 * 1. Of all processes, at most one owns a key, at any moment and across moments (`OwnershipTable`, `OwnedWindows`).
 *    Ownership depends on the key's time of issue alone and not on the time at which it is checked. A process that is
 *    paused between the check and the write to its target therefore still writes a key that nobody else can own.
 * 2. An owner runs a key only if its key table has no entry for it and the key was issued after `forgottenUntilMs`. Such
 *    a key has no earlier run here: the entry is made in the same step as the decision, before the request is written or
 *    delegated, and whatever the table forgets raises `forgottenUntilMs`.
 * 3. An entry is removed only by a statement that the request was never written (`not-started`). The delegate makes it
 *    only for a message it has not run and will not run again (`DelegationTable`).
 * 4. A later process at the same address runs no key for 2 s and starts with `forgottenUntilMs` = its start + 2 s. Its
 *    predecessor ran no key issued more than 2 s ahead of its own clock, which has not stepped back since.
 *
 * Assumed of the target: it starts work only for a request that this node wrote to it. Nothing else.
 * Assumed of clocks: (a) the clock of a VM does not step back between two processes at its address; (b) for refusals to
 * stay true, but not for at most once, the clocks of two connected nodes differ by at most 250 ms. The clocks of callers
 * may be wrong by any amount.
 */
export class HostCalls implements services.IHostCalls {
  private readonly _admission = new admissions.Admission({ initialServiceMs: INITIAL_SERVICE_MS })
  private readonly _delegations = new delegations.DelegationTable()
  private readonly _keys: keyTables.KeyTable
  private readonly _limits: limits.CallLimits
  private readonly _runs = new runs.RunTable()
  private readonly _windows: windows.OwnedWindows
  private readonly _crashAttribution: blames.CrashAttribution
  private readonly _check: keyChecks.KeyCheck
  private readonly _health = new targetHealth.TargetHealth(this._admission.serviceTimes)
  private _isDraining = false
  private _isClosed = false
  private _successor: types.PartitionOwner | undefined

  constructor (private readonly _options: HostCallsOptions) {
    const forgottenUntilMs = _options.startedAtMs + keys.MAX_KEY_AHEAD_MS
    this._keys = new keyTables.KeyTable({ forgottenUntilMs, ..._options.keyLimits })
    this._crashAttribution = new blames.CrashAttribution(_options.self.nodeId, _options.crashes, this._runs)
    this._limits = new limits.CallLimits(_options.service, _options.configuration)
    this._windows = new windows.OwnedWindows(_options)
    const { crashes, startedAtMs } = _options
    this._check = new keyChecks.KeyCheck({ table: this._keys, windows: this._windows, crashes, startedAtMs, retentionMs: () => this._retentionMs })
  }

  public get load (): types.LoadReport {
    return { inFlight: this._admission.inFlight, queued: this._admission.queue.size, slots: this._limits.slots }
  }

  public get isIdle (): boolean {
    return this._runs.size === 0
  }

  public get isTargetIdle (): boolean {
    return this._runs.localRuns().next().done === true
  }

  public get nextDeadlineMs (): base.Millis {
    const { queue } = this._admission
    if (queue.size === 0) return Infinity
    return this._isFull ? Math.min(queue.earliestMs, this._health.nextCheckMs) : queue.earliestMs
  }

  /** Keys and refusals that are remembered. */
  public get keyCount (): number {
    return this._keys.size
  }

  public accept (from: base.NodeId, call: messages.CallMessage, nowMs: base.Millis): types.HostDecision {
    const { crashes } = this._options
    crashes.recordAll(call.crashes, nowMs)
    const decision = this._decide(from, call, nowMs)
    return decision.kind === 'answer' ? decisions.answer(answers.withCrashes(decision.answer, crashes.recordsOf(call.fingerprint))) : decision
  }

  public start (runId: number, nowMs: base.Millis): boolean {
    const run = this._runs.get(runId)
    if (run === undefined || run.place !== 'queue') return false
    run.dropReason = this._dropReason(run, nowMs)
    if (run.dropReason !== undefined) return false
    run.place = 'target'
    run.startedAtMs = nowMs
    run.timeoutMs = this._limits.route(run.route)?.timeoutMs
    this._admission.recordStart(runId)
    this._health.handleStart(run)
    return true
  }

  public handleProgress (nowMs: base.Millis): void {
    this._health.handleProgress(nowMs)
  }

  public finish (runId: number, result: types.RunResult, nowMs: base.Millis, load?: types.LoadReport): types.FinalAnswer {
    const run = this._runs.get(runId)
    // The run has ended before, and everyone who waited has the answer.
    if (run === undefined) return answers.unknown('answer-not-kept')
    if (result.kind === 'lost' && result.targetDied) this._crashAttribution.record(run, nowMs)
    if (result.kind !== 'answered') this._options.crashes.recordAll(result.crashes, nowMs)
    this._leaveTarget(run, result, nowMs)
    this._runs.remove(runId)
    const final = answers.withCrashes(this._settle(run, result, nowMs), this._options.crashes.recordsOf(run.fingerprint))
    if (run.delegate !== undefined) this._options.delegates.recordEnd(run.delegate, final, load, nowMs)
    if (run.delegation !== undefined) this._delegations.recordEnd(run.delegation, final, nowMs)
    return final
  }

  public cancel (runId: number, _nowMs: base.Millis): boolean {
    const run = this._runs.get(runId)
    if (run === undefined) return false
    run.waiters = Math.max(0, run.waiters - 1)
    if (run.waiters > 0) return false
    if (run.place === 'queue') this._admission.queue.remove(runId)
    return run.key === undefined
  }

  public beginDrain (nowMs: base.Millis): readonly types.HostUpdate[] {
    this._isDraining = true
    return this._vacateQueue('draining', nowMs)
  }

  public close (): void {
    this._isClosed = true
  }

  public endDrain (): void {
    this._isDraining = false
    this._isClosed = false
  }

  public release (to: types.PartitionOwner, nowMs: base.Millis): types.Handover {
    this._successor = to
    return {
      from: { nodeId: this._options.self.nodeId, incarnation: this._options.currentIncarnation() },
      to,
      released: false,
      atMs: nowMs,
      forgottenUntilMs: this._keys.forgottenUntilMs,
      inherited: this.inherited,
      keys: this._keys.export(nowMs)
    }
  }

  public get inherited (): readonly types.InheritedWindows[] {
    return this._windows.inherited
  }

  public retain (): void {
    this._successor = undefined
    this._isClosed = true
  }

  public inherit (handover: types.Handover, takesNew: boolean, nowMs: base.Millis): types.InheritResult {
    if (!this._windows.isThisProcess(handover.to)) return 'other-process'
    const isKnown = this._windows.hasInherited(handover.from)
    // A confirmation does not repeat the keys, so only a process that has them may take it.
    if (!isKnown && (!takesNew || handover.released)) return 'stopping'
    this._windows.inherit(handover)
    this._keys.importAll(handover.keys, nowMs, nowMs + keyChecks.REFUSAL_RETENTION_MS)
    return 'taken'
  }

  public tick (nowMs: base.Millis): readonly types.HostUpdate[] {
    this._keys.tick(nowMs, this._retentionMs)
    this._options.crashes.tick(nowMs)
    this._delegations.tick(nowMs)
    this._windows.tick(nowMs)
    return this.expire(nowMs)
  }

  public expire (nowMs: base.Millis): readonly types.HostUpdate[] {
    const expired = this._admission.queue.takeExpired(nowMs).map(runId => this._expire(runId, nowMs))
    return this._health.check(this._isFull, nowMs) ? [...expired, ...this._vacateQueue('no-target', nowMs)] : expired
  }

  private get _isFull (): boolean {
    const width = this._limits.targetCapacity
    return width !== undefined && this._admission.isFull(width)
  }

  private get _retentionMs (): base.Millis {
    return this._limits.terms?.keyRetentionMs ?? DEFAULT_KEY_RETENTION_MS
  }

  private _decide (from: base.NodeId, call: messages.CallMessage, nowMs: base.Millis): types.HostDecision {
    if (call.key !== undefined) {
      const keyed = { ...call, key: keys.normalizeKey(call.key) }
      return call.delegatedBy === undefined ? this._acceptKeyed(keyed, nowMs) : this._acceptDelegated(from, keyed, nowMs)
    }
    if (this._limits.route(call.route)?.idempotent === false) return decisions.answer(answers.notRun('bad-key', 0))
    const place = this._place(call, nowMs)
    if (place.kind === 'refused') return decisions.answer(answers.notRun(place.reason, place.retryAfterMs))
    return this._enqueue(call, place, undefined, nowMs)
  }

  private _acceptDelegated (from: base.NodeId, call: requests.KeyedCall, nowMs: base.Millis): types.HostDecision {
    const id = delegations.identity(from, call)
    const known = this._delegations.get(id)
    if (known !== undefined) return 'runId' in known ? this._join(known.runId, call, nowMs) : decisions.answer(known.answer)
    // An older message may have been run and forgotten, so this is not a statement that it was not run.
    const isBeforeStart = call.sentAtMs <= this._options.startedAtMs + MAX_CLOCK_DIFFERENCE_MS
    if (requests.isStale(call, nowMs) || isBeforeStart) return decisions.answer(answers.unknown('stale-send'))
    if (this._options.crashes.hasKey(call.key)) return decisions.answer(answers.unknown('crashes-target'))
    const place = this._place(call, nowMs)
    if (place.kind === 'refused') {
      const refusal = answers.notRun(place.reason, place.retryAfterMs)
      this._delegations.recordEnd(id, refusal, nowMs)
      return decisions.answer(refusal)
    }
    const decision = this._enqueue(call, place, id, nowMs)
    this._delegations.recordStart(id, decision.runId)
    return decision
  }

  private _acceptKeyed (call: requests.KeyedCall, nowMs: base.Millis): types.HostDecision {
    const keyTime = keys.keyTimeMs(call.key)
    if (keyTime.isErr()) return decisions.answer(answers.notRun('bad-key', 0))
    const keyTimeMs = keyTime.value
    const remembered = this._check.findKnown(call, nowMs)
    if (remembered !== undefined) return remembered.kind === 'running' ? this._join(remembered.runId, call, nowMs) : remembered
    if (this._successor !== undefined) return decisions.answer({ ...answers.unknown('not-owner'), successor: this._successor.nodeId })
    const unowned = this._check.checkOwnership(call, keyTimeMs, nowMs)
    if (unowned !== undefined) return decisions.answer(unowned)
    const refused = this._check.refusal(call, keyTimeMs, this._isClosed, nowMs)
    if (refused !== undefined) return this._refuseKey(call, keyTimeMs, refused, decisions.RETRY_AFTER_MS, nowMs)
    return this._runOwned(call, keyTimeMs, nowMs)
  }

  private _runOwned (call: requests.KeyedCall, keyTimeMs: base.Millis, nowMs: base.Millis): types.HostDecision {
    const target = this._limits.targetLimits(call.route)
    if (target === undefined) return this._refuseKey(call, keyTimeMs, 'no-configuration', 0, nowMs)
    if (this._isDraining || !this._options.targetReady() || this._health.isFailing(nowMs) || this._admission.isBusy(target)) {
      const choice = this._options.delegates.select(call.service, nowMs)
      if (choice !== undefined) return this._delegate(call, keyTimeMs, target, choice, nowMs)
    }
    if (!this._health.shouldRunKey(nowMs)) return this._refuseKey(call, keyTimeMs, 'no-target', decisions.RETRY_AFTER_MS, nowMs)
    const place = this._place(call, nowMs)
    if (place.kind === 'refused') return this._refuseKey(call, keyTimeMs, place.reason, place.retryAfterMs, nowMs)
    const decision = this._enqueue(call, place, undefined, nowMs)
    this._keys.addRunning(call.key, { ...requests.identityOf(call), keyTimeMs, runId: decision.runId }, nowMs)
    return decision
  }

  private _delegate (call: requests.KeyedCall, keyTimeMs: base.Millis, target: admissions.TargetLimits, choice: services.DelegateChoice, nowMs: base.Millis): types.HostDecision {
    const run = this._runs.add(call, 'delegate', target, undefined, nowMs)
    run.delegate = choice.nodeId
    this._keys.addRunning(call.key, { ...requests.identityOf(call), keyTimeMs, runId: run.runId }, nowMs)
    return { kind: 'delegate', runId: run.runId, to: choice.nodeId, address: choice.address }
  }

  /** Whether the target can take the call now. */
  private _place (call: messages.CallMessage, nowMs: base.Millis): decisions.Placement {
    const target = this._limits.targetLimits(call.route)
    if (target === undefined) return decisions.refuse('no-configuration')
    if (call.service !== this._options.service || !this._options.targetReady()) return decisions.refuse('no-target')
    if (this._isDraining) return decisions.refuse('draining')
    if (!this._health.canAcceptCall(!this._admission.isBusy(target), nowMs)) return decisions.refuse('no-target')
    if (this._options.crashes.isBlocked(call.key, call.fingerprint, nowMs)) return decisions.refuse('crashes-target')
    if (this._crashAttribution.mustWait(call.fingerprint, nowMs)) return decisions.refuse('overloaded')
    const verdict = this._admission.decide(target, call.remainingMs, nowMs)
    return verdict.kind === 'refused' ? verdict : { ...verdict, limits: target }
  }

  private _enqueue (call: messages.CallMessage, place: decisions.Placement & { kind: 'admitted' }, delegation: string | undefined, nowMs: base.Millis): types.HostDecision & { kind: 'run' } {
    const { runId } = this._runs.add(call, 'queue', place.limits, delegation, nowMs)
    this._admission.queue.add(runId, place.latestStartMs)
    this._health.handleQueued(runId)
    return { kind: 'run', runId, latestStartMs: place.latestStartMs }
  }

  private _join (runId: number, call: messages.CallMessage, nowMs: base.Millis): types.HostDecision {
    const run = this._runs.get(runId)
    if (run === undefined) return decisions.answer(answers.unknown('running'))
    run.waiters++
    run.deadlineAtMs = Math.max(run.deadlineAtMs, nowMs + call.remainingMs)
    // Puts a run back whose earlier callers have all gone.
    if (run.place === 'queue') this._admission.queue.add(runId, Math.min(run.deadlineAtMs, nowMs + run.limits.maxQueueMs))
    return { kind: 'join', runId }
  }

  private _refuseKey (call: requests.KeyedCall, keyTimeMs: base.Millis, reason: types.OutcomeReason, retryAfterMs: base.Millis, nowMs: base.Millis): types.HostDecision {
    this._keys.refuse(call.key, { ...requests.identityOf(call), keyTimeMs, reason, untilMs: nowMs + keyChecks.REFUSAL_RETENTION_MS })
    return decisions.answer(answers.notRun(reason, Math.max(keyChecks.KEY_RETRY_AFTER_MS, retryAfterMs)))
  }

  private _dropReason (run: runs.Run, nowMs: base.Millis): types.OutcomeReason | undefined {
    if (this._isDraining) return 'draining'
    if (run.waiters === 0) return 'canceled'
    if (nowMs > run.deadlineAtMs) return 'deadline'
    if (!this._admission.queue.canStart(run.runId, nowMs)) return 'overloaded'
    if (!this._options.targetReady()) return 'no-target'
    return this._options.crashes.isBlocked(run.key, run.fingerprint, nowMs) ? 'crashes-target' : undefined
  }

  private _leaveTarget (run: runs.Run, result: types.RunResult, nowMs: base.Millis): void {
    this._admission.queue.remove(run.runId)
    if (run.place !== 'target') {
      this._health.endProbeOf(run.runId)
      return
    }
    this._admission.recordEnd(result.kind === 'answered' ? result.serviceMs : undefined)
    this._health.handleEnd(run, result, nowMs)
  }

  private _settle (run: runs.Run, result: types.RunResult, nowMs: base.Millis): types.FinalAnswer {
    const ownedKey = run.delegation === undefined ? run.key : undefined
    if (result.kind === 'answered') {
      this._options.crashes.clearSuspicion(run.fingerprint)
      const { status, headers, body, streamed } = result
      if (ownedKey !== undefined) this._keys.markAnswered(ownedKey, streamed ? undefined : { status, headers, body })
      return streamed ? answers.unknown('answer-not-kept') : answers.answered(status, headers, body)
    }
    if (result.kind === 'lost') {
      if (ownedKey !== undefined) this._keys.markUnknown(ownedKey, result.reason)
      return answers.unknown(result.reason)
    }
    const reason = run.dropReason ?? result.reason
    if (ownedKey === undefined) return answers.notRun(reason, decisions.RETRY_AFTER_MS)
    const keyTimeMs = this._keys.get(ownedKey)?.keyTimeMs ?? 0
    this._keys.refuse(ownedKey, { ...requests.identityOf(run), keyTimeMs, reason, untilMs: nowMs + keyChecks.REFUSAL_RETENTION_MS })
    return answers.notRun(reason, keyChecks.KEY_RETRY_AFTER_MS)
  }

  private _expire (runId: number, nowMs: base.Millis): types.HostUpdate {
    const run = this._runs.get(runId)
    const hasTime = run !== undefined && nowMs <= run.deadlineAtMs
    if (hasTime && this._health.isSuspect(this._isFull, nowMs)) return this._vacate(run, 'no-target', nowMs)
    const reason = hasTime ? 'overloaded' : 'deadline'
    return { kind: 'answer', runId, answer: this.finish(runId, { kind: 'not-started', reason }, nowMs) }
  }

  /** Empties the queue, but for the call that tries whether the target still hangs. */
  private _vacateQueue (reason: types.OutcomeReason, nowMs: base.Millis): readonly types.HostUpdate[] {
    const queued = [...this._runs.localRuns()].filter(run => run.place === 'queue' && (reason === 'draining' || !this._health.isProbe(run.runId)))
    return queued.map(run => this._vacate(run, reason, nowMs))
  }

  /** Moves a queued call away from the target: to a delegate if this node owns its key, else back to the entry node. */
  private _vacate (run: runs.Run, reason: types.OutcomeReason, nowMs: base.Millis): types.HostUpdate {
    const ownedKey = run.delegation === undefined ? run.key : undefined
    const choice = ownedKey === undefined || run.waiters === 0 ? undefined : this._options.delegates.select(run.service, nowMs)
    const entry = ownedKey === undefined ? undefined : this._keys.get(ownedKey)
    if (choice === undefined || entry === undefined) {
      const final = this.finish(run.runId, { kind: 'not-started', reason }, nowMs)
      return { kind: 'answer', runId: run.runId, answer: final }
    }
    // A new id, so that the process cannot end the delegated run when it drops the queued one.
    const moved = this._runs.move(run, 'delegate')
    moved.delegate = choice.nodeId
    this._admission.queue.remove(run.runId)
    entry.runId = moved.runId
    return { kind: 'delegate', runId: run.runId, delegateRunId: moved.runId, to: choice.nodeId, address: choice.address }
  }
}
