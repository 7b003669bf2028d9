import * as deadlineTimer from '../DeadlineTimer.js'
import * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import * as rulesInForce from '@elmpost/common/direct/RulesInForce.js'
import * as rawHeaderFilter from './RawHeaderFilter.js'
import type * as requestIdentity from './RequestIdentity.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as callGrants from '@elmpost/common/direct/CallGrants.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as services from './Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

/**
 * The wait of a connection to be accepted is only known to be below the time for which each turn of the event loop has accepted
 * one. Beyond this share of its remaining time a caller has usually left, so one that is still there has waited for less.
 */
const MAX_ACCEPT_WAIT_SHARE = 0.5

export interface EntryGateOptions {
  readonly nodeId: base.NodeId
  readonly service: string
  readonly calls: directCalls.DirectCalls
  readonly table: targetTable.TargetTable
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
  /** Sends a call to a host node. False if it was certainly not sent. */
  readonly send: (nodeId: base.NodeId, call: types.CallMessage) => boolean
  /** Cancels a call at its host node. True if it certainly did not run and will not. */
  readonly cancel: (nodeId: base.NodeId, callId: number) => boolean
  readonly onCallEnd: (exchange: services.IExchange, end: CallEnd) => void
  /** The caller has disconnected before its call had an answer. */
  readonly onCallCancelled: (exchange: services.IExchange, cancelled: CancelledCall) => void
  /** Time at which the node stops. Calls that may last longer are refused. */
  readonly callsEndByMs: () => base.Millis
  /** How long requests that are read now may already have waited while the process was stalled. */
  readonly suspectedMs: () => base.Millis
  readonly crashes: services.ICrashGuard
  readonly nestedCalls: services.INestedCalls
  readonly limits: services.ICallLimits
}

/** How a call ended for its caller. */
export interface CallEnd {
  readonly outcome: 'answered' | 'refuse' | 'fail'
  readonly reason: string
  readonly status: number
  readonly totalMs: base.Millis
  /** Since the first request of the caller, including earlier requests that were refused. */
  readonly callerWaitMs: base.Millis
  readonly origin: directServices.CallOrigin
  /** Undefined if no route was found. */
  readonly rule: direct.RouteRule | undefined
  /** Customer for whom the call was made. Undefined if it is for none, or not known. */
  readonly customer: string | undefined
  readonly nodeId: base.NodeId
  readonly sends: number
  readonly retryAfterMs: base.Millis
  /** What this node knew of the slots of the service when it refused the call. */
  readonly seen: direct.SlotView | undefined
}

/** A call whose caller has disconnected. */
export interface CancelledCall {
  /** Since the whole request was read. */
  readonly totalMs: base.Millis
  readonly rule: direct.RouteRule | undefined
  readonly nodeId: base.NodeId
  readonly sends: number
}

/** A request that may have to wait for a grant. */
interface Arrival {
  readonly exchange: services.IExchange
  readonly arrivedAtMs: base.Millis
  /** The request as hosts pass it to their targets. */
  readonly request: requestIdentity.IdentifiedRequest
  readonly parentId: string | undefined
  readonly customer: string | undefined
  /** The properties that decisions depend on, when the request arrived. */
  readonly call: direct.CallRequest
}

/** A request that waits for a grant. */
interface HeldCall {
  readonly arrival: Arrival
  readonly customer: string
  readonly onSettled: services.GrantHandler
}

interface PendingCall {
  readonly exchange: services.IExchange
  readonly beganAtMs: base.Millis
  /** The request as hosts pass it to their targets. */
  readonly request: requestIdentity.IdentifiedRequest
  readonly origin: directServices.CallOrigin
  readonly customer: string | undefined
  /** Undefined if the call needs none. */
  readonly grant: callGrants.Grant | undefined
  /** Time for which the call has waited for its grant. */
  readonly heldMs: base.Millis
  rule: direct.RouteRule | undefined
  /** Time of the first request of the caller. */
  callerSinceMs: base.Millis
  nodeId: base.NodeId
  sends: number
  answer: types.TargetAnswer | undefined
}

