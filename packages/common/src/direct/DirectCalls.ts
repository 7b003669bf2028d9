import type * as base from '../base/Types.js'
import * as callerBudgets from './CallerBudgets.js'
import type * as rolloutRegister from './RolloutRegister.js'
import * as retryAllowances from './RetryAllowances.js'
import * as rulesInForce from './RulesInForce.js'
import * as splitRotation from './SplitRotation.js'
import * as starvationGuard from './StarvationGuard.js'
import type * as targetPicker from './TargetPicker.js'
import type * as targetTable from './TargetTable.js'
import type * as types from './Types.js'

/**
 * After this many refusals by hosts, the call is refused to its caller. If that is a run of a target, the run fails and its
 * slot was used in vain, which costs far more than asking further hosts.
 */
const MAX_REFUSALS = { caller: 3, run: 8, 'retried-run': 8 } as const
/**
 * After a target has rejected a call although others have free slots: a later try is no more likely to be run than one at once,
 * and may be late.
 */
const REJECTED_RETRY_MS = 20
/** Share of the slots of a service that counts as room for a try at once. */
const ROOM_SHARE = 0.05
const MIN_RETRY_MS = 50
/** Callers honour a wait of at most this share of their remaining time. */
const MAX_WAIT_SHARE = 0.3
/** Random addition to the wait as a share of it, so that refused callers do not retry together. */
const WAIT_JITTER = 0.5
/** A retry with less remaining time is unlikely to succeed. */
const MIN_RETRY_TIME_MS = 20
/** Weight of the newest answer in the moving average of request and answer size of a route. */
const SIZE_WEIGHT = 0.1
const INITIAL_SIZE_BYTES = 1000
/** A host that refused a call as busy gets no further calls for this share of the wait that it stated. */
const AVOID_SHARE = 0.25
/** A call that ends without an answer counts as a failure of its target after this share of the route's timeout. */
const FAILED_SHARE = 0.5
/** Response statuses after which an idempotent call is retried. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503])
/** Urgency of a call of a starved level. */
const MOST_URGENT = 0
const NO_NODES: ReadonlySet<base.NodeId> = new Set()

interface Call {
  readonly callId: number
  readonly rule: types.RouteRule
  /** Undefined if the call is made for no customer. */
  readonly customer: types.CustomerRule | undefined
  readonly level: number
  readonly urgency: number
  readonly service: string
  readonly beganAtMs: base.Millis
  readonly deadlineAtMs: base.Millis
  readonly requestBytes: number
  readonly origin: types.RequestOrigin
  readonly history: types.IRequestHistory | undefined
  /** Whether its first send is due to go to the new version of a service that is rolled out. */
  readonly isForNewVersion: boolean
  to: base.NodeId
  sentAtMs: base.Millis
  /** Sends that reached a target, or may have. */
  attempts: number
  refusals: number
  isRefusedAsBusy: boolean
  shortestWaitMs: base.Millis
  mayHaveRun: boolean
  /** A target has answered an earlier send. That answer is returned if no later send gets a better one. */
  isAnswered: boolean
  tried: Set<base.NodeId> | undefined
}

export interface DirectCallsOptions {
  readonly table: targetTable.TargetTable
  readonly picker: targetPicker.TargetPicker
  readonly random: base.IRandom
  readonly retryTerms: types.RetryTerms
  /** Number of nodes that share the slack of the retry terms; undefined if not known. */
  readonly nodeCount: () => number | undefined
  /** Start of this process. */
  readonly startedAtMs: base.Millis
  /** Versions of services that are rolled out. Undefined if there are none. */
  readonly rollouts?: rolloutRegister.RolloutRegister | undefined
}

/**
 * Calls that entered the mesh at this node. A call that is not idempotent is retried only after a host has stated that it
 * did not run. A call is refused only if that holds for all of its sends; otherwise it fails and its result is unknown.
 */
