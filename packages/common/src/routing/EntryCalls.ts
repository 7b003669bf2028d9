import * as digest from '../base/Digest.js'
import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as distributionServices from '../distribution/Services.js'
import type * as hostingServices from '../hosting/Services.js'
import type * as hosting from '../hosting/Types.js'
import type * as membershipServices from '../membership/Services.js'
import type * as membership from '../membership/Types.js'
import type * as messages from '../node/Messages.js'
import * as answers from './Answers.js'
import * as keys from '../hosting/Keys.js'
import * as keyGenerator from './KeyGenerator.js'
import * as ownerLocator from './OwnerLocator.js'
import * as retryBudget from './RetryBudget.js'
import * as routeTable from './RouteTable.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Maximum number of calls above a nested call; a longer chain is most likely a cycle. */
const MAX_DEPTH = 16

const MAX_REDIRECTS = 3

/** Call ids start at the incarnation times this factor. Ids of a later incarnation are higher unless more calls than this begin per millisecond. */
const CALL_IDS_PER_MS = 2_048

const NOTHING_EXCLUDED: ReadonlySet<base.NodeId> = new Set()

/** Statuses of a target after which another target may succeed. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504])

const REASON_HEADER = 'elmpost-reason'

/** Refusals by a host that another host may not repeat. Not `stale-send`: a retry has the same age. */
const RETRIED_REASONS: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>([
  'no-route', 'no-target', 'no-configuration', 'target-lost', 'peer-lost'
])

/** Reasons by which a host reports that it does not own the key; another node may own it. */
const NOT_OWNED_REASONS: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['not-owner', 'key-before-start'])

/** Result of choosing a node for a call. */
type Location = ownerLocator.OwnerLocation | { readonly kind: 'bad-key' }

export interface EntryCallsOptions {
  readonly membership: Pick<membershipServices.IMembership, 'self' | 'get' | 'onChange'>
  readonly enforcement: Pick<distributionServices.IEnforcement, 'current'>
  readonly ownership: Pick<hostingServices.IOwnershipTable, 'ownerOf' | 'isReleased'>
  readonly selector: services.ITargetSelector
  /** Source of the random bits of generated keys; the process seeds it from a secure source. */
  readonly random: base.IRandom
  /** Crash records; if present, requests that crash targets are refused. */
  readonly crashes?: Pick<hostingServices.ICrashTable, 'isBlocked' | 'recordAll' | 'recordsOf'>
  /** Hash of method, path and body; SHA-256 in JavaScript if absent. All nodes must use the same hash. */
  readonly fingerprint?: (request: types.EntryRequest) => string
}

interface Call {
  readonly callId: number
  readonly route: routeTable.ResolvedRoute
  readonly terms: { readonly retryBudgetRatio: number }
  readonly version: number
  readonly outerAttempt: number
  readonly fingerprint: string
  readonly deadlineAtMs: base.Millis
  readonly isKeyGenerated: boolean
  key: string | undefined
  to: base.NodeId
  sentAtMs: base.Millis
  /** Earliest time at which a send of the current key can have left this node. */
  keySentAtMs: base.Millis
  /** Nodes to which this call was sent. None is used twice, so that a late answer cannot be attributed to a later send. */
  tried: Set<base.NodeId> | undefined
  attempts: number
  redirects: number
  /** An earlier attempt may have run, so the call can no longer end as `not-run`. */
  mayHaveRun: boolean
}

/** State machine of calls that entered the mesh at this node. */
export class EntryCalls extends disposable.Disposable implements services.IEntryCalls {
  private readonly _options: EntryCallsOptions
  private readonly _locator: ownerLocator.OwnerLocator
  private readonly _keyGenerator: keyGenerator.KeyGenerator
  private readonly _calls = new Map<number, Call>()
  private readonly _budgets = new Map<string, retryBudget.RetryBudget>()
  private _nextCallId: number

  constructor (options: EntryCallsOptions) {
    super()
    this._options = options
    this._locator = this._register(new ownerLocator.OwnerLocator(options))
    const { nodeId, incarnation } = options.membership.self
    this._keyGenerator = new keyGenerator.KeyGenerator({ nodeId, incarnation, locator: this._locator, selector: options.selector, random: options.random })
    this._nextCallId = incarnation * CALL_IDS_PER_MS + 1
  }

  public get inFlight (): number {
    return this._calls.size
  }

