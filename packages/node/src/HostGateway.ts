import * as hostRun from './HostRun.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as hostingServices from '@elmpost/common/hosting/Services.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface HostGatewayOptions {
  readonly nodeId: base.NodeId
  readonly host: hostingServices.IHostCalls
  readonly links: services.IPeerLinks
  readonly nowMs: () => base.Millis
  /** Called after each step, so that the process executes the effects. */
  readonly onStep: () => void
  /** Schedules a call of `expire` at the deadline of a run. */
  readonly scheduleExpiry: (atMs: base.Millis) => void
  /** Called when the target died while it ran the call. */
  readonly onTargetDied: (call: messages.CallMessage) => void
}

/** Executes the decisions of the host node: runs calls on the target or delegates them, and answers all waiting links. */
export class HostGateway implements types.IRunListener {
  private readonly _options: HostGatewayOptions
  private readonly _runs = new Map<number, hostRun.HostRun>()
  private _runner: services.ITargetRunner | undefined

  constructor (options: HostGatewayOptions) {
    this._options = options
  }

  /** Number of runs without a complete answer. */
  public get size (): number {
    return this._runs.size
  }

  public setRunner (runner: services.ITargetRunner): void {
    this._runner = runner
  }

  /** Accepts a call of an entry node or of the owner of its key. */
  public accept (link: services.IPeerLink, call: messages.CallMessage): void {
    const nowMs = this._options.nowMs()
    const decision = this._options.host.accept(link.nodeId, call, nowMs)
    switch (decision.kind) {
      case 'answer':
        hostRun.reply(link, call.callId, decision.answer, this._options.host.load, 0)
        break
      case 'join':
        this._join(link, call, decision.runId)
        break
      case 'run':
        this._options.scheduleExpiry(decision.latestStartMs)
        this._begin(link, call, decision.runId, nowMs)
        this._options.scheduleExpiry(this._options.host.nextDeadlineMs)
        break
      case 'delegate':
        this._delegate(link, call, decision, nowMs)
    }
    this._options.onStep()
  }

  /** Removes a call whose caller has disconnected or whose entry node has abandoned it. Aborts the run if no call waits for it. */
  public cancel (link: services.IPeerLink, callId: number): void {
    const runId = link.runs.get(callId)
    if (runId === undefined) return
    link.runs.delete(callId)
    const run = this._runs.get(runId)
    if (run === undefined) return
    const mayResume = run.removeWaiter(link, callId)
    if (!run.hasWaiters && this._options.host.cancel(runId, this._options.nowMs())) this._abort(run)
    else if (mayResume) this._runner?.resume(runId)
    this._options.onStep()
  }

  /** Cancels all calls of a link that was lost. */
  public handleLinkLost (link: services.IPeerLink): void {
    for (const callId of [...link.runs.keys()]) this.cancel(link, callId)
  }

  /** Records that a caller has received the chunks up to `sequence`. */
  public handleCredit (link: services.IPeerLink, callId: number, sequence: number): void {
    const runId = link.runs.get(callId)
    if (runId === undefined) return
    const run = this._runs.get(runId)
    if (run === undefined || !run.recordCredit(link, callId, sequence)) return
    if (run.delegate === undefined) this._runner?.resume(runId)
    else run.delegate.send({ kind: 'chunk-credit', callId: -runId, sequence })
  }

  /** Handles the answer of a node that runs a call for this owner. */
  public handleDelegateAnswer (link: services.IPeerLink, answer: messages.AnswerMessage): void {
    const run = this._delegatedRun(link, answer.callId)
    if (run === undefined) return
    const { reason, load, crashes = [] } = answer
    if (answer.outcome === 'not-run') this._finish(run, { kind: 'not-started', reason, crashes }, 0, load)
    else if (answer.outcome === 'unknown') this._finish(run, { kind: 'lost', reason, targetDied: false, crashes }, 0, load)
    else if (!answer.last) run.beginStream(answer.status, answer.headers, this._options.host.load)
    else this._finish(run, completeAnswer(answer, answer.targetMs ?? 0), answer.targetMs ?? 0, answer.load)
  }

  /** Passes on a part of the streamed answer of a delegated run. */
  public handleDelegateChunk (link: services.IPeerLink, chunk: messages.ChunkMessage): void {
    const run = this._delegatedRun(link, chunk.callId)
    if (run === undefined) return
    if (chunk.failed) {
      this._finish(run, { kind: 'lost', reason: 'target-lost', targetDied: false }, 0)
      return
    }
    const canContinue = chunk.body === undefined || run.sendChunk(chunk.body)
    if (chunk.last) this.handleEnd(run.request, 0)
    else if (canContinue) link.send({ kind: 'chunk-credit', callId: chunk.callId, sequence: chunk.sequence })
  }

  /** Handles a delegated call that got no answer. */
  public handleDelegateFailure (link: services.IPeerLink, callId: number, failure: 'not-sent' | 'peer-lost'): void {
    const run = this._delegatedRun(link, callId)
    if (run === undefined) return
    const result: hosting.RunResult = failure === 'not-sent'
      ? { kind: 'not-started', reason: 'overloaded' }
      : { kind: 'lost', reason: 'peer-lost', targetDied: false }
    this._finish(run, result, 0)
  }

  /** Applies changes to runs that no message caused. */
  public update (updates: readonly hosting.HostUpdate[]): void {
    for (const update of updates) {
      const run = this._runs.get(update.runId)
      if (run === undefined) continue
      this._runs.delete(update.runId)
      this._runner?.abort(update.runId, 'canceled')
      if (update.kind === 'answer') run.finish(update.answer, false, this._options.host.load, 0)
      else this._redirect(run, update)
    }
  }

