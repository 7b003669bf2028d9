import * as grantBucket from './GrantBucket.js'
import * as grantTerms from './GrantTerms.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** An issuer that has not answered within this time is passed over, and is not asked again for a while. */
const ANSWER_TIMEOUT_MS = 60
const AVOID_MS = 250
/** Issuers answer a report each second. One that has been silent for longer is not asked while others answer. */
const RECENT_MS = 1_500
/** Longest wait of a call for grants. */
const MAX_WAIT_MS = 240
/** Grants are requested ahead for the calls expected within this time. */
const AHEAD_MS = 100
/** Time over which the rate of calls is averaged. */
const RATE_WINDOW_MS = 1_000
/** `Retry-After` while no issuer can be asked. */
const UNKNOWN_RETRY_MS = 500
/** Calls that are refused together are sent back at intervals, but not later than this after the first. */
const MAX_SPREAD_MS = 2_000
/** Least share of the limit that is assumed to be left for calls that come back. */
const MIN_FREE_SHARE = 0.25
/** Added to a stated time, so that the grant is there when the call comes back. */
const RETRY_MARGIN_MS = 5
const MS_PER_S = 1000

/** One grant taken for a call. */
export interface Grant {
  readonly customer: string
  readonly expiresAtMs: base.Millis
}

/** Result for a call, at once or after it has waited. */
export type Settled =
  | { readonly kind: 'granted', readonly grant: Grant }
  | { readonly kind: 'refused', readonly retryAfterMs: base.Millis }

export type Taken = Settled | { readonly kind: 'waiting' }

/** Request for grants to one issuer. */
export interface GrantsRequest {
  readonly requestId: number
  /** Empty if the request only reports the part. */
  readonly customer: string
  readonly waiting: number
  readonly wanted: number
  /** Part of the sender's share of the limits that it gives to the issuer. */
  readonly part: number
}

export interface CallGrantsOptions<T> {
  readonly terms: types.CustomerLimitTerms
  /** Monotonic clock that counts the time for which the VM was suspended, as far as it is known. */
  readonly nowMs: () => base.Millis
  readonly nodeCount: () => number | undefined
  /** Issuers in the order in which they are asked. */
  readonly issuers: () => readonly base.NodeId[]
  /** Sends a request to an issuer, whose answer comes later. False if it cannot be reached. */
  readonly send: (issuer: base.NodeId, request: GrantsRequest) => boolean
  /** A call that has waited was granted or refused. */
  readonly onSettled: (call: T, settled: Settled) => void
}

interface Asked {
  readonly issuer: base.NodeId
  readonly requestId: number
  readonly sentAtMs: base.Millis
}

interface WaitingCall {
  readonly sinceMs: base.Millis
  /** Issuers that have been asked while the call waited. */
  asks: number
}

interface Stock {
  /** No grants are expected before. */
  readonly emptyUntilMs: base.Millis
  readonly askedAtMs: base.Millis
}

interface Customer<T> {
  rule: types.CustomerRule
  /** Times at which the grants in hand expire, in order. */
  expiriesMs: base.Millis[]
  readonly waiting: Map<T, WaitingCall>
  /** Grants are being given to waiting calls. */
  isServing: boolean
  /** What each issuer answered last, or that it did not. */
  readonly stocks: Map<base.NodeId, Stock>
  readonly own: grantBucket.GrantBucket
  asked: Asked | undefined
  callsPerMs: number
  countedAtMs: base.Millis
  retryAtMs: base.Millis
}

/** Grants of the calls that enter at one node: those in hand, the calls that wait for one, and which issuer to ask for more. */
export class CallGrants<T> {
  private readonly _options: CallGrantsOptions<T>
  private readonly _customers = new Map<string, Customer<T>>()
  /** Requests without an answer. Late grants are used while they are valid. */
  private readonly _sent = new Map<number, { readonly customer: string, readonly sentAtMs: base.Millis }>()
  /** When each issuer last answered. */
  private readonly _heardAtMs = new Map<base.NodeId, base.Millis>()
  private readonly _reportedTo = new Map<base.NodeId, { part: number, atMs: base.Millis }>()
  private _lastRequestId = 0
  private _silentMs = 0
  private _tickedAtMs: base.Millis