  public begin (request: types.EntryRequest, nowMs: base.Millis): types.EntryDecision {
    const callId = this._nextCallId++
    const state = this._options.enforcement.current
    if (state === undefined) return refusal(callId, request, 'no-configuration')
    if (request.depth > MAX_DEPTH) return refusal(callId, request, 'too-deep')
    const found = routeTable.RouteTable.of(state).find(request.method, request.path)
    if (found === undefined) return refusal(callId, request, 'no-route')
    const route = found.route
    if ((request.body?.length ?? 0) > route.limits.maxBodyBytes) return refusal(callId, request, 'body-too-large', route)
    const remainingMs = Math.min(request.remainingMs ?? Infinity, route.timeoutMs)
    if (!(remainingMs > 0)) return refusal(callId, request, 'deadline', route)
    const key = route.idempotent ? undefined : request.key
    if (key !== undefined && !keys.isKey(key)) return refusal(callId, request, 'bad-key', route)
    const call: Call = {
      callId,
      route: found,
      terms: state.document.terms,
      version: state.version,
      outerAttempt: request.attempt,
      fingerprint: this._fingerprint(request),
      deadlineAtMs: nowMs + remainingMs,
      isKeyGenerated: !route.idempotent && key === undefined,
      // Letter case does not distinguish UUIDs, but it would change the hash that selects the owner.
      key: key?.toLowerCase(),
      to: '',
      sentAtMs: nowMs,
      keySentAtMs: nowMs,
      tried: undefined,
      attempts: 0,
      redirects: 0,
      mayHaveRun: key !== undefined
    }
    if (this._isBlocked(call, nowMs)) return this._endUnanswered(call, 'crashes-target')
    if (call.outerAttempt <= 1) this._budgetOf(call).recordFirstAttempt(call.terms.retryBudgetRatio)
    return this._send(call, nowMs)
  }

