import type * as base from '../../base/Types.js'
import type * as types from '../Types.js'

/** Distance between the window positions that are checked. */
const STEP_MS = 100

interface Counts {
  readonly requests: number[]
  readonly retries: number[]
}

/** The window in which the retries of a service exceed the bound by most, or come closest to it. */
export interface WorstWindow {
  readonly service: string
  readonly fromMs: base.Millis
  readonly retries: number
  readonly allowed: number
}

/**
 * Checks the retries of a whole fleet. In each position of the window a service may get `ratio` times its requests plus the
 * slack. The requests counted are the maximum over that window, the one half a window earlier and the one before it.
 */
export class RetryBound {
  private readonly _services = new Map<string, Counts>()

  constructor (private readonly _terms: types.RetryTerms) {}

  /** Counts a request that a caller sent on a route to the service. Nested calls of targets are none. */
  public recordRequest (service: string, atMs: base.Millis): void {
    count(this._of(service).requests, atMs)
  }

  public recordRetry (service: string, atMs: base.Millis): void {
    count(this._of(service).retries, atMs)
  }

  public retriesOf (service: string): number {
    return this._of(service).retries.reduce((sum, number) => sum + number, 0)
  }

  /** The window with the largest excess. It keeps the bound if `retries` is not above `allowed`. */
  public findWorstWindow (): WorstWindow {
    let worst: WorstWindow = { service: '', fromMs: 0, retries: 0, allowed: Infinity }
    for (const [service, { requests, retries }] of this._services) {
      for (let from = 0; from < retries.length; from++) {
        const window = this._windowOf(service, from, requests, retries)
        if (worst.allowed === Infinity || window.retries - window.allowed > worst.retries - worst.allowed) worst = window
      }
    }
    return worst
  }

  private _windowOf (service: string, from: number, requests: number[], retries: number[]): WorstWindow {
    const { ratio, slack, windowMs } = this._terms
    const length = Math.round(windowMs / STEP_MS)
    const base = Math.max(...[0, length / 2, length].map(earlier => sumOf(requests, from - earlier, length)))
    return { service, fromMs: from * STEP_MS, retries: sumOf(retries, from, length), allowed: ratio * base + slack }
  }

  private _of (service: string): Counts {
    let counts = this._services.get(service)
    if (counts === undefined) {
      counts = { requests: [], retries: [] }
      this._services.set(service, counts)
    }
    return counts
  }
}

function count (steps: number[], atMs: base.Millis): void {
  const step = Math.floor(atMs / STEP_MS)
  while (steps.length <= step) steps.push(0)
  steps[step] = (steps[step] ?? 0) + 1
}

function sumOf (steps: number[], from: number, length: number): number {
  return steps.slice(Math.max(0, from), Math.max(0, from + length)).reduce((sum, number) => sum + number, 0)
}