  constructor (options: CallGrantsOptions<T>) {
    this._options = options
    this._tickedAtMs = options.nowMs()
  }

  /** Calls that wait for a grant. */
  public get waitingCount (): number {
    let count = 0
    for (const { waiting } of this._customers.values()) count += waiting.size
    return count
  }

  /** Whether the node has heard no issuer for so long that its share belongs to it alone. */
  public get isAlone (): boolean {
    return this._silentMs >= grantTerms.SILENT_MS
  }

  /** Time of the next `tick` that has something to do for a waiting call; Infinity if there is none. */
  public get nextDueMs (): base.Millis {
    let dueMs = Infinity
    for (const { asked } of this._customers.values()) if (asked !== undefined) dueMs = Math.min(dueMs, asked.sentAtMs + ANSWER_TIMEOUT_MS)
    return dueMs
  }

  /** Limits of the configuration in force. Calls that wait for a customer without a limit are granted. */
  public setCustomers (rules: readonly types.CustomerRule[]): void {
    const { terms, nowMs } = this._options
    const names = new Set(rules.map(({ name }) => name))
    for (const rule of rules) {
      const limit = grantTerms.bucketLimitOf(rule, terms)
      const known = this._customers.get(rule.name)
      if (known === undefined) {
        this._customers.set(rule.name, {
          rule,
          expiriesMs: [],
          waiting: new Map(),
          isServing: false,
          stocks: new Map(),
          own: new grantBucket.GrantBucket(limit, nowMs()),
          asked: undefined,
          callsPerMs: 0,
          countedAtMs: nowMs(),
          retryAtMs: 0
        })
      } else {
        known.rule = rule
        known.own.setLimit(limit, nowMs())
      }
    }
    // After the new ones are known, because the calls of a customer that was renamed are begun for its new name.
    for (const [name, customer] of this._customers) {
      if (names.has(name)) continue
      this._customers.delete(name)
      for (const call of customer.waiting.keys()) this._options.onSettled(call, { kind: 'granted', grant: { customer: name, expiresAtMs: -Infinity } })
    }
    if (rules.length === 0) this._endReports([])
    else this._report(nowMs())
  }

  /** Takes a grant for a call. A call that waits is settled later. */
  public take (name: string, call: T): Taken {
    const customer = this._customers.get(name)
    if (customer === undefined) return { kind: 'granted', grant: { customer: name, expiresAtMs: -Infinity } }
    const nowMs = this._options.nowMs()
    countCall(customer, nowMs)
    const grant = this._takeInHand(customer, nowMs)
    if (grant !== undefined) return { kind: 'granted', grant }
    customer.waiting.set(call, { sinceMs: nowMs, asks: 0 })
    if (customer.asked !== undefined || this._ask(customer, nowMs)) return { kind: 'waiting' }
    customer.waiting.delete(call)
    return { kind: 'refused', retryAfterMs: this._retryAfterMs(customer, nowMs) }
  }

  /** Returns the grant of a call that was refused unrun. */
  public giveBack ({ customer: name, expiresAtMs }: Grant): void {
    const customer = this._customers.get(name)
    if (customer === undefined || expiresAtMs <= this._options.nowMs()) return
    customer.expiriesMs.push(expiresAtMs)
    customer.expiriesMs.sort((one, other) => one - other)
    this._serve(customer, this._options.nowMs())
  }

  /** Removes a call that waits. */
  public cancel (name: string, call: T): void {
    this._customers.get(name)?.waiting.delete(call)
  }

  public handleGrants (issuer: base.NodeId, requestId: number, count: number, waitMs: base.Millis): void {
    const nowMs = this._options.nowMs()
    this._recordHeard(issuer, nowMs)
    const sent = this._sent.get(requestId)
    this._sent.delete(requestId)
    const customer = sent === undefined ? undefined : this._customers.get(sent.customer)
    if (sent === undefined || customer === undefined) return
    const expiresAtMs = sent.sentAtMs + grantTerms.GRANT_TTL_MS
    if (expiresAtMs > nowMs) for (let at = 0; at < count; at++) customer.expiriesMs.push(expiresAtMs)
    customer.expiriesMs.sort((one, other) => one - other)
    if (waitMs > 0) customer.stocks.set(issuer, { emptyUntilMs: nowMs + waitMs, askedAtMs: sent.sentAtMs })
    else customer.stocks.delete(issuer)
    if (customer.asked?.requestId === requestId) customer.asked = undefined
    this._serve(customer, nowMs)
    this._continue(customer, nowMs)
  }

