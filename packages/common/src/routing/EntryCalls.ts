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
import * as keyMint from './KeyMint.js'
import * as ownerLocator from './OwnerLocator.js'
import * as retryBudget from './RetryBudget.js'
import * as routeTable from './RouteTable.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Calls above a call; a longer chain is most likely a cycle. */
const LARGEST_DEPTH = 16

const MOST_REDIRECTS = 3

/** Ids of one incarnation start here; a later one starts above them unless more calls than this begin per ms. */
const CALL_IDS_PER_MS = 2_048

const NOTHING_EXCLUDED: ReadonlySet<base.NodeId> = new Set()

/** Answers of a target that say that another target may do better. */
const retriedStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504])

const REASON_HEADER = 'elmpost-reason'

/** Refusals by one host that another host may not share. `stale-send` is none: a later send is not younger. */
const retriedReasons: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>([
  'no-route', 'no-target', 'no-configuration', 'target-lost', 'peer-lost'
])

/** Answers of a host that another owner of the key may not share. */
const unownedReasons: ReadonlySet<hosting.OutcomeReason> = new Set<hosting.OutcomeReason>(['not-owner', 'key-before-start'])

/** Where a call can go. */
type Location = ownerLocator.OwnerLocation | { readonly kind: 'bad-key' }

export interface EntryCallsOptions {
  readonly membership: Pick<membershipServices.IMembership, 'self' | 'get' | 'onChange'>
  readonly enforcement: Pick<distributionServices.IEnforcement, 'current'>
  readonly ownership: Pick<hostingServices.IOwnershipTable, 'ownerOf' | 'isReleased'>
  readonly selector: services.ITargetSelector
  /** Random bits of generated keys come from here; the process seeds it from a secure source. */
  readonly random: base.IRandom
  /** Refuses requests that crash targets, if given. */
  readonly crashes?: Pick<hostingServices.ICrashTable, 'isBlocked' | 'record' | 'recordsOf'>
  /** Hash of method, path and body; SHA-256 in JavaScript if absent. Every node must use the same one. */
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
  readonly keyIsMinted: boolean
  key: string | undefined
  to: base.NodeId
  sentAtMs: base.Millis
  /** Since when a send of the present key can be on its way. */
  keySentAtMs: base.Millis
  /** Nodes that this call was sent to; none is used twice, so that a late answer cannot be mistaken. */
  tried: Set<base.NodeId> | undefined
  attempts: number
  redirects: number
  /** An earlier attempt may have run; the call can no longer end as `not-run`. */
  mayHaveRun: boolean
}

/** State machine of the calls that entered the mesh at this node. */
export class EntryCalls extends disposable.Disposable implements services.IEntryCalls {
  private readonly _options: EntryCallsOptions
  private readonly _locator: ownerLocator.OwnerLocator
  private readonly _mint: keyMint.KeyMint
  private readonly _calls = new Map<number, Call>()
  private readonly _budgets = new Map<string, retryBudget.RetryBudget>()
  private _nextCallId: number

  constructor (options: EntryCallsOptions) {
    super()
    this._options = options
    this._locator = this._register(new ownerLocator.OwnerLocator(options))
    const { nodeId, incarnation } = options.membership.self
    this._mint = new keyMint.KeyMint({ nodeId, incarnation, locator: this._locator, selector: options.selector, random: options.random })
    this._nextCallId = incarnation * CALL_IDS_PER_MS + 1
  }

  public get inFlight (): number {
    return this._calls.size
  }

  public begin (request: types.EntryRequest, nowMs: base.Millis): types.EntryDecision {
    const callId = this._nextCallId++
    const state = this._options.enforcement.current
    if (state === undefined) return refusal(callId, request, 'no-configuration')
    if (request.depth > LARGEST_DEPTH) return refusal(callId, request, 'too-deep')
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
      keyIsMinted: !route.idempotent && key === undefined,
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
    if (this._isBlocked(call, nowMs)) return this._end(call, 'crashes-target')
    if (call.outerAttempt <= 1) this._budget(call).firstAttempt(call.terms.retryBudgetRatio)
    return this._send(call, nowMs)
  }

