import type * as eventQueue from './EventQueue.js'
import type * as modelFleet from './ModelFleet.js'

export interface Job {
  onStart(): void
  onEnd(status: number): void
}

/** Slots of a modelled target with an unbounded FIFO queue, as used by the baseline. */
export class SlotQueue {
  private readonly _queue: Job[] = []
  private _head = 0
  private _running = 0

  constructor (private readonly _events: eventQueue.EventQueue, private readonly _node: modelFleet.ModelNode) {}

  public offer (job: Job): void {
    this._queue.push(job)
    this._startNext()
  }

  private _startNext (): void {
    if (this._running >= this._node.service.slots || this._node.isDead) return
    const job = this._queue[this._head]
    if (job === undefined) return
    this._head += 1
    this._running += 1
    job.onStart()
    const { serviceMs, status } = this._node.serve()
    if (serviceMs === Infinity) return
    this._events.after(serviceMs, () => {
      if (this._node.isDead) return
      this._running -= 1
      job.onEnd(status)
      this._startNext()
    })
  }
}