  /** To be called several times a second, and at `nextDueMs`. */
  public tick (): void {
    if (this._customers.size === 0) return
    const nowMs = this._options.nowMs()
    const elapsedMs = Math.max(0, nowMs - this._tickedAtMs)
    this._tickedAtMs = nowMs
    // Answers may have come while the process stood still, so that time does not count as silence.
    this._silentMs += Math.min(elapsedMs, grantBucket.MAX_STEP_MS)
    const nodeCount = this._options.nodeCount()
    for (const customer of this._customers.values()) {
      customer.own.update(this.isAlone && nodeCount !== undefined && grantTerms.mayServeAlone(customer.rule, this._options.terms, nodeCount) ? 1 / nodeCount : 0, nowMs)
      if (!this.isAlone) customer.own.clear()
      const { asked } = customer
      if (asked === undefined || nowMs - asked.sentAtMs < ANSWER_TIMEOUT_MS) continue
      customer.asked = undefined
      customer.stocks.set(asked.issuer, { emptyUntilMs: nowMs + AVOID_MS, askedAtMs: asked.sentAtMs })
      this._continue(customer, nowMs)
    }
    for (const [requestId, { sentAtMs }] of this._sent) if (nowMs - sentAtMs > grantTerms.GRANT_TTL_MS) this._sent.delete(requestId)
    this._report(nowMs)
  }

  private _recordHeard (issuer: base.NodeId, nowMs: base.Millis): void {
    const wasHeard = nowMs - (this._heardAtMs.get(issuer) ?? -Infinity) < grantTerms.SILENT_MS
    this._heardAtMs.set(issuer, nowMs)
    this._silentMs = 0
    for (const { own } of this._customers.values()) own.clear()
    if (!wasHeard) this._report(nowMs)
  }

  /** Tells each issuer the part that it gets. A silent one gets none, and is heard again when it answers. */
  private _report (nowMs: base.Millis): void {
    const issuers = this._options.issuers()
    this._endReports(issuers)
    const heard = issuers.filter(issuer => nowMs - (this._heardAtMs.get(issuer) ?? -Infinity) < grantTerms.SILENT_MS)
    for (const issuer of issuers) {
      const part = heard.includes(issuer) ? 1 / heard.length : 0
      const reported = this._reportedTo.get(issuer)
      if (reported?.part === part && nowMs - reported.atMs < grantTerms.REPORT_INTERVAL_MS) continue
      this._reportedTo.set(issuer, { part, atMs: nowMs })
      this._options.send(issuer, { requestId: ++this._lastRequestId, customer: '', waiting: 0, wanted: 0, part })
    }
  }

  /** Takes the part back from nodes that are not issuers any more. */
  private _endReports (issuers: readonly base.NodeId[]): void {
    for (const issuer of this._reportedTo.keys()) {
      if (issuers.includes(issuer)) continue
      this._reportedTo.delete(issuer)
      this._options.send(issuer, { requestId: ++this._lastRequestId, customer: '', waiting: 0, wanted: 0, part: 0 })
    }
  }

  private _takeInHand (customer: Customer<T>, nowMs: base.Millis): Grant | undefined {
    const { rule: { name }, own } = customer
    while ((customer.expiriesMs[0] ?? Infinity) <= nowMs) customer.expiriesMs.shift()
    const expiresAtMs = customer.expiriesMs.shift()
    if (expiresAtMs !== undefined) return { customer: name, expiresAtMs }
    return this.isAlone && own.take(1) === 1 ? { customer: name, expiresAtMs: nowMs + grantTerms.GRANT_TTL_MS } : undefined
  }

  private _serve (customer: Customer<T>, nowMs: base.Millis): void {
    // A call that is refused at once gives its grant back, which the loop below takes for the next one.
    if (customer.isServing) return
    customer.isServing = true
    try {
      for (const call of customer.waiting.keys()) {
        const grant = this._takeInHand(customer, nowMs)
        if (grant === undefined) break
        customer.waiting.delete(call)
        this._options.onSettled(call, { kind: 'granted', grant })
      }
    } finally {
      customer.isServing = false
    }
  }

