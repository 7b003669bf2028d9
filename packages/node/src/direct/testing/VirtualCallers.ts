import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'

/** Callers follow a Retry-After up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3

/** `refused`: not run. `failed`: an error, or no answer of a target. */
export type TryResult = 'served' | 'refused' | 'failed'
export type OnResult = (result: TryResult, retryAfterMs: base.Millis) => void

/** What the caller of a try knows of its time. */
export interface CallerTime {
  /** Of its first try. */
  readonly beganAtMs: base.Millis
  readonly remainingMs: base.Millis
  readonly customer: string | undefined
}

export interface CallerTerms {
  /** How often a caller sends its request again. */
  readonly retries: number
  /** One way between a caller and its node. */
  readonly wayMs: base.Millis
  /** Each caller waits for its own time: the timeout of the route, less a random part of it up to this share. */
  readonly patienceSpread: number
}

export const NO_RETURN: CallerTerms = { retries: 0, wayMs: 0, patienceSpread: 0 }

/** How the request of a caller ended, after all of its tries. */
export interface VirtualEnd {
  readonly route: string
  /** Undefined if the fleet has no customers. */
  readonly customer: string | undefined
  readonly beganAtMs: base.Millis
  readonly tookMs: base.Millis
  readonly isServed: boolean
  readonly isOnTime: boolean
  readonly result: TryResult
  readonly tries: number
}

export interface VirtualCallersOptions<Entry extends { readonly zone: string }> {
  readonly terms: CallerTerms
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  readonly after: (delayMs: base.Millis, action: () => void) => void
  /** Random entry node, of a zone if one is given. */
  readonly entryIn: (zone: string | undefined) => Entry
  readonly begin: (entry: Entry, rule: direct.RouteRule, time: CallerTime, onResult: OnResult) => void
  readonly onRefused: (entry: Entry, rule: direct.RouteRule) => void
  readonly onEnd: (end: VirtualEnd) => void
}

interface Request<Entry> {
  readonly rule: direct.RouteRule
  readonly customer: string | undefined
  readonly beganAtMs: base.Millis
  readonly patienceMs: base.Millis
  entry: Entry
  tries: number
}

/** Callers in virtual time. They come back to another node of their zone after a refusal, and after a failure if the route is idempotent. */
export class VirtualCallers<Entry extends { readonly zone: string }> {
  constructor (private readonly _options: VirtualCallersOptions<Entry>) {}

  public call (rule: direct.RouteRule, customer?: string): void {
    const entry = this._options.entryIn(undefined)
    const { wayMs, patienceSpread } = this._options.terms
    const patienceMs = rule.timeoutMs * (patienceSpread === 0 ? 1 : 1 - patienceSpread * this._options.random.nextFloat())
    this._try({ rule, customer, entry, beganAtMs: this._options.nowMs() - wayMs, patienceMs, tries: 0 })
  }

  private _try (request: Request<Entry>): void {
    const { rule, entry, customer } = request
    request.tries += 1
    this._options.begin(entry, rule, { beganAtMs: request.beganAtMs, remainingMs: this._remainingMs(request), customer }, (result, retryAfterMs) => {
      if (result === 'refused') this._options.onRefused(entry, rule)
      if (result === 'served' || !this._comesBack(request, result, retryAfterMs)) this._end(request, result)
    })
  }

  private _comesBack (request: Request<Entry>, result: TryResult, retryAfterMs: base.Millis): boolean {
    const { retries, wayMs } = this._options.terms
    const { rule, tries } = request
    if (tries > retries || (result === 'failed' && rule.kind !== 'idempotent')) return false
    const leftMs = this._remainingMs(request) - 2 * wayMs
    const waitMs = Math.min(retryAfterMs, leftMs * MAX_WAIT_SHARE)
    if (leftMs - waitMs <= 0) return false
    this._options.after(waitMs + 2 * wayMs, () => {
      request.entry = this._options.entryIn(request.entry.zone)
      this._try(request)
    })
    return true
  }

  private _remainingMs ({ patienceMs, beganAtMs }: Request<Entry>): base.Millis {
    return patienceMs - (this._options.nowMs() - beganAtMs)
  }

  private _end ({ rule, customer, beganAtMs, patienceMs, tries }: Request<Entry>, result: TryResult): void {
    const tookMs = this._options.nowMs() + this._options.terms.wayMs - beganAtMs
    const isServed = result === 'served' && tookMs <= patienceMs
    this._options.onEnd({ route: rule.name, customer, beganAtMs, tookMs, isServed, isOnTime: isServed && tookMs <= rule.objectiveMs, result, tries })
  }
}
