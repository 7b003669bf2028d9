import type * as hostingServices from '@elmpost/common/hosting/Services.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as eventQueue from './EventQueue.js'
import type * as modelFleet from './ModelFleet.js'

/** Receives the answer of a call. `load` is that of the answering node. */
export type Reply = (answer: hosting.FinalAnswer, load?: hosting.LoadReport) => void

export interface HostModelOptions {
  readonly events: eventQueue.EventQueue
  readonly node: modelFleet.ModelNode
  readonly host: hostingServices.IHostCalls
  /** Sends a call to another node; `reply` receives its answer. */
  readonly delegate: (to: string, call: messages.CallMessage, reply: Reply) => void
  readonly onRun: (call: messages.CallMessage) => void
}

interface Run {
  readonly call: messages.CallMessage
  readonly deadlineAtMs: number
  readonly replies: Reply[]
}

/** Maximum delay by which the process sets its timer after a deadline. */
const TIMER_MARGIN_MS = 1

/** Models the process around `HostCalls`: a queue for the slots, the target, and the replies to all waiting callers. */
export class HostModel {
  private readonly _options: HostModelOptions
  private readonly _runs = new Map<number, Run>()
  private readonly _queue: number[] = []
  private _running = 0
  /** Time of the next wake-up for a deadline of `HostCalls`. */
  private _wakeAtMs = Infinity

  constructor (options: HostModelOptions) {
    this._options = options
  }

  public get load (): hosting.LoadReport {
    return this._options.host.load
  }

  public accept (from: string, call: messages.CallMessage, reply: Reply): void {
    const { events, host, node } = this._options
    if (node.isDead) return
    const decision = host.accept(from, call, events.nowMs)
    if (decision.kind === 'answer') {
      reply(decision.answer)
      return
    }
    if (decision.kind === 'join') {
      this._runs.get(decision.runId)?.replies.push(reply)
      return
    }
    this._runs.set(decision.runId, { call, deadlineAtMs: events.nowMs + call.remainingMs, replies: [reply] })
    if (decision.kind === 'delegate') {
      this._delegate(decision.runId, decision.to, call)
      return
    }
    this._queue.push(decision.runId)
    this._startNext()
    this._scheduleWakeUp(host.nextDeadlineMs)
  }

  public tick (): void {
    const { events, host, node } = this._options
    if (node.isDead) return
    this._handleUpdates(host.tick(events.nowMs))
  }

  /** Schedules a wake-up at the deadline, as `DeadlineTimer` does in the process, unless an earlier one is scheduled. */
  private _scheduleWakeUp (deadlineAtMs: number): void {
    const { events, host, node } = this._options
    if (deadlineAtMs >= this._wakeAtMs) return
    this._wakeAtMs = deadlineAtMs
    events.after(Math.max(0, deadlineAtMs - events.nowMs) + TIMER_MARGIN_MS, () => {
      if (node.isDead || this._wakeAtMs !== deadlineAtMs) return
      this._wakeAtMs = Infinity
      this._handleUpdates(host.expire(events.nowMs))
      this._scheduleWakeUp(host.nextDeadlineMs)
    })
  }

  private _handleUpdates (updates: readonly hosting.HostUpdate[]): void {
    for (const update of updates) {
      if (update.kind === 'answer') {
        this._reply(update.runId, update.answer)
        continue
      }
      const run = this._runs.get(update.runId)
      if (run === undefined) continue
      this._runs.delete(update.runId)
      this._runs.set(update.delegateRunId, run)
      this._delegate(update.delegateRunId, update.to, { ...run.call, remainingMs: run.deadlineAtMs - this._options.events.nowMs })
    }
  }

  private _delegate (runId: number, to: string, call: messages.CallMessage): void {
    const { node, delegate, events } = this._options
    delegate(to, { ...call, delegatedBy: node.nodeId, sentAtMs: events.nowMs }, (answer, load) => { this._finish(runId, resultOf(answer), load) })
  }

  private _startNext (): void {
    const { node, events, host } = this._options
    while (this._running < node.service.slots) {
      const runId = this._queue.shift()
      if (runId === undefined) return
      const run = this._runs.get(runId)
      if (run === undefined) continue
      if (host.start(runId, events.nowMs)) this._run(runId, run)
      else this._finish(runId, { kind: 'not-started', reason: 'overloaded' })
    }
  }

  /** Runs a call on the modelled target. A run is aborted at its deadline. */
  private _run (runId: number, run: Run): void {
    const { node, events, onRun } = this._options
    this._running += 1
    onRun(run.call)
    const { serviceMs, status } = node.serve()
    const limitMs = run.deadlineAtMs - events.nowMs
    const result: hosting.RunResult = serviceMs <= limitMs
      ? { kind: 'answered', status, headers: {}, body: undefined, streamed: false, serviceMs }
      : { kind: 'lost', reason: 'deadline', targetDied: false }
    events.after(Math.min(serviceMs, limitMs), () => {
      this._running -= 1
      this._finish(runId, result)
      this._startNext()
    })
  }

  private _finish (runId: number, result: hosting.RunResult, load?: hosting.LoadReport): void {
    const { node, events, host } = this._options
    if (node.isDead) return
    this._reply(runId, host.finish(runId, result, events.nowMs, load))
  }

  private _reply (runId: number, answer: hosting.FinalAnswer): void {
    const run = this._runs.get(runId)
    this._runs.delete(runId)
    for (const reply of run?.replies ?? []) reply(answer)
  }
}

/** Converts a delegate's answer to the result of the run at the owner. */
function resultOf (answer: hosting.FinalAnswer): hosting.RunResult {
  const { status, headers, body } = answer
  if (answer.outcome === 'answered') return { kind: 'answered', status, headers, body, streamed: false, serviceMs: 0 }
  if (answer.outcome === 'not-run') return { kind: 'not-started', reason: answer.reason }
  return { kind: 'lost', reason: answer.reason, targetDied: false }
}