  /** Asks the next issuer for the calls that wait. Refuses those that have waited for too long, or all if no issuer is left. */
  private _continue (customer: Customer<T>, nowMs: base.Millis): void {
    const maxAsks = this._options.issuers().length
    for (const [call, { sinceMs, asks }] of customer.waiting) if (nowMs - sinceMs >= MAX_WAIT_MS || asks >= maxAsks) this._refuse(customer, call, nowMs)
    if (customer.waiting.size === 0 || customer.asked !== undefined || this._ask(customer, nowMs)) return
    for (const call of customer.waiting.keys()) this._refuse(customer, call, nowMs)
  }

  private _refuse (customer: Customer<T>, call: T, nowMs: base.Millis): void {
    customer.waiting.delete(call)
    this._options.onSettled(call, { kind: 'refused', retryAfterMs: this._retryAfterMs(customer, nowMs) })
  }

  /** Asks the first issuer that may have grants. False if there is none. */
  private _ask (customer: Customer<T>, nowMs: base.Millis): boolean {
    const waiting = customer.waiting.size
    const wanted = waiting + Math.floor(customer.callsPerMs * AHEAD_MS)
    for (const issuer of this._askable(customer, nowMs)) {
      const requestId = ++this._lastRequestId
      this._sent.set(requestId, { customer: customer.rule.name, sentAtMs: nowMs })
      customer.asked = { issuer, requestId, sentAtMs: nowMs }
      if (this._options.send(issuer, { requestId, customer: customer.rule.name, waiting, wanted, part: this._reportedTo.get(issuer)?.part ?? 0 })) {
        for (const call of customer.waiting.values()) call.asks += 1
        return true
      }
      this._sent.delete(requestId)
      customer.asked = undefined
    }
    return false
  }

  /**
   * Issuers that may answer and have grants. First those that have had enough, the nearest first, and then the others in turn,
   * because the buckets of the last ones would run over if the first ones were asked again whenever they have a grant.
   */
  private _askable ({ stocks }: Customer<T>, nowMs: base.Millis): readonly base.NodeId[] {
    if (this.isAlone) return []
    const issuers = this._options.issuers()
    const recent = issuers.filter(issuer => nowMs - (this._heardAtMs.get(issuer) ?? -Infinity) < RECENT_MS)
    // Before the first answers, all of them are asked.
    const able = (recent.length === 0 ? issuers : recent).filter(issuer => (stocks.get(issuer)?.emptyUntilMs ?? -Infinity) <= nowMs)
    const askedAtMs = (issuer: base.NodeId): base.Millis => stocks.get(issuer)?.askedAtMs ?? -1
    return able.sort((one, other) => askedAtMs(one) - askedAtMs(other))
  }

  private _retryAfterMs (customer: Customer<T>, nowMs: base.Millis): base.Millis {
    let readyAtMs = Infinity
    for (const issuer of this._options.issuers()) readyAtMs = Math.min(readyAtMs, customer.stocks.get(issuer)?.emptyUntilMs ?? Infinity)
    if (readyAtMs === Infinity) readyAtMs = nowMs + UNKNOWN_RETRY_MS
    readyAtMs = Math.max(nowMs, readyAtMs)
    // Calls that come back compete with new ones, so the interval between them is that of the grants that new ones leave.
    const freePerMs = Math.max(customer.rule.maxCallsPerS * MIN_FREE_SHARE, customer.rule.maxCallsPerS - customer.callsPerMs * MS_PER_S) / MS_PER_S
    customer.retryAtMs = Math.min(Math.max(customer.retryAtMs + 1 / freePerMs, readyAtMs), readyAtMs + MAX_SPREAD_MS)
    return customer.retryAtMs - nowMs + RETRY_MARGIN_MS
  }
}

function countCall (customer: { callsPerMs: number, countedAtMs: base.Millis }, nowMs: base.Millis): void {
  const elapsedMs = Math.max(0, nowMs - customer.countedAtMs)
  customer.callsPerMs = customer.callsPerMs * Math.exp(-elapsedMs / RATE_WINDOW_MS) + 1 / RATE_WINDOW_MS
  customer.countedAtMs = nowMs
}