export class DirectCalls {
  public readonly inForce = new rulesInForce.RulesInForce()
  private readonly _calls = new Map<number, Call>()
  private readonly _budgets = new callerBudgets.CallerBudgets()
  private readonly _splits = new splitRotation.SplitRotation()
  private readonly _retries: retryAllowances.RetryAllowances
  private readonly _starvation = new starvationGuard.StarvationGuard()
  private readonly _sizes = new Map<string, number>()
  private _nextCallId = 1

  constructor (private readonly _options: DirectCallsOptions) {
    this._retries = new retryAllowances.RetryAllowances(_options)
  }

  /** Fires when a retry of a call that reached a target, or may have, is allowed or denied. */
  public get onRetry (): base.IEvent<types.RetryDecided> {
    return this._retries.onRetry
  }

  public get rules (): types.MeshRules | undefined {
    return this.inForce.rules
  }

  /** Puts a configuration into force. Calls in flight keep the route that they started with. False if it is not newer. */
  public enforce (rules: types.MeshRules): boolean {
    if (!this.inForce.replace(rules)) return false
    this._splits.keepOnly(rules.routes)
    return true
  }

  /** Whether that many nested calls of retried runs may be sent to the service. */
  public mayNestRetries (service: string, calls: number, nowMs: base.Millis): boolean {
    return this._retries.mayNest(service, calls, nowMs)
  }

  /** Refuses a request that has not been begun. */
  public refuse ({ host, path }: Pick<types.CallRequest, 'host' | 'path'>, reason: types.RefusalReason, retryAfterMs: base.Millis): types.OwnAnswer {
    return refusal(this._nextCallId++, reason, retryAfterMs, this.inForce.routeOf(host, path))
  }

  public begin (request: types.CallRequest, nowMs: base.Millis): types.CallDecision {
    const callId = this._nextCallId++
    const checked = this.inForce.check(request, nowMs)
    if (checked.kind === 'refused') return refusal(callId, checked.reason, checked.retryAfterMs, checked.rule)
    const { rule, identified, remainingMs } = checked
    const service = this._splits.next(rule)
    const call: Call = {
      callId,
      rule,
      customer: identified.customer,
      level: identified.urgency,
      urgency: this._urgencyOf(identified, nowMs),
      service,
      isForNewVersion: this._options.rollouts?.draw(service) ?? false,
      // Targets make their calls once, with whatever time is left to their run.
      beganAtMs: request.origin === 'caller' ? nowMs - this._budgets.spentMs(rule.name, request.remainingMs, nowMs) : nowMs,
      deadlineAtMs: nowMs + remainingMs,
      requestBytes: request.bodyBytes,
      origin: request.origin,
      history: request.history,
      to: '',
      sentAtMs: nowMs,
      attempts: 0,
      refusals: 0,
      isRefusedAsBusy: false,
      shortestWaitMs: Infinity,
      mayHaveRun: false,
      isAnswered: false,
      tried: undefined
    }
    if (call.origin === 'retried-run') this._retries.recordNestedCall(call.service, nowMs)
    else if (call.origin === 'caller') this._retries.recordRequest(call.service, nowMs)
    this._calls.set(callId, call)
    return this._sendNext(call, nowMs) ?? this._refuseUnsent(call, nowMs)
  }

  /** Handles a host's statement that the call did not run there and will not run. */
  public handleRefusal (callId: number, from: base.NodeId, refused: types.HostRefusal, nowMs: base.Millis): types.CallDecision | undefined {
    const call = this._current(callId, from)
    if (call === undefined) return undefined
    if (refused.reachedTarget) this._options.table.recordEnd(from, true, nowMs - call.sentAtMs, nowMs)
    else call.attempts -= 1
    call.refusals += 1
    if (refused.reason === 'busy') {
      call.isRefusedAsBusy = true
      call.shortestWaitMs = Math.min(call.shortestWaitMs, refused.waitMs)
    }
    // A nested call is refused where other calls may still wait.
    const isFullForOthers = refused.reason === 'busy' && call.origin === 'caller'
    if (isFullForOthers || refused.reason === 'stopping') this._avoid(from, call.urgency, refused.waitMs, nowMs)
    // Only one target of the fleet at a time tries a request that may crash it, as far as all nodes choose the same one.
    const isTrialTaken = refused.reason === 'busy' && call.history?.standing === 'trial'
    const mayRetry = call.refusals < MAX_REFUSALS[call.origin] && !isTrialTaken && (!refused.reachedTarget || this._mayAttempt(call, 'declined', nowMs))
    const next = mayRetry ? this._sendNext(call, nowMs) : undefined
    if (next !== undefined) return next
    return call.mayHaveRun ? this._endUnknown(call, 'target-lost', nowMs) : this._refuse(call, refused.reason, nowMs)
  }

