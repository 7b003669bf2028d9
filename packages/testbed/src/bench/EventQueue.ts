interface Entry {
  readonly atMs: number
  readonly sequence: number
  readonly action: () => void
}

/** Event queue in virtual time. Runs actions in order of time, and actions of the same time in the order in which they were scheduled. */
export class EventQueue {
  private readonly _heap: Entry[] = []
  private _sequence = 0
  private _nowMs: number

  constructor (startMs: number) {
    this._nowMs = startMs
  }

  public get nowMs (): number {
    return this._nowMs
  }

  /** Schedules an action. A negative delay counts as 0. */
  public after (delayMs: number, action: () => void): void {
    const entry = { atMs: this._nowMs + Math.max(0, delayMs), sequence: this._sequence++, action }
    const heap = this._heap
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = heap[parentIndex]
      if (parent === undefined || precedes(parent, entry)) break
      heap[index] = parent
      index = parentIndex
    }
    heap[index] = entry
  }

  /** Runs all actions up to and including the given time. */
  public runUntil (untilMs: number): void {
    for (let next = this._heap[0]; next !== undefined && next.atMs <= untilMs; next = this._heap[0]) {
      this._removeFirst()
      this._nowMs = next.atMs
      next.action()
    }
    this._nowMs = untilMs
  }

  private _removeFirst (): void {
    const heap = this._heap
    const moved = heap.pop()
    if (moved === undefined || heap.length === 0) return
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const child = this._earlier(left, left + 1)
      const entry = heap[child]
      if (entry === undefined || precedes(moved, entry)) break
      heap[index] = entry
      index = child
    }
    heap[index] = moved
  }

  private _earlier (left: number, right: number): number {
    const leftEntry = this._heap[left]
    const rightEntry = this._heap[right]
    return leftEntry !== undefined && rightEntry !== undefined && precedes(rightEntry, leftEntry) ? right : left
  }
}

function precedes (a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence)
}