/** Carries the calls that callers make at this entry node, from the request to the final answer. */
export class EntryGate implements services.IExchangeOwner, services.IHostCaller, base.IDisposable {
  private readonly _options: EntryGateOptions
  private readonly _pendingCalls = new Map<number, PendingCall>()
  private readonly _callIds = new Map<services.IExchange, number>()
  private readonly _held = new Map<services.IExchange, HeldCall>()
  private readonly _deadlines: deadlineTimer.DeadlineTimer
  private _lastCallAtMs: base.Millis = 0

  constructor (options: EntryGateOptions) {
    this._options = options
    this._deadlines = new deadlineTimer.DeadlineTimer({ nowMs: options.nowMs, expire: () => this._expireCalls() })
  }

  public get inFlight (): number {
    return this._pendingCalls.size + this._held.size
  }

  /** Time at which the last call arrived. */
  public get lastCallAtMs (): base.Millis {
    return this._lastCallAtMs
  }

  public begin (exchange: services.IExchange): void {
    const { calls, nestedCalls, nowMs, callsEndByMs } = this._options
    const arrivedAtMs = nowMs()
    this._lastCallAtMs = arrivedAtMs
    const { host, path, body, info } = exchange
    const parentId = this._options.dialect.parentIdOf(info.requestId)
    const run = nestedCalls.customerOf(parentId)
    const { customerKey } = info
    const customer = calls.inForce.customerOf({ host, path, customerKey, run })
    const remainingMs = info.remainingMs === undefined ? undefined : info.remainingMs - this._uncountedMs(exchange, info.remainingMs)
    const request = { method: exchange.method, path, headers: this._forwardedHeaders(exchange, customer?.name), body }
    const history = this._options.crashes.historyOf(request)
    const call: direct.CallRequest = { host, path, remainingMs, bodyBytes: body?.length ?? 0, endByMs: callsEndByMs(), origin: nestedCalls.originOf(parentId), history, customerKey, run }
    const arrival: Arrival = { exchange, arrivedAtMs, request, parentId, customer: customer?.name, call }
    // A nested call has no key; the run in which it is made has a grant.
    const isLimited = customer !== undefined && Number.isFinite(customer.maxCallsPerS) && customerKey !== undefined
    if (isLimited && calls.inForce.check(call, arrivedAtMs).kind === 'accepted') this._takeGrant(arrival, customer.name)
    else this._begin(arrival, undefined)
  }

  /** Request id of a call that has no answer yet, as given by the caller. */
  public requestIdOf (callId: number): string | undefined {
    return this._pendingCalls.get(callId)?.exchange.info.requestId
  }

  public cancel (exchange: services.IExchange): void {
    const held = this._release(exchange)
    if (held !== undefined) {
      const { arrivedAtMs, call: { host, path } } = held
      this._options.onCallCancelled(exchange, { totalMs: this._options.nowMs() - arrivedAtMs, rule: this._options.calls.inForce.routeOf(host, path), nodeId: '', sends: 0 })
      return
    }
    const callId = this._callIds.get(exchange)
    const call = callId === undefined ? undefined : this._pendingCalls.get(callId)
    if (callId === undefined || call === undefined) return
    this._remove(callId)
    const nodeId = this._options.calls.cancel(callId, this._options.nowMs())
    if (nodeId !== undefined) this._options.cancel(nodeId, callId)
    const { rule, sends, beganAtMs } = call
    this._options.onCallCancelled(exchange, { totalMs: this._options.nowMs() - beganAtMs, rule, nodeId: call.nodeId, sends })
  }

  public handleHostResult (nodeId: base.NodeId, callId: number, result: types.HostResult, load: direct.TargetLoad): void {
    const { calls, table, nowMs } = this._options
    table.updateLoad(nodeId, load, nowMs())
    if (result.kind === 'answered') table.recordNotice(nodeId, this._options.dialect.readNotice(result.answer.headers))
    const call = this._pendingCalls.get(callId)
    if (call === undefined) return
    switch (result.kind) {
      case 'answered':
        call.answer = result.answer
        this._options.crashes.recordAnswer(call.request, result.answer.status)
        this._carryOut(calls.handleAnswer(callId, nodeId, result.answer.status, result.answer.body?.length ?? 0, nowMs()))
        break
      case 'refused':
        this._carryOut(calls.handleRefusal(callId, nodeId, result.refusal, nowMs()))
        break
      case 'failed':
        this._carryOut(calls.handleFailure(callId, nodeId, result.reason, nowMs()))
    }
  }