  /** Handles a send that ended without an answer and may have run. */
  public handleFailure (callId: number, from: base.NodeId, reason: types.FailureReason, nowMs: base.Millis): types.CallDecision | undefined {
    const call = this._current(callId, from)
    if (call === undefined) return undefined
    this._options.table.recordEnd(from, true, nowMs - call.sentAtMs, nowMs)
    call.mayHaveRun = true
    return this._retry(call, reason, nowMs) ?? this._endUnknown(call, reason, nowMs)
  }

  /** Handles an answer of the target. */
  public handleAnswer (callId: number, from: base.NodeId, status: number, bytes: number, nowMs: base.Millis): types.CallDecision | undefined {
    const call = this._current(callId, from)
    if (call === undefined) return undefined
    const isFailure = RETRIED_STATUSES.has(status)
    this._options.table.recordEnd(from, isFailure, nowMs - call.sentAtMs, nowMs)
    if (isFailure) {
      call.mayHaveRun = true
      call.isAnswered = true
      // The error often comes from a nested call and would recur, so a retry must not take a slot that other calls need.
      const next = this._hasFreeSlot(call, nowMs) ? this._retry(call, 'error', nowMs) : undefined
      if (next !== undefined) return next
    }
    const sizeBytes = this._sizeOf(call)
    this._sizes.set(call.rule.name, sizeBytes + SIZE_WEIGHT * (bytes + call.requestBytes - sizeBytes))
    this._calls.delete(callId)
    this._recordEnd(call, { isServed: !isFailure, hasRun: true }, nowMs)
    return { kind: 'answer', callId }
  }

  /**
   * Handles a node that holds the call and has stopped sending messages, maybe only temporarily. An idempotent call is
   * retried on another node if that is allowed; any other call waits for its result until its deadline.
   */
  public handleSilence (callId: number, from: base.NodeId, nowMs: base.Millis): types.CallDecision | undefined {
    const call = this._current(callId, from)
    if (call === undefined) return undefined
    const next = this._retry(call, 'peer-silent', nowMs)
    if (next !== undefined) call.mayHaveRun = true
    return next
  }

  /** Removes a call whose caller has disconnected, and returns the node that holds it. */
  public cancel (callId: number, nowMs: base.Millis): base.NodeId | undefined {
    const call = this._calls.get(callId)
    if (call === undefined) return undefined
    this._calls.delete(callId)
    const waitedMs = nowMs - call.sentAtMs
    this._options.table.recordUnanswered(call.to, waitedMs > call.rule.timeoutMs * FAILED_SHARE, waitedMs, nowMs)
    return call.to
  }

  public get nextDeadlineMs (): base.Millis {
    let earliestMs = Infinity
    for (const call of this._calls.values()) earliestMs = Math.min(earliestMs, call.deadlineAtMs)
    return earliestMs
  }

  /**
   * Ends the calls whose deadline has passed. `withdraw` takes a call back from the node that holds it, and returns true
   * if that node states that it did not run the call.
   */
  public expire (nowMs: base.Millis, withdraw: (nodeId: base.NodeId, callId: number) => boolean): readonly types.FinalDecision[] {
    const ended: types.FinalDecision[] = []
    for (const call of this._calls.values()) {
      if (nowMs < call.deadlineAtMs) continue
      this._options.table.recordEnd(call.to, nowMs - call.sentAtMs > call.rule.timeoutMs * FAILED_SHARE, nowMs - call.sentAtMs, nowMs)
      ended.push(this._endEarly(call, { refusal: 'deadline', failure: 'timeout' }, withdraw, nowMs))
    }
    return ended
  }