  /** Earliest deadline of a run; infinite without runs. */
  public get nextDeadlineMs (): base.Millis {
    let earliestMs = Infinity
    for (const run of this._runs.values()) earliestMs = Math.min(earliestMs, run.request.deadlineAtMs)
    return earliestMs
  }

  /** Ends delegated and started runs whose deadline has passed. */
  public expire (nowMs: base.Millis): void {
    this._runner?.expire(nowMs)
    for (const run of this._runs.values()) {
      if (run.delegate === undefined || nowMs < run.request.deadlineAtMs) continue
      this._finish(run, { kind: 'lost', reason: 'deadline', targetDied: false }, 0)
    }
  }

  public confirmStart (request: types.TargetRequest): boolean {
    return this._options.host.start(request.runId, this._options.nowMs())
  }

  public handleAnswer (request: types.TargetRequest, status: number, headers: Record<string, string>, body: Uint8Array | undefined, serviceMs: number): void {
    const run = this._runs.get(request.runId)
    if (run !== undefined) this._finish(run, completeAnswer({ status, headers, body }, serviceMs), serviceMs)
  }

  public handleHead (request: types.TargetRequest, status: number, headers: Record<string, string>): void {
    this._options.host.handleProgress(this._options.nowMs())
    this._runs.get(request.runId)?.beginStream(status, headers, this._options.host.load)
  }

  public handleChunk (request: types.TargetRequest, body: Uint8Array): boolean {
    this._options.host.handleProgress(this._options.nowMs())
    return this._runs.get(request.runId)?.sendChunk(body) ?? true
  }

  public handleEnd (request: types.TargetRequest, serviceMs: number): void {
    const run = this._runs.get(request.runId)
    if (run === undefined) return
    const { status, headers } = run
    this._finish(run, { kind: 'answered', status, headers, body: undefined, streamed: true, serviceMs }, serviceMs)
  }

  public handleFailure (request: types.TargetRequest, result: hosting.RunResult): void {
    const run = this._runs.get(request.runId)
    if (run === undefined) return
    if (result.kind === 'lost' && result.targetDied) this._options.onTargetDied(run.call)
    this._finish(run, result, 0)
  }

  private _join (link: services.IPeerLink, call: messages.CallMessage, runId: number): void {
    const run = this._runs.get(runId)
    if (run?.addWaiter(link, call.callId) === true) {
      run.extend(this._options.nowMs() + call.remainingMs)
      link.runs.set(call.callId, runId)
    } else hostRun.replyNotKept(link, call.callId, this._options.host.load)
  }

  private _begin (link: services.IPeerLink, call: messages.CallMessage, runId: number, nowMs: base.Millis): void {
    const run = new hostRun.HostRun(runId, call, nowMs + call.remainingMs)
    this._runs.set(runId, run)
    this._options.scheduleExpiry(run.request.deadlineAtMs)
    run.addWaiter(link, call.callId)
    link.runs.set(call.callId, runId)
    if (this._runner === undefined) this._finish(run, { kind: 'not-started', reason: 'no-target' }, 0)
    else this._runner.run(run.request)
  }

  private _delegate (link: services.IPeerLink, call: messages.CallMessage, decision: hosting.HostDecision & { readonly kind: 'delegate' }, nowMs: base.Millis): void {
    const run = new hostRun.HostRun(decision.runId, call, nowMs + call.remainingMs)
    run.addWaiter(link, call.callId)
    link.runs.set(call.callId, decision.runId)
    this._sendToDelegate(run, decision.to, decision.address, nowMs)
  }

  /** Moves a queued run of this owner to another node, with all waiting links. */
  private _redirect (run: hostRun.HostRun, update: hosting.HostUpdate & { readonly kind: 'delegate' }): void {
    const moved = run.moveTo(update.delegateRunId)
    this._sendToDelegate(moved, update.to, update.address, this._options.nowMs())
  }

  private _sendToDelegate (run: hostRun.HostRun, to: base.NodeId, address: string, nowMs: base.Millis): void {
    this._runs.set(run.runId, run)
    this._options.scheduleExpiry(run.request.deadlineAtMs)
    const delegate = this._options.links.linkTo(to, address)
    run.delegate = delegate
    const remainingMs = run.request.deadlineAtMs - nowMs
    const status = delegate.sendCall({ ...run.call, callId: -run.runId, remainingMs, sentAtMs: nowMs, delegatedBy: this._options.nodeId })
    if (status === 'not-sent') this.handleDelegateFailure(delegate, -run.runId, 'not-sent')
  }

  private _delegatedRun (link: services.IPeerLink, callId: number): hostRun.HostRun | undefined {
    const run = this._runs.get(-callId)
    return run?.delegate === link ? run : undefined
  }

  private _abort (run: hostRun.HostRun): void {
    if (run.delegate === undefined) {
      this._runner?.abort(run.runId, 'canceled')
      return
    }
    run.delegate.send({ kind: 'cancel', callId: -run.runId })
    this._finish(run, { kind: 'lost', reason: 'canceled', targetDied: false }, 0)
  }

  private _finish (run: hostRun.HostRun, result: hosting.RunResult, targetMs: number, load?: hosting.LoadReport): void {
    this._runs.delete(run.runId)
    run.delegate?.release(-run.runId)
    const answer = this._options.host.finish(run.runId, result, this._options.nowMs(), load)
    // Crash records are sent before the answer, because the receiver of the answer may retry the request at once.
    this._options.onStep()
    run.finish(answer, result.kind === 'answered', this._options.host.load, targetMs)
    this._options.onStep()
  }
}

function completeAnswer ({ status, headers, body }: Pick<messages.AnswerMessage, 'status' | 'headers' | 'body'>, serviceMs: number): hosting.RunResult {
  return { kind: 'answered', status, headers, body, streamed: false, serviceMs }
}