  /** The connection to the node is lost, so the outcome of these calls is unknown. */
  public handlePeerLost (nodeId: base.NodeId, callIds: readonly number[]): void {
    for (const callId of callIds) this._carryOut(this._options.calls.handleFailure(callId, nodeId, 'peer-lost', this._options.nowMs()))
  }

  /** The node is unreachable. Calls that are sent to another node instead are cancelled at this one. */
  public handlePeerSilent (nodeId: base.NodeId, callIds: readonly number[]): void {
    for (const callId of callIds) {
      const decision = this._options.calls.handleSilence(callId, nodeId, this._options.nowMs())
      if (decision === undefined) continue
      this._options.cancel(nodeId, callId)
      this._carryOut(decision)
    }
  }

  /** Gives each call that has no answer its final one, because this node stops. */
  public endAll (): void {
    const { calls, cancel, nowMs } = this._options
    // First, so that none of them takes the grant of another call and is begun.
    for (const { arrival } of [...this._held.values()]) {
      this._release(arrival.exchange)
      this._refuse(arrival, 'stopping', rulesInForce.STOPPING_RETRY_MS)
    }
    for (const decision of calls.endAll(nowMs(), cancel)) this._carryOut(decision)
  }

  public dispose (): void {
    this._deadlines.dispose()
  }

  /** How much of the caller's remaining time has passed before now. */
  private _uncountedMs ({ waitedMs, acceptWaitMs }: services.IExchange, remainingMs: base.Millis): base.Millis {
    return Math.max(waitedMs + Math.min(acceptWaitMs, remainingMs * MAX_ACCEPT_WAIT_SHARE), this._options.suspectedMs())
  }

  private _takeGrant (arrival: Arrival, customer: string): void {
    const onSettled: services.GrantHandler = settled => {
      this._held.delete(arrival.exchange)
      this._handleSettled(arrival, settled)
    }
    const taken = this._options.limits.take(customer, onSettled)
    if (taken.kind === 'waiting') this._held.set(arrival.exchange, { arrival, customer, onSettled })
    else this._handleSettled(arrival, taken)
  }

  private _handleSettled (arrival: Arrival, settled: callGrants.Settled): void {
    if (settled.kind === 'granted') this._begin(arrival, settled.grant)
    else this._refuse(arrival, 'over-limit', settled.retryAfterMs)
  }

  /** Removes a request that waits for a grant. Undefined if it does not. */
  private _release (exchange: services.IExchange): Arrival | undefined {
    const held = this._held.get(exchange)
    if (held === undefined) return undefined
    this._held.delete(exchange)
    this._options.limits.cancel(held.customer, held.onSettled)
    return held.arrival
  }

  /** Begins a call, which may have waited for its grant. */
  private _begin (arrival: Arrival, grant: callGrants.Grant | undefined): void {
    const { calls, nestedCalls, nowMs, callsEndByMs } = this._options
    const { parentId, call: { remainingMs } } = arrival
    if (calls.inForce.customerOf(arrival.call)?.name !== arrival.customer) {
      // A version that came while the call waited for its grant has given the key to another customer.
      if (grant !== undefined) this._options.limits.giveBack(grant)
      this.begin(arrival.exchange)
      return
    }
    const beganAtMs = nowMs()
    const heldMs = beganAtMs - arrival.arrivedAtMs
    const decision = calls.begin({ ...arrival.call, remainingMs: remainingMs === undefined ? undefined : remainingMs - heldMs, endByMs: callsEndByMs() }, beganAtMs)
    if (parentId !== undefined && decision.kind === 'send') nestedCalls.recordCall(parentId, decision.service)
    this._add(arrival, decision, grant, heldMs)
  }

  private _refuse (arrival: Arrival, reason: direct.RefusalReason, retryAfterMs: base.Millis): void {
    this._add(arrival, this._options.calls.refuse(arrival.call, reason, retryAfterMs), undefined, this._options.nowMs() - arrival.arrivedAtMs)
  }

  private _add ({ exchange, arrivedAtMs, request, parentId, customer }: Arrival, decision: direct.CallDecision, grant: callGrants.Grant | undefined, heldMs: base.Millis): void {
    const call: PendingCall = {
      exchange,
      beganAtMs: arrivedAtMs,
      callerSinceMs: arrivedAtMs,
      request,
      origin: parentId === undefined ? 'client' : 'target',
      customer,
      grant,
      heldMs,
      rule: undefined,
      nodeId: '',
      sends: 0,
      answer: undefined
    }
    this._pendingCalls.set(decision.callId, call)
    this._callIds.set(exchange, decision.callId)
    this._carryOut(decision)
  }