  /** Ends all calls, because this node stops. `withdraw` as for `expire`. */
  public endAll (nowMs: base.Millis, withdraw: (nodeId: base.NodeId, callId: number) => boolean): readonly types.FinalDecision[] {
    return [...this._calls.values()].map(call => this._endEarly(call, { refusal: 'stopping', failure: 'node-stopped' }, withdraw, nowMs))
  }

  private _endEarly (call: Call, reasons: { readonly refusal: types.RefusalReason, readonly failure: types.FailureReason }, withdraw: (nodeId: base.NodeId, callId: number) => boolean, nowMs: base.Millis): types.FinalDecision {
    // Removed first: `withdraw` may report a failure of this call, which must not end it a second time.
    this._calls.delete(call.callId)
    const isWithdrawn = withdraw(call.to, call.callId)
    return isWithdrawn && !call.mayHaveRun ? this._refuse(call, reasons.refusal, nowMs) : this._endUnknown(call, reasons.failure, nowMs)
  }

  private _current (callId: number, from: base.NodeId): Call | undefined {
    const call = this._calls.get(callId)
    return call?.to === from ? call : undefined
  }

  /** `hasRun`: a target has answered, maybe with an error, which no urgency would have prevented. */
  private _recordEnd (call: Call, { isServed, hasRun }: { readonly isServed: boolean, readonly hasRun: boolean }, nowMs: base.Millis): void {
    this._budgets.recordEnd(call.rule.name, isServed)
    if (call.customer !== undefined) this._starvation.recordEnd(call.level, hasRun, nowMs)
  }

  /** A level of urgency that is hardly served gets some of its calls before all others. */
  private _urgencyOf ({ customer, urgency }: { readonly customer: types.CustomerRule | undefined, readonly urgency: number }, nowMs: base.Millis): number {
    return customer !== undefined && this._starvation.isStarved(urgency, nowMs) ? MOST_URGENT : urgency
  }

  private _retry (call: Call, cause: types.RetryCause, nowMs: base.Millis): types.CallDecision | undefined {
    if (call.rule.kind !== 'idempotent' || !this._mayAttempt(call, cause, nowMs)) return undefined
    return this._sendNext(call, nowMs)
  }

  private _hasFreeSlot (call: Call, nowMs: base.Millis): boolean {
    const { row } = this._pick(call, nowMs)
    if (row === undefined) return false
    const { load: { running, slots, limit }, sentSinceReport } = row
    return running + sentSinceReport < slots && sentSinceReport < (limit?.permits ?? Infinity)
  }

  /** Whether the call may be sent to another target after it reached one. Takes a retry from the allowance if so. */
  private _mayAttempt (call: Call, cause: types.RetryCause, nowMs: base.Millis): boolean {
    const { callId, service, rule } = call
    if (call.attempts >= rule.maxAttempts || call.deadlineAtMs - nowMs < MIN_RETRY_TIME_MS) return false
    if (call.history?.standing === 'blocked') return false
    return this._pick(call, nowMs).row !== undefined && this._retries.take({ callId, service, route: rule.name, cause }, nowMs)
  }

  private _sendNext (call: Call, nowMs: base.Millis): types.SendDecision | undefined {
    if (call.history?.standing === 'blocked') return undefined
    const { row } = this._pick(call, nowMs)
    if (row === undefined) return undefined
    const isRetry = call.attempts > 0 || call.origin === 'retried-run'
    call.to = row.nodeId
    call.sentAtMs = nowMs
    call.attempts += 1
    call.tried ??= new Set()
    call.tried.add(row.nodeId)
    this._options.table.recordSend(row.nodeId, nowMs)
    const { callId, service, rule, urgency, deadlineAtMs, beganAtMs } = call
    return { kind: 'send', callId, nodeId: row.nodeId, service, rule, urgency, deadlineAtMs, beganAtMs, isRetry }
  }

