import type * as base from '@elmpost/common/base/Types.js'

/** Times are rounded up to this step, so that events of many nodes are played together. */
const STEP_MS = 5

/** A process whose timers and messages are played. */
export interface IVirtualProcess {
  /** The process does not run before this time. What arrives meanwhile waits for it. */
  readonly heldUntilMs: base.Millis
  /** How much later than it could a starved process handles each event. */
  readonly lagMs: base.Millis
  /** Nothing that was meant for a process that has ended is played. */
  readonly hasEnded: boolean
}

interface VirtualEvent {
  readonly process: IVirtualProcess | undefined
  readonly sequence: number
  readonly play: () => void
  /** Whether asynchronous functions may go on after the event. */
  readonly isAwaited: boolean
  atMs: base.Millis
  isDelayed: boolean
  isCancelled: boolean
}

/**
 * Plays timers and messages in virtual time. Replaces the global timers, and knows for which process a timer was set,
 * so that the timers of a process that stands still fire when it runs again.
 */
export class VirtualTime implements base.IDisposable {
  public nowMs: base.Millis = 0
  /** The process that runs now. */
  private _current: IVirtualProcess | undefined
  /** Binary heap: the earliest event comes first. */
  private readonly _events: VirtualEvent[] = []
  private readonly _setTimeout = globalThis.setTimeout
  private readonly _clearTimeout = globalThis.clearTimeout
  private _nextSequence = 0

  constructor () {
    globalThis.setTimeout = ((play: () => void, delayMs = 0) => this._add(this._current, delayMs, play, true)) as unknown as typeof setTimeout
    globalThis.clearTimeout = (event => {
      if (event !== undefined && event !== null) (event as unknown as VirtualEvent).isCancelled = true
    }) as typeof clearTimeout
  }

  /** Plays an event after a time: when the process can handle it or, without a process, exactly then. */
  public schedule (process: IVirtualProcess | undefined, delayMs: base.Millis, play: () => void): void {
    this._add(process, delayMs, play, false)
  }

  /** The same for an event that asynchronous functions of the process wait for, or that starts them. */
  public scheduleAwaited (process: IVirtualProcess, delayMs: base.Millis, play: () => void): void {
    this._add(process, delayMs, play, true)
  }

  public async run (durationMs: base.Millis): Promise<void> {
    const endMs = this.nowMs + durationMs
    for (let next = this._events[0]; next !== undefined && next.atMs <= endMs; next = this._events[0]) {
      this.nowMs = next.atMs
      const event = this._take()
      this._play(event)
      // Lets everything go on that awaited the event.
      if (event.isAwaited) await nextTurn()
      this._current = undefined
    }
    this.nowMs = endMs
  }

  public dispose (): void {
    globalThis.setTimeout = this._setTimeout
    globalThis.clearTimeout = this._clearTimeout
  }

  private _play (event: VirtualEvent): void {
    const { process, play } = event
    if (event.isCancelled || process?.hasEnded === true) return
    if (process === undefined) {
      play()
      return
    }
    if (process.heldUntilMs > this.nowMs || (process.lagMs > 0 && !event.isDelayed)) {
      event.atMs = roundUp(Math.max(process.heldUntilMs, this.nowMs + (event.isDelayed ? 0 : process.lagMs)))
      event.isDelayed = true
      this._insert(event)
      return
    }
    this._current = process
    play()
  }

  private _add (process: IVirtualProcess | undefined, delayMs: base.Millis, play: () => void, isAwaited: boolean): VirtualEvent {
    const event = { process, sequence: this._nextSequence++, play, isAwaited, atMs: roundUp(this.nowMs + Math.max(delayMs, STEP_MS)), isDelayed: false, isCancelled: false }
    this._insert(event)
    return event
  }

  private _insert (event: VirtualEvent): void {
    if (!Number.isFinite(event.atMs)) return
    const heap = this._events
    let at = heap.push(event) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isEarlier(event, heap[parent])) break
      heap[at] = heap[parent] as VirtualEvent
      at = parent
    }
    heap[at] = event
  }

  private _take (): VirtualEvent {
    const heap = this._events
    const first = heap[0] as VirtualEvent
    const last = heap.pop() as VirtualEvent
    if (heap.length === 0) return first
    let at = 0
    for (let child = 1; child < heap.length; child = 2 * at + 1) {
      if (isEarlier(heap[child + 1], heap[child])) child += 1
      if (!isEarlier(heap[child], last)) break
      heap[at] = heap[child] as VirtualEvent
      at = child
    }
    heap[at] = last
    return first
  }
}

/** Takes less time under the test runner than the functions of `node:timers/promises`, which it tracks. */
function nextTurn (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

function isEarlier (one: VirtualEvent | undefined, other: VirtualEvent | undefined): boolean {
  if (one === undefined || other === undefined) return one !== undefined
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.sequence < other.sequence)
}

function roundUp (timeMs: base.Millis): base.Millis {
  return Math.ceil(timeMs / STEP_MS) * STEP_MS
}
