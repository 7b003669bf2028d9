import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as eventQueue from './EventQueue.js'

/** Weight of the newest service time in the moving mean. */
const MEAN_WEIGHT = 0.1

export interface Job {
  /** A bounded queue drops the job when it has not started by then, and aborts it when it still runs. */
  readonly deadlineAtMs: number
  onStart(): void
  /** Status 0: the run was aborted at its deadline. */
  onEnd(status: number): void
  onDropped(): void
}

/** How a target behaves with the next call; never answering is an infinite time. */
export interface Service {
  readonly serviceMs: number
  readonly status: number
}

export interface SlotQueueOptions {
  readonly events: eventQueue.EventQueue
  readonly slots: number
  /** Refuses calls whose expected wait is too long, drops those that waited too long, and aborts late runs. */
  readonly isBounded: boolean
  readonly serve: () => Service
}

/** Slots of a modelled target with a first-in, first-out queue in front of them. */
export class SlotQueue {
  private readonly _options: SlotQueueOptions
  private readonly _queue: Job[] = []
  private _head = 0
  private _running = 0
  private _meanMs = 0
  private _isDead = false

  constructor (options: SlotQueueOptions) {
    this._options = options
  }

  public get load (): hosting.LoadReport {
    return { inFlight: this._running, queued: this._queued, slots: this._options.slots }
  }

  public get isDead (): boolean {
    return this._isDead
  }

  private get _queued (): number {
    return this._queue.length - this._head
  }

  /** Takes the job, or returns false if it would wait too long or probably not end before its deadline. */
  public offer (job: Job, remainingMs: number, maxQueueMs: number): boolean {
    if (this._options.isBounded && !this._fits(remainingMs, maxQueueMs)) return false
    this._queue.push(job)
    this._startNext()
    return true
  }

  public kill (): void {
    this._isDead = true
    this._queue.length = 0
    this._head = 0
  }

  private _fits (remainingMs: number, maxQueueMs: number): boolean {
    if (this._running < this._options.slots) return true
    const waitMs = (this._queued + 1) * this._meanMs / this._options.slots
    return waitMs <= maxQueueMs && waitMs + this._meanMs <= remainingMs
  }

  private _startNext (): void {
    while (!this._isDead && this._running < this._options.slots) {
      const job = this._takeFirst()
      if (job === undefined) return
      if (this._options.isBounded && this._options.events.nowMs > job.deadlineAtMs) job.onDropped()
      else this._start(job)
    }
  }

  private _takeFirst (): Job | undefined {
    const job = this._queue[this._head]
    if (job === undefined) return undefined
    this._head += 1
    if (this._head > 1_000 && this._head * 2 > this._queue.length) {
      this._queue.splice(0, this._head)
      this._head = 0
    }
    return job
  }

  private _start (job: Job): void {
    this._running += 1
    job.onStart()
    const { serviceMs, status } = this._options.serve()
    const limitMs = this._options.isBounded ? job.deadlineAtMs - this._options.events.nowMs : Infinity
    if (serviceMs <= limitMs) this._endAfter(job, serviceMs, status)
    else if (limitMs < Infinity) this._endAfter(job, limitMs, 0)
  }

  private _endAfter (job: Job, delayMs: number, status: number): void {
    this._options.events.after(delayMs, () => {
      if (this._isDead) return
      this._running -= 1
      this._meanMs = this._meanMs === 0 ? delayMs : this._meanMs + MEAN_WEIGHT * (delayMs - this._meanMs)
      job.onEnd(status)
      this._startNext()
    })
  }
}
