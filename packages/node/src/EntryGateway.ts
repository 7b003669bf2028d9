import type * as base from '@elmpost/common/base/Types.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as routingServices from '@elmpost/common/routing/Services.js'
import type * as services from './Services.js'

/** A call that entered at this node and has no complete answer yet. */
interface EntryCall extends services.ICallHandle {
  callId: number
  readonly sink: services.ICallSink
  readonly startedAtMs: number
  link: services.IPeerLink | undefined
  key: string | undefined
  deadlineAtMs: base.Millis
  /** Sequence number of the next chunk; -1 until a streamed answer has begun. */
  nextSequence: number
  /** The caller is slow: the last chunk is credited once the caller has received it. */
  isCreditDue: boolean
}

export interface EntryGatewayOptions {
  readonly entry: routingServices.IEntryCalls
  readonly links: services.IPeerLinks
  readonly nowMs: () => base.Millis
  /** Called after each step, so that the process executes the effects. */
  readonly onStep: () => void
  /** Schedules a call of `expire` at the deadline of a call. */
  readonly scheduleExpiry: (atMs: base.Millis) => void
  readonly onCallEnd: (call: nodeServices.CallFinished) => void
}

/** Executes the decisions of the entry node: sends calls to host nodes and answers to callers. */
export class EntryGateway {
  private readonly _options: EntryGatewayOptions
  private readonly _calls = new Map<number, EntryCall>()
  private _ignoredAnswers = 0

  constructor (options: EntryGatewayOptions) {
    this._options = options
  }

  /** Number of calls without a complete answer. */
  public get size (): number {
    return this._calls.size
  }

  /** Number of answers that arrived late or from a node that the call was not sent to. */
  public get ignoredAnswers (): number {
    return this._ignoredAnswers
  }

  /** Starts a call. Returns the handle with which the caller cancels it. */
  public begin (sink: services.ICallSink): services.ICallHandle {
    const decision = this._options.entry.begin(sink.request, this._options.nowMs())
    const call: EntryCall = {
      callId: decision.callId,
      sink,
      startedAtMs: performance.now(),
      link: undefined,
      key: sink.request.key,
      deadlineAtMs: 0,
      nextSequence: -1,
      isCreditDue: false
    }
    this._calls.set(decision.callId, call)
    this._execute(call, decision)
    this._options.onStep()
    return call
  }

  /** Handles a complete answer or the head of a streamed one. Ignores answers of nodes that the call was not sent to. */
  public handleAnswer (link: services.IPeerLink, answer: messages.AnswerMessage): void {
    const call = this._calls.get(answer.callId)
    if (call === undefined || call.link !== link || call.nextSequence >= 0) {
      this._ignoredAnswers++
      return
    }
    const decision = this._options.entry.handleAnswer(answer.callId, link.nodeId, answer, this._options.nowMs())
    if (decision === undefined) this._ignoredAnswers++
    else if (decision.kind === 'answer' && !answer.last && answer.outcome === 'answered') this._beginStream(call, decision.answer)
    else this._execute(call, decision, answer.targetMs ?? 0)
    this._options.onStep()
  }

  /** Passes a part of a streamed answer on to the caller. */
  public handleChunk (link: services.IPeerLink, chunk: messages.ChunkMessage): void {
    const call = this._calls.get(chunk.callId)
    if (call === undefined || call.link !== link || call.nextSequence < 0) return
    if (chunk.failed || chunk.sequence !== call.nextSequence) {
      this._abortStream(call, 'target-lost')
      return
    }
    call.nextSequence++
    const canContinue = chunk.body === undefined || call.sink.writeChunk(chunk.body)
    if (chunk.last) {
      call.sink.end()
      this._remove(call)
      this._report(call, 'answered', 'ok', 0)
    } else if (canContinue) {
      link.send({ kind: 'chunk-credit', callId: call.callId, sequence: chunk.sequence })
    } else {
      call.isCreditDue = true
    }
  }

  /** Credits the last chunk once a slow caller has received it. */
  public handleWritable (handle: services.ICallHandle): void {
    const call = this._calls.get(handle.callId)
    if (call === undefined || !call.isCreditDue) return
    call.isCreditDue = false
    call.link?.send({ kind: 'chunk-credit', callId: call.callId, sequence: call.nextSequence - 1 })
  }