  public handleAnswer (callId: number, from: base.NodeId, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision | undefined {
    const call = this._calls.get(callId)
    if (call === undefined || call.to !== from) return undefined
    this._options.selector.recordResult(from, answers.sendResultOf(answer), answer.load, nowMs, nowMs - call.sentAtMs)
    // Recorded before the decision on a retry, which could crash another target.
    this._options.crashes?.recordAll(answer.crashes, nowMs)
    if (answer.outcome === 'answered') return this._handleTargetAnswer(call, answer, nowMs)
    if (answer.outcome === 'not-run' || isNotOwned(call, answer)) return this._handleRefusal(call, answer, nowMs)
    call.mayHaveRun = true
    return this._retry(call, nowMs) ?? this._finish(call, answers.fromHost(answer))
  }

  public handleFailure (callId: number, failure: types.SendFailure, nowMs: base.Millis, from?: base.NodeId): types.EntryDecision | undefined {
    const call = this._calls.get(callId)
    if (call === undefined || (from !== undefined && call.to !== from)) return undefined
    this._options.selector.recordResult(call.to, failure === 'deadline' ? timeoutResult(call, nowMs) : 'failure', undefined, nowMs)
    if (failure !== 'not-sent') call.mayHaveRun = true
    if (failure === 'deadline') return this._endUnanswered(call, 'deadline')
    if (call.key !== undefined) return this._endUnanswered(call, failure === 'not-sent' ? 'owner-unreachable' : 'peer-lost')
    return this._retry(call, nowMs) ?? this._endUnanswered(call, 'peer-lost')
  }

  public cancel (callId: number, nowMs: base.Millis): base.NodeId | undefined {
    const call = this._calls.get(callId)
    if (call === undefined) return undefined
    this._calls.delete(callId)
    this._options.selector.recordResult(call.to, 'neutral', undefined, nowMs)
    return call.to
  }

  public get nextDeadlineMs (): base.Millis {
    let earliestMs = Infinity
    for (const call of this._calls.values()) earliestMs = Math.min(earliestMs, call.deadlineAtMs)
    return earliestMs
  }

  public tick (nowMs: base.Millis): readonly types.EntryDecision[] {
    this._options.selector.tick(nowMs)
    return this.expire(nowMs)
  }

  public expire (nowMs: base.Millis): readonly types.EntryDecision[] {
    const expired: types.EntryDecision[] = []
    for (const call of this._calls.values()) {
      if (nowMs < call.deadlineAtMs) continue
      const decision = this.handleFailure(call.callId, 'deadline', nowMs)
      if (decision !== undefined) expired.push(decision)
    }
    return expired
  }

  private _handleTargetAnswer (call: Call, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision {
    // The host of a streamed answer is already sending the body and would continue, so the call is not retried.
    if (!answer.last) return this._finish(call, answers.fromHost(answer))
    // A target that passes on the `overloaded` refusal of a nested call is not retried at this level either.
    if (RETRIED_STATUSES.has(answer.status) && answer.headers[REASON_HEADER] !== 'overloaded') {
      call.mayHaveRun = true
      const next = this._retry(call, nowMs)
      if (next !== undefined) return next
    }
    return this._finish(call, answers.fromHost(answer))
  }

  private _handleRefusal (call: Call, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision {
    // A refusal by the owner of the key covers all earlier sends of the key; a refusal by another node does not.
    const isOwnedElsewhere = isNotOwned(call, answer)
    if (call.key !== undefined) call.mayHaveRun = isOwnedElsewhere && !call.isKeyGenerated
    const next = answer.reason === 'draining' || isOwnedElsewhere
      ? this._redirect(call, nowMs, answer.successor)
      : RETRIED_REASONS.has(answer.reason) ? this._retry(call, nowMs) : undefined
    if (next !== undefined) return next
    return this._finish(call, { ...answers.fromHost(answer), outcome: call.mayHaveRun ? 'unknown' : 'not-run' })
  }

  private _redirect (call: Call, nowMs: base.Millis, successor?: base.NodeId): types.EntryDecision | undefined {
    if (call.redirects >= MAX_REDIRECTS || nowMs >= call.deadlineAtMs || this._isBlocked(call, nowMs)) return undefined
    const row = this._untriedSuccessor(call, successor) ?? this._nextNode(call, nowMs)
    if (row === undefined) return undefined
    call.redirects += 1
    // The next owner may have run an earlier send that the refusing node does not know.
    if (call.key !== undefined) call.mayHaveRun = !call.isKeyGenerated
    return this._sendTo(call, row, false, nowMs)
  }

  /** Retries the call if the rules, the deadline and the retry budget allow it. */
  private _retry (call: Call, nowMs: base.Millis): types.EntryDecision | undefined {
    if (call.key !== undefined && (call.mayHaveRun || !call.isKeyGenerated)) return undefined
    if (call.outerAttempt > 1 || call.attempts >= call.route.route.retry.maxAttempts) return undefined
    if (nowMs >= call.deadlineAtMs || this._isBlocked(call, nowMs)) return undefined
    const row = this._nextNode(call, nowMs)
    if (row === undefined || !this._budgetOf(call).takeToken()) return undefined
    return this._sendTo(call, row, true, nowMs)
  }

  private _isBlocked (call: Call, nowMs: base.Millis): boolean {
    return this._options.crashes?.isBlocked(call.key, call.fingerprint, nowMs) === true
  }

  /** Row of the successor, if it runs the service and the call was not sent to it before. */
  private _untriedSuccessor (call: Call, successor: base.NodeId | undefined): membership.MemberRow | undefined {
    if (successor === undefined || successor === call.to || call.tried?.has(successor) === true) return undefined
    const row = this._options.membership.get(successor)
    if (row === undefined || row.state === 'dead' || row.service !== call.route.service.config.name) return undefined
    call.tried = (call.tried ?? new Set<base.NodeId>()).add(call.to)
    return row
  }

  /** Chooses another node for a call that its current node did not run, or that may run twice. */
  private _nextNode (call: Call, nowMs: base.Millis): membership.MemberRow | undefined {
    call.tried ??= new Set<base.NodeId>()
    call.tried.add(call.to)
    const location = call.key === undefined ? this._selectTarget(call, nowMs) : this._locateOwner(call, call.tried, nowMs)
    if (location.kind !== 'found' || call.tried.has(location.row.nodeId)) return undefined
    return location.row
  }

  private _send (call: Call, nowMs: base.Millis): types.EntryDecision {
    const location = call.route.route.idempotent
      ? this._selectTarget(call, nowMs)
      : this._locateOwner(call, NOTHING_EXCLUDED, nowMs)
    switch (location.kind) {
      case 'found':
        this._calls.set(call.callId, call)
        return this._sendTo(call, location.row, true, nowMs)
      case 'beyond-horizon': return this._endUnanswered(call, 'not-owner', location.retryAfterMs)
      case 'unreachable': return this._endUnanswered(call, 'owner-unreachable')
      case 'no-table': return this._endUnanswered(call, 'no-target')
      case 'bad-key': return this._endUnanswered(call, 'bad-key')
    }
  }

  private _selectTarget (call: Call, nowMs: base.Millis): Location {
    const nodeId = this._options.selector.selectFor(call.route.service, call.tried ?? NOTHING_EXCLUDED, nowMs)
    const row = nodeId === undefined ? undefined : this._options.membership.get(nodeId)
    return row === undefined ? { kind: 'no-table' } : { kind: 'found', row }
  }

  private _locateOwner (call: Call, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): Location {
    const service = call.route.service
    const location = this._ownerOf(call, exclude, nowMs)
    // The node id may since have been reused for a node of another service.
    if (location.kind === 'found' && location.row.service !== service.config.name) return { kind: 'unreachable' }
    return location
  }

  private _ownerOf (call: Call, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): Location {
    if (call.isKeyGenerated) {
      const generated = this._keyGenerator.generate(call.route.service, exclude, nowMs)
      call.key = generated.key
      call.keySentAtMs = nowMs
      return generated.location
    }
    const located = this._locator.locate(call.route.service.config.name, call.key ?? '', exclude)
    return located.unwrapOr<Location>({ kind: 'bad-key' })
  }

  private _sendTo (call: Call, row: membership.MemberRow, isAttempt: boolean, nowMs: base.Millis): types.EntryDecision {
    if (isAttempt) call.attempts += 1
    call.to = row.nodeId
    call.sentAtMs = nowMs
    this._options.selector.recordSend(row.nodeId, nowMs)
    const crashes = this._options.crashes?.recordsOf(call.fingerprint) ?? []
    return {
      kind: 'send',
      callId: call.callId,
      to: row.nodeId,
      address: row.peerAddress,
      // A retry at an outer level is passed on to nested calls, so that no lower level retries as well.
      attempt: Math.max(call.outerAttempt, call.attempts),
      deadlineAtMs: call.deadlineAtMs,
      sentAtMs: call.keySentAtMs,
      route: call.route.route,
      version: call.version,
      key: call.key,
      fingerprint: call.fingerprint,
      ...(crashes.length === 0 ? {} : { crashes })
    }
  }

  /** Ends a call that no target answered. */
  private _endUnanswered (call: Call, reason: hosting.OutcomeReason, retryAfterMs?: base.Millis): types.EntryDecision {
    return this._finish(call, answers.withoutAnswer(call.mayHaveRun ? 'unknown' : 'not-run', reason, retryAfterMs))
  }

  private _finish (call: Call, answer: hosting.FinalAnswer): types.EntryDecision {
    this._calls.delete(call.callId)
    return { kind: 'answer', callId: call.callId, answer: call.key === undefined ? answer : answers.withKey(answer, call.key) }
  }

  private _budgetOf (call: Call): retryBudget.RetryBudget {
    const service = call.route.service.config.name
    let budget = this._budgets.get(service)
    if (budget === undefined) {
      budget = new retryBudget.RetryBudget()
      this._budgets.set(service, budget)
    }
    return budget
  }

  private _fingerprint (request: types.EntryRequest): string {
    const custom = this._options.fingerprint
    return custom === undefined ? fingerprintOf(request) : custom(request)
  }
}

function refusal (callId: number, request: types.EntryRequest, reason: hosting.OutcomeReason, route?: config.RouteConfig): types.EntryDecision {
  return { kind: 'answer', callId, answer: answers.refusalAtEntry(reason, route?.idempotent === true ? undefined : request.key) }
}

function fingerprintOf (request: types.EntryRequest): string {
  const head = `${request.method} ${request.path}\n`
  if (request.body === undefined || request.body.length === 0) return digest.digestText(head)
  const headBytes = new TextEncoder().encode(head)
  const bytes = new Uint8Array(headBytes.length + request.body.length)
  bytes.set(headBytes)
  bytes.set(request.body, headBytes.length)
  return digest.digestBytes(bytes)
}

/** Whether the host did not run this send because it does not own the key. The owner may have run an earlier send. */
function isNotOwned (call: Call, answer: messages.AnswerMessage): boolean {
  return call.key !== undefined && answer.outcome !== 'answered' && NOT_OWNED_REASONS.has(answer.reason)
}

/** Counts a timeout as a failure of the target only after half of the route's timeout: a short deadline of the caller says little about the target. */
function timeoutResult (call: Call, nowMs: base.Millis): types.SendResult {
  return nowMs - call.sentAtMs >= call.route.route.timeoutMs / 2 ? 'failure' : 'neutral'
}
