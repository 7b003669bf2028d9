import type * as base from '../base/Types.js'
import * as serviceTimes from '../hosting/ServiceTimes.js'
import type * as types from './Types.js'

/** Mean time of a call assumed before the first answer. */
const INITIAL_SERVICE_MS = 50
/** A queued call is given up when less than this share of its usual time on the target is left. */
const USEFUL_SHARE = 0.5

/** A call that waits for a slot of the target or holds one. */
export interface SlotCall {
  readonly id: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** The caller was refused before and has come back. */
  readonly isReturn: boolean
  readonly arrivedAtMs: base.Millis
  readonly deadlineAtMs: base.Millis
  /** Until when an answer is on time. */
  readonly objectiveAtMs: base.Millis
  /** Calls of one work class take about the same time. */
  readonly workClass: number
}

export type Offer = { readonly kind: 'start' } | { readonly kind: 'queued' } | { readonly kind: 'refused', readonly waitMs: base.Millis }

/** Slots of one target and the calls that wait for them, the most urgent first. */
export class SlotQueue {
  private readonly _running = new Map<number, SlotCall>()
  private readonly _waiting: SlotCall[] = []
  private readonly _times = new Map<number, serviceTimes.ServiceTimes>()
  private readonly _allTimes = new serviceTimes.ServiceTimes(INITIAL_SERVICE_MS)
  private _slots = 1

  public get load (): types.TargetLoad {
    return { running: this._running.size, queued: this._waiting.length, slots: this._slots, serviceMs: this._allTimes.meanMs }
  }

  public get isIdle (): boolean {
    return this._running.size === 0 && this._waiting.length === 0
  }

  public setSlots (slots: number): void {
    this._slots = Math.max(1, slots)
  }

  /** Takes a call if it can be expected to end in time. */
  public offer (call: SlotCall, nowMs: base.Millis): Offer {
    if (this._running.size < this._slots && this._waiting.length === 0) {
      this._running.set(call.id, call)
      return { kind: 'start' }
    }
    const waitMs = this._expectedWaitMs(call)
    if (nowMs + waitMs + this._expectedServiceMs(call) > latestEndMs(call)) return { kind: 'refused', waitMs }
    this._insert(call)
    return { kind: 'queued' }
  }

  /** Frees the slot of a call. The time on the target is undefined if it says nothing about the target's speed. */
  public ended (id: number, serviceMs: base.Millis | undefined): void {
    const call = this._running.get(id)
    if (call === undefined) return
    this._running.delete(id)
    if (serviceMs === undefined) return
    this._allTimes.record(serviceMs)
    this._timesOf(call.workClass).record(serviceMs)
  }

  /** Takes the next call that gets a slot. */
  public next (): SlotCall | undefined {
    if (this._running.size >= this._slots) return undefined
    const call = this._waiting.shift()
    if (call !== undefined) this._running.set(call.id, call)
    return call
  }

  /** Removes a waiting call. False if it does not wait. */
  public withdraw (id: number): boolean {
    const index = this._waiting.findIndex(call => call.id === id)
    if (index < 0) return false
    this._waiting.splice(index, 1)
    return true
  }

  /** Removes and returns the waiting calls that cannot end in time any more. */
  public prune (nowMs: base.Millis): readonly SlotCall[] {
    const late = this._waiting.filter(call => nowMs + this._expectedServiceMs(call) * USEFUL_SHARE > latestEndMs(call))
    for (const call of late) this.withdraw(call.id)
    return late
  }

  /** Removes and returns all waiting calls. */
  public clear (): readonly SlotCall[] {
    return this._waiting.splice(0)
  }

  private _expectedWaitMs (call: SlotCall): base.Millis {
    const ahead = this._waiting.reduce((count, waiting) => goesFirst(waiting, call) ? count + 1 : count, 0)
    return (ahead + 1) * this._allTimes.meanMs / this._slots
  }

  private _expectedServiceMs (call: SlotCall): base.Millis {
    const times = this._times.get(call.workClass)
    return times === undefined ? this._allTimes.meanMs : times.meanMs
  }

  private _timesOf (workClass: number): serviceTimes.ServiceTimes {
    let times = this._times.get(workClass)
    if (times === undefined) {
      times = new serviceTimes.ServiceTimes(this._allTimes.meanMs)
      this._times.set(workClass, times)
    }
    return times
  }

  private _insert (call: SlotCall): void {
    let at = this._waiting.length
    while (at > 0) {
      const before = this._waiting[at - 1]
      if (before === undefined || goesFirst(before, call)) break
      at -= 1
    }
    this._waiting.splice(at, 0, call)
  }
}

/** Whether a waiting call keeps its place before one that arrives. */
function goesFirst (waiting: SlotCall, arriving: SlotCall): boolean {
  if (waiting.priority !== arriving.priority) return waiting.priority < arriving.priority
  return waiting.isReturn || !arriving.isReturn
}

function latestEndMs (call: SlotCall): base.Millis {
  // A caller that has come back is late already, so only its deadline counts.
  return call.isReturn ? call.deadlineAtMs : Math.min(call.deadlineAtMs, call.objectiveAtMs)
}
