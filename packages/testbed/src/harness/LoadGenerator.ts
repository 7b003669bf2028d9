import * as timers from 'node:timers/promises'
import * as uuid from 'uuid'
import * as random from '@elmpost/common/base/Random.js'
import type * as caller from './Caller.js'
import type * as fleet from './Fleet.js'

const MAX_SENDS = 4
const MAX_FIRST_CALL_SENDS = 20
const MS_PER_SECOND = 1000

/** One kind of call in the mix. `weight` is relative to the other kinds. */
export interface CallKind {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly keyed: boolean
  readonly timeoutMs: number
  readonly weight: number
}

export interface LoadOptions {
  readonly fleet: fleet.Fleet
  readonly caller: caller.Caller
  readonly kinds: readonly CallKind[]
  readonly callsPerSecond: number
  readonly seed: number
}

/** Final results of calls after the caller's own retries. */
export interface LoadTotals {
  started: number
  answered: number
  refused: number
  unknown: number
  sends: number
}

/** Repeats a call while it is refused, up to `MAX_FIRST_CALL_SENDS` sends; a fleet that has just started may refuse calls. */
export async function callUntilAccepted (from: caller.Caller, address: string, spec: caller.CallSpec): Promise<caller.CallResult> {
  let result = await from.call(address, spec)
  for (let sends = 1; sends < MAX_FIRST_CALL_SENDS && result.outcome === 'not-run'; sends++) {
    await timers.setTimeout(result.retryAfterSeconds * MS_PER_SECOND)
    result = await from.call(address, spec)
  }
  return result
}

/**
 * Open-loop load: calls start at a fixed rate, independent of the answers. Like a kiosk, the caller retries the same key
 * through another node after an unknown outcome or a lost answer, and after a refusal once the time in `Retry-After` has
 * passed.
 */
export class LoadGenerator {
  public readonly totals: LoadTotals = { started: 0, answered: 0, refused: 0, unknown: 0, sends: 0 }
  private readonly _random: random.Random
  private readonly _pending = new Set<Promise<void>>()
  private _isRunning = false
  private _loop: Promise<void> = Promise.resolve()

  constructor (private readonly _options: LoadOptions) {
    this._random = new random.Random(_options.seed)
  }

  public start (): void {
    this._isRunning = true
    this._loop = this._run()
  }

  /** Stops starting calls and waits for those in flight. */
  public async stop (): Promise<void> {
    this._isRunning = false
    await this._loop
    await Promise.all(this._pending)
  }

  public async runFor (durationMs: number): Promise<void> {
    this.start()
    await timers.setTimeout(durationMs)
    await this.stop()
  }

  private async _run (): Promise<void> {
    const intervalMs = MS_PER_SECOND / this._options.callsPerSecond
    let nextAtMs = performance.now()
    while (this._isRunning) {
      while (nextAtMs <= performance.now()) {
        this._startCall()
        nextAtMs += intervalMs
      }
      await timers.setTimeout(Math.max(0, nextAtMs - performance.now()))
    }
  }

  private _startCall (): void {
    if (!this._hasNode()) return
    this.totals.started += 1
    const pending = this._callUntilFinal(this._pickKind()).finally(() => { this._pending.delete(pending) })
    this._pending.add(pending)
  }

  private async _callUntilFinal (kind: CallKind): Promise<void> {
    const key = kind.keyed ? uuid.v7() : undefined
    let result: caller.CallResult | undefined
    for (let sends = 0; sends < MAX_SENDS && this._hasNode(); sends++) {
      result = await this._sendOnce(kind, key)
      if (result.outcome === 'answered') break
      await timers.setTimeout(result.retryAfterSeconds * MS_PER_SECOND)
    }
    if (result?.outcome === 'answered') this.totals.answered += 1
    else if (result?.outcome === 'not-run') this.totals.refused += 1
    else this.totals.unknown += 1
  }

  private async _sendOnce (kind: CallKind, key: string | undefined): Promise<caller.CallResult> {
    this.totals.sends += 1
    const running = this._options.fleet.workers.filter(worker => worker.node.isRunning)
    const entry = running[this._random.nextInt(running.length)]
    return await this._options.caller.call(entry?.callerAddress ?? '', {
      method: kind.method,
      path: kind.path,
      timeoutMs: kind.timeoutMs,
      ...(key === undefined ? {} : { key }),
      ...(kind.method === 'POST' ? { body: `{"key":"${key ?? ''}"}` } : {})
    })
  }

  private _hasNode (): boolean {
    return this._options.fleet.workers.some(worker => worker.node.isRunning)
  }

  private _pickKind (): CallKind {
    const total = this._options.kinds.reduce((sum, kind) => sum + kind.weight, 0)
    let point = this._random.nextFloat() * total
    for (const kind of this._options.kinds) {
      point -= kind.weight
      if (point < 0) return kind
    }
    return this._options.kinds[0] as CallKind
  }
}