  private _carryOut (decision: direct.CallDecision | undefined): void {
    let next = decision
    while (next !== undefined) {
      const call = this._pendingCalls.get(next.callId)
      if (call === undefined) return
      if (next.kind === 'send') {
        next = this._send(call, next)
      } else {
        if (next.kind === 'answer') this._endWithAnswer(next.callId, call)
        else this._endWithoutAnswer(call, next)
        return
      }
    }
  }

  /** Sends the call. Returns the next decision if it could not be sent. */
  private _send (call: PendingCall, decision: direct.SendDecision): direct.CallDecision | undefined {
    const { nowMs, send, calls } = this._options
    const { callId, nodeId, rule, urgency, deadlineAtMs, service, isRetry } = decision
    const beganAtMs = decision.beganAtMs - call.heldMs
    const sentAtMs = nowMs()
    call.rule = rule
    call.callerSinceMs = beganAtMs
    call.nodeId = nodeId
    call.sends += 1
    this._deadlines.arm(deadlineAtMs)
    const { method, path, headers, body } = call.request
    const message: types.CallMessage = {
      callId,
      service,
      isIdempotent: rule.kind === 'idempotent',
      priority: urgency,
      remainingMs: deadlineAtMs - sentAtMs,
      objectiveMs: rule.objectiveMs,
      elapsedMs: sentAtMs - beganAtMs,
      requestId: call.exchange.info.requestId,
      method,
      path,
      headers,
      body,
      isRetry,
      mayOfferBody: rule.hasLongBodies === true || (body?.length ?? 0) >= rulesInForce.LONG_BODY_BYTES,
      crashes: this._options.crashes.reportsOf(call.request)
    }
    if (send(nodeId, message)) return undefined
    return calls.handleRefusal(callId, nodeId, { reason: 'no-target', reachedTarget: false, waitMs: 0 }, sentAtMs)
  }

  private _endWithAnswer (callId: number, call: PendingCall): void {
    this._remove(callId)
    const { answer, exchange } = call
    if (answer === undefined) return
    exchange.answer(answer)
    this._reportEnd(call, 'answered', 'ok', answer.status)
  }

  private _endWithoutAnswer (call: PendingCall, decision: direct.OwnAnswer): void {
    this._remove(decision.callId)
    call.rule ??= decision.rule
    call.exchange.refuse(decision)
    this._reportEnd(call, decision.kind, decision.reason, 0, decision)
    // Last, because another call may be begun with it.
    if (decision.kind === 'refuse' && call.grant !== undefined) this._options.limits.giveBack(call.grant)
  }

  private _reportEnd (call: PendingCall, outcome: CallEnd['outcome'], reason: string, status: number, own?: direct.OwnAnswer): void {
    const { rule, origin, customer, nodeId, sends } = call
    const nowMs = this._options.nowMs()
    this._options.onCallEnd(call.exchange, {
      outcome,
      reason,
      status,
      totalMs: nowMs - call.beganAtMs,
      callerWaitMs: nowMs - call.callerSinceMs,
      origin,
      rule,
      customer,
      nodeId,
      sends,
      retryAfterMs: own?.retryAfterMs ?? 0,
      seen: own?.seen
    })
  }

  private _expireCalls (): base.Millis {
    const { calls, cancel, nowMs } = this._options
    for (const decision of calls.expire(nowMs(), cancel)) this._carryOut(decision)
    return calls.nextDeadlineMs
  }

  private _remove (callId: number): void {
    const call = this._pendingCalls.get(callId)
    this._pendingCalls.delete(callId)
    if (call !== undefined) this._callIds.delete(call.exchange)
  }

  private _forwardedHeaders (exchange: services.IExchange, customer: string | undefined): types.RawHeaders {
    const { dialect, service, calls } = this._options
    const { hasCustomers } = calls.inForce
    const headers = rawHeaderFilter.forwardable(exchange.headers, name => dialect.isSetByNode(name) || (hasCustomers && dialect.isForCustomers(name)))
    headers.push(...dialect.entryHeaders(service, customer))
    return headers
  }
}