  /** Handles a send that got no answer. */
  public handleFailure (callId: number, failure: routing.SendFailure, from: services.IPeerLink | undefined): void {
    const call = this._calls.get(callId)
    if (call === undefined || call.link !== from) return
    if (call.nextSequence >= 0) {
      this._abortStream(call, 'peer-lost')
      return
    }
    const decision = this._options.entry.handleFailure(callId, failure, this._options.nowMs())
    if (decision !== undefined) this._execute(call, decision)
    this._options.onStep()
  }

  /** Ends a call whose caller has disconnected. */
  public cancel (handle: services.ICallHandle): void {
    const { callId } = handle
    const call = this._calls.get(callId)
    if (call === undefined) return
    if (call.nextSequence < 0) this._options.entry.cancel(callId, this._options.nowMs())
    call.link?.send({ kind: 'cancel', callId })
    this._remove(call)
    this._report(call, 'unknown', 'canceled', 0)
    this._options.onStep()
  }

  /** Executes the decisions on calls whose deadline has passed. */
  public expire (decisions: readonly routing.EntryDecision[]): void {
    for (const decision of decisions) {
      const call = this._calls.get(decision.callId)
      if (call === undefined) continue
      if (decision.kind === 'answer') call.link?.send({ kind: 'cancel', callId: call.callId })
      this._execute(call, decision)
    }
  }

  private _execute (call: EntryCall, decision: routing.EntryDecision, targetMs = 0): void {
    if (decision.kind === 'answer') this._answer(call, decision.answer, targetMs)
    else this._send(call, decision)
  }

  private _answer (call: EntryCall, answer: hosting.FinalAnswer, targetMs: number): void {
    this._remove(call)
    call.sink.answer(answer, call.key)
    this._report(call, answer.outcome, answer.reason, targetMs)
  }

  private _send (call: EntryCall, decision: routing.EntryDecision & { readonly kind: 'send' }): void {
    call.link?.release(call.callId)
    if (decision.callId !== call.callId) {
      this._calls.delete(call.callId)
      call.callId = decision.callId
      this._calls.set(call.callId, call)
    }
    call.key = decision.key
    call.deadlineAtMs = decision.deadlineAtMs
    this._options.scheduleExpiry(decision.deadlineAtMs)
    const link = this._options.links.linkTo(decision.to, decision.address)
    call.link = link
    const status = link.sendCall(this._messageOf(call, decision))
    if (status === 'not-sent') this.handleFailure(call.callId, 'not-sent', link)
  }

  private _messageOf (call: EntryCall, decision: routing.EntryDecision & { readonly kind: 'send' }): messages.CallMessage {
    const { request } = call.sink
    const nowMs = this._options.nowMs()
    return {
      kind: 'call',
      callId: decision.callId,
      route: decision.route.name,
      service: decision.route.service,
      version: decision.version,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remainingMs: decision.deadlineAtMs - nowMs,
      sentAtMs: decision.sentAtMs,
      key: decision.key,
      fingerprint: decision.fingerprint,
      depth: request.depth,
      attempt: Math.max(decision.attempt, request.attempt),
      ...(decision.crashes === undefined ? {} : { crashes: decision.crashes })
    }
  }

  private _beginStream (call: EntryCall, answer: hosting.FinalAnswer): void {
    call.nextSequence = 0
    call.sink.writeHead(answer, call.key)
  }

  private _abortStream (call: EntryCall, reason: hosting.OutcomeReason): void {
    call.sink.destroy()
    call.link?.send({ kind: 'cancel', callId: call.callId })
    this._remove(call)
    this._report(call, 'unknown', reason, 0)
  }

  private _remove (call: EntryCall): void {
    this._calls.delete(call.callId)
    call.link?.release(call.callId)
  }

  private _report (call: EntryCall, outcome: hosting.Outcome, reason: hosting.OutcomeReason, targetMs: number): void {
    this._options.onCallEnd({ outcome, reason, totalMs: performance.now() - call.startedAtMs, targetMs })
  }
}