  private _pick (call: Call, nowMs: base.Millis): targetPicker.PickResult {
    const { service, rule, urgency, tried, beganAtMs, isRefusedAsBusy, history, origin, isForNewVersion, attempts } = call
    // The retry of a call may not add to what a bad version gets.
    const versions = this._options.rollouts?.choice(service, isForNewVersion && attempts === 0)
    const picked = { history, versions, service, isNested: origin !== 'caller', priority: urgency, bytes: this._sizeOf(call), onTimeMs: beganAtMs + rule.objectiveMs - nowMs, isIdempotent: rule.kind === 'idempotent', isRefusedAsBusy }
    return this._options.picker.pick(picked, tried ?? NO_NODES, nowMs)
  }

  private _sizeOf (call: Call): number {
    return this._sizes.get(call.rule.name) ?? INITIAL_SIZE_BYTES
  }

  private _avoid (nodeId: base.NodeId, priority: number, waitMs: base.Millis, nowMs: base.Millis): void {
    const row = this._options.table.get(nodeId)
    if (row === undefined) return
    row.avoidedPriority = row.avoidUntilMs > nowMs ? Math.min(row.avoidedPriority, priority) : priority
    row.avoidUntilMs = nowMs + waitMs * AVOID_SHARE
  }

  private _refuseUnsent (call: Call, nowMs: base.Millis): types.OwnAnswer {
    const { isBusy, limitWaitMs } = this._pick(call, nowMs)
    call.shortestWaitMs = limitWaitMs
    return this._refuse(call, isBusy ? 'busy' : 'no-target', nowMs)
  }

  private _refuse (call: Call, reason: types.RefusalReason, nowMs: base.Millis): types.OwnAnswer {
    this._calls.delete(call.callId)
    this._recordEnd(call, { isServed: false, hasRun: false }, nowMs)
    if (call.history?.standing === 'blocked') return { ...refusal(call.callId, 'crashes-targets', call.history.blockedForMs, call.rule), sends: call.attempts + call.refusals }
    const seen = this._options.table.slotsOf(call.service)
    const waitMs = retryWaitMs(call, reason, seen)
    const spreadMs = waitMs * (1 + WAIT_JITTER * this._options.random.nextFloat())
    const retryAfterMs = Math.max(0, Math.min(spreadMs, (call.deadlineAtMs - nowMs) * MAX_WAIT_SHARE))
    return { kind: 'refuse', callId: call.callId, reason, retryAfterMs, rule: call.rule, sends: call.attempts + call.refusals, seen }
  }

  /** Ends a call that may have run. Returns the answer of an earlier send if there is one. */
  private _endUnknown (call: Call, reason: types.FailureReason, nowMs: base.Millis): types.FinalDecision {
    this._recordEnd(call, { isServed: false, hasRun: false }, nowMs)
    if (!call.isAnswered) return this._fail(call, reason)
    this._calls.delete(call.callId)
    return { kind: 'answer', callId: call.callId }
  }

  private _fail (call: Call, reason: types.FailureReason): types.OwnAnswer {
    this._calls.delete(call.callId)
    return { kind: 'fail', callId: call.callId, reason, retryAfterMs: 0, rule: call.rule, sends: call.attempts + call.refusals }
  }
}

function retryWaitMs ({ shortestWaitMs }: Call, reason: types.RefusalReason, { free, slots }: types.SlotView): base.Millis {
  if (Number.isFinite(shortestWaitMs)) return Math.max(MIN_RETRY_MS, shortestWaitMs)
  return reason === 'target-refused' && free > slots * ROOM_SHARE ? REJECTED_RETRY_MS : rulesInForce.DEFAULT_RETRY_MS
}

function refusal (callId: number, reason: types.RefusalReason, retryAfterMs: base.Millis, rule?: types.RouteRule): types.OwnAnswer {
  return { kind: 'refuse', callId, reason, retryAfterMs, rule, sends: 0 }
}
