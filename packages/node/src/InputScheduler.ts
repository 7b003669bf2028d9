import type * as base from '@elmpost/common/base/Types.js'

/** Longest time for input in one turn of the event loop, so that other work waits no longer. */
const SLICE_MS = 5
/** Input is parsed as it is read while less than `SLICE_MS` of this time has gone to it. */
const WINDOW_MS = 10
/** Share of the time that counts for the order after each `decay`. */
const DECAY = 0.5

/** A connection with input that has been read and not parsed. */
export interface IInputSource {
  /** Time that its input has lately taken. Kept by the scheduler. */
  usedMs: base.Millis
  /** Parses a part. Returns whether there is more that can be parsed now. */
  parseNext(): boolean
  /** Its input has to wait. */
  handleWait(): void
  /** Nothing waits any more. */
  handleIdle(): void
}

/**
 * Shares the time for input between connections. Some input takes thousands of times as long as its length suggests (chunks of
 * one byte, requests that are answered at once), so the time is measured. Input of the connection that has taken least is
 * next: a crowd that sends all the time waits for the callers that send now and then.
 */
export class InputScheduler implements base.IDisposable {
  private readonly _waiting = new Set<IInputSource>()
  private _windowBeganAtMs: base.Millis = -Infinity
  private _windowUsedMs: base.Millis = 0
  private _immediate: NodeJS.Immediate | undefined

  constructor (private readonly _nowMs: () => base.Millis = () => performance.now()) {}

  /** Sources whose input waits. */
  public get waiting (): number {
    return this._waiting.size
  }

  /** Parses new input of a source at once, or as soon as its turn comes. */
  public offer (source: IInputSource): void {
    if (this._waiting.has(source)) return
    if (this._waiting.size === 0) {
      while (this._hasTime()) if (!this._parse(source)) return
    }
    this._waiting.add(source)
    source.handleWait()
    this._schedule()
  }

  public remove (source: IInputSource): void {
    this._waiting.delete(source)
  }

  /** Lets the time that a source has used count for less. To be called for each at the same interval. */
  public decay (source: IInputSource): void {
    source.usedMs *= DECAY
  }

  public dispose (): void {
    this._waiting.clear()
    clearImmediate(this._immediate)
  }

  private _schedule (): void {
    this._immediate ??= setImmediate(() => { this._runSlice() })
  }

  private _runSlice (): void {
    this._immediate = undefined
    const endAtMs = this._nowMs() + SLICE_MS
    for (let next = this._leastUsed(); next !== undefined; next = this._leastUsed()) {
      if (!this._parse(next) && this._waiting.delete(next)) next.handleIdle()
      if (this._nowMs() >= endAtMs) break
    }
    if (this._waiting.size > 0) this._schedule()
  }

  private _leastUsed (): IInputSource | undefined {
    let least: IInputSource | undefined
    for (const source of this._waiting) if (least === undefined || source.usedMs < least.usedMs) least = source
    return least
  }

  private _hasTime (): boolean {
    const nowMs = this._nowMs()
    if (nowMs - this._windowBeganAtMs >= WINDOW_MS) {
      this._windowBeganAtMs = nowMs
      this._windowUsedMs = 0
    }
    return this._windowUsedMs < SLICE_MS
  }

  private _parse (source: IInputSource): boolean {
    const beganAtMs = this._nowMs()
    const hasMore = source.parseNext()
    const usedMs = this._nowMs() - beganAtMs
    source.usedMs += usedMs
    this._windowUsedMs += usedMs
    return hasMore
  }
}
