import type * as base from '@elmpost/common/base/Types.js'

/** Longest time for which items are held while more is being read. */
const MAX_HOLD_MS = 50
/** Items are begun for at most this time in one turn of the event loop, so that reading does not stop while many are begun. */
const SLICE_MS = 10

export interface ReadAheadOptions<T> {
  readonly nowMs: () => base.Millis
  /** Turns of the event loop for which each item is held. */
  readonly turns: number
  /** Whether input is known to be waiting that has to be read first. */
  readonly isReading: () => boolean
  readonly begin: (item: T) => void
}

interface HeldItem {
  readonly turn: number
  readonly heldSinceMs: base.Millis
}

/**
 * Holds items that were read until the input that arrived with them has been read as well, because it may take them back.
 * Begins the items in the order in which they were added.
 */
export class ReadAhead<T> implements base.IDisposable {
  private readonly _options: ReadAheadOptions<T>
  private readonly _items = new Map<T, HeldItem>()
  private _turn = 0
  private _immediate: NodeJS.Immediate | undefined

  constructor (options: ReadAheadOptions<T>) {
    this._options = options
  }

  /** Number of items that are held. */
  public get size (): number {
    return this._items.size
  }

  public add (item: T): void {
    this._items.set(item, { turn: this._turn, heldSinceMs: this._options.nowMs() })
    this._schedule()
  }

  /** Takes an item back. False if it is not held. */
  public remove (item: T): boolean {
    return this._items.delete(item)
  }

  public dispose (): void {
    this._items.clear()
    clearImmediate(this._immediate)
  }

  private _schedule (): void {
    this._immediate ??= setImmediate(() => { this._endTurn() })
  }

  private _endTurn (): void {
    const { nowMs, begin } = this._options
    this._immediate = undefined
    this._turn += 1
    const sliceEndMs = nowMs() + SLICE_MS
    for (const [item, held] of this._items) {
      if (this._isHeld(held) || nowMs() >= sliceEndMs) break
      this._items.delete(item)
      begin(item)
    }
    if (this._items.size > 0) this._schedule()
  }

  private _isHeld ({ turn, heldSinceMs }: HeldItem): boolean {
    const { turns, isReading, nowMs } = this._options
    return this._turn - turn < turns || (isReading() && nowMs() - heldSinceMs < MAX_HOLD_MS)
  }
}