  public answered (callId: number, from: base.NodeId, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision | undefined {
    const call = this._calls.get(callId)
    if (call === undefined || call.to !== from) return undefined
    this._options.selector.observe(from, answers.resultOf(answer), answer.load, nowMs, nowMs - call.sentAtMs)
    // Known before the decision on a retry, which would cost another target.
    for (const crash of answer.crashes ?? []) this._options.crashes?.record(crash, nowMs)
    if (answer.outcome === 'answered') return this._targetAnswered(call, answer, nowMs)
    if (answer.outcome === 'not-run' || isUnowned(call, answer)) return this._refusedByHost(call, answer, nowMs)
    call.mayHaveRun = true
    return this._retry(call, nowMs) ?? this._finish(call, answers.fromHost(answer))
  }

  public failed (callId: number, failure: types.SendFailure, nowMs: base.Millis, from?: base.NodeId): types.EntryDecision | undefined {
    const call = this._calls.get(callId)
    if (call === undefined || (from !== undefined && call.to !== from)) return undefined
    this._options.selector.observe(call.to, failure === 'deadline' ? timeoutResult(call, nowMs) : 'failure', undefined, nowMs)
    if (failure !== 'not-sent') call.mayHaveRun = true
    if (failure === 'deadline') return this._end(call, 'deadline')
    if (call.key !== undefined) return this._end(call, failure === 'not-sent' ? 'owner-unreachable' : 'peer-lost')
    return this._retry(call, nowMs) ?? this._end(call, 'peer-lost')
  }

  public cancel (callId: number, nowMs: base.Millis): base.NodeId | undefined {
    const call = this._calls.get(callId)
    if (call === undefined) return undefined
    this._calls.delete(callId)
    this._options.selector.observe(call.to, 'neutral', undefined, nowMs)
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
      const decision = this.failed(call.callId, 'deadline', nowMs)
      if (decision !== undefined) expired.push(decision)
    }
    return expired
  }

  private _targetAnswered (call: Call, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision {
    // The host of a streamed answer has begun to send its body, and would go on.
    if (!answer.last) return this._finish(call, answers.fromHost(answer))
    // A target that passes on an `overloaded` refusal of a lower level is not asked again at this level either.
    if (retriedStatuses.has(answer.status) && answer.headers[REASON_HEADER] !== 'overloaded') {
      call.mayHaveRun = true
      const next = this._retry(call, nowMs)
      if (next !== undefined) return next
    }
    return this._finish(call, answers.fromHost(answer))
  }

  private _refusedByHost (call: Call, answer: messages.AnswerMessage, nowMs: base.Millis): types.EntryDecision {
    // The owner of a key speaks for all earlier sends of it; another node does not.
    const isOwnedElsewhere = isUnowned(call, answer)
    if (call.key !== undefined) call.mayHaveRun = isOwnedElsewhere && !call.keyIsMinted
    const next = answer.reason === 'draining' || isOwnedElsewhere
      ? this._redirect(call, nowMs, answer.successor)
      : retriedReasons.has(answer.reason) ? this._retry(call, nowMs) : undefined
    if (next !== undefined) return next
    return this._finish(call, { ...answers.fromHost(answer), outcome: call.mayHaveRun ? 'unknown' : 'not-run' })
  }

  private _redirect (call: Call, nowMs: base.Millis, successor?: base.NodeId): types.EntryDecision | undefined {
    if (call.redirects >= MOST_REDIRECTS || nowMs >= call.deadlineAtMs || this._isBlocked(call, nowMs)) return undefined
    const row = this._untried(call, successor) ?? this._next(call, nowMs)
    if (row === undefined) return undefined
    call.redirects += 1
    // The next owner may have run an earlier send that this one does not know of.
    if (call.key !== undefined) call.mayHaveRun = !call.keyIsMinted
    return this._sendTo(call, row, false, nowMs)
  }

  /** Sends again if the rules, the deadline and the budget allow it. */
  private _retry (call: Call, nowMs: base.Millis): types.EntryDecision | undefined {
    if (call.key !== undefined && (call.mayHaveRun || !call.keyIsMinted)) return undefined
    if (call.outerAttempt > 1 || call.attempts >= call.route.route.retry.maxAttempts) return undefined
    if (nowMs >= call.deadlineAtMs || this._isBlocked(call, nowMs)) return undefined
    const row = this._next(call, nowMs)
    if (row === undefined || !this._budget(call).take()) return undefined
    return this._sendTo(call, row, true, nowMs)
  }

  private _isBlocked (call: Call, nowMs: base.Millis): boolean {
    return this._options.crashes?.isBlocked(call.key, call.fingerprint, nowMs) === true
  }

  /** The row of a successor that was not asked yet. */
  private _untried (call: Call, successor: base.NodeId | undefined): membership.MemberRow | undefined {
    if (successor === undefined || successor === call.to || call.tried?.has(successor) === true) return undefined
    const row = this._options.membership.get(successor)
    if (row === undefined || row.state === 'dead' || row.service !== call.route.service.config.name) return undefined
    call.tried = (call.tried ?? new Set<base.NodeId>()).add(call.to)
    return row
  }

  /** Where to send a call that its present node did not run, or that may run twice. */
  private _next (call: Call, nowMs: base.Millis): membership.MemberRow | undefined {
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
      case 'beyond-horizon': return this._end(call, 'not-owner', location.retryAfterMs)
      case 'unreachable': return this._end(call, 'owner-unreachable')
      case 'no-table': return this._end(call, 'no-target')
      case 'bad-key': return this._end(call, 'bad-key')
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
    // A node id may have been given to a node of another service since the table was made.
    if (location.kind === 'found' && location.row.service !== service.config.name) return { kind: 'unreachable' }
    return location
  }

  private _ownerOf (call: Call, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): Location {
    if (call.keyIsMinted) {
      const minted = this._mint.mint(call.route.service, exclude, nowMs)
      call.key = minted.key
      call.keySentAtMs = nowMs
      return minted.location
    }
    const located = this._locator.locate(call.route.service.config.name, call.key ?? '', exclude)
    return located.unwrapOr<Location>({ kind: 'bad-key' })
  }

  private _sendTo (call: Call, row: membership.MemberRow, isAttempt: boolean, nowMs: base.Millis): types.EntryDecision {
    if (isAttempt) call.attempts += 1
    call.to = row.nodeId
    call.sentAtMs = nowMs
    this._options.selector.sent(row.nodeId, nowMs)
    const crashes = this._options.crashes?.recordsOf(call.fingerprint) ?? []
    return {
      kind: 'send',
      callId: call.callId,
      to: row.nodeId,
      address: row.peerAddress,
      // A retry at an outer level stays visible below, so that no lower level retries it again.
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

  /** Ends a call for which no answer of a target came. */
  private _end (call: Call, reason: hosting.OutcomeReason, retryAfterMs?: base.Millis): types.EntryDecision {
    return this._finish(call, answers.withoutAnswer(call.mayHaveRun ? 'unknown' : 'not-run', reason, retryAfterMs))
  }

  private _finish (call: Call, answer: hosting.FinalAnswer): types.EntryDecision {
    this._calls.delete(call.callId)
    return { kind: 'answer', callId: call.callId, answer: call.key === undefined ? answer : answers.withKey(answer, call.key) }
  }

  private _budget (call: Call): retryBudget.RetryBudget {
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
  return { kind: 'answer', callId, answer: answers.atEntry(reason, route?.idempotent === true ? undefined : request.key) }
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

/** The host did not run this send because it does not own the key; the owner may have run an earlier one. */
function isUnowned (call: Call, answer: messages.AnswerMessage): boolean {
  return call.key !== undefined && answer.outcome !== 'answered' && unownedReasons.has(answer.reason)
}

/** A short deadline of the caller says little about the target. */
function timeoutResult (call: Call, nowMs: base.Millis): types.SendResult {
  return nowMs - call.sentAtMs >= call.route.route.timeoutMs / 2 ? 'failure' : 'neutral'
}
