import * as answerStatus from '@elmpost/common/direct/AnswerStatus.js'
import * as pieceBuffer from '../PieceBuffer.js'
import * as rawHeaderFilter from './RawHeaderFilter.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as http from 'node:http'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as undici from 'undici'
import type * as unfinishedAnswers from './UnfinishedAnswers.js'

type Phase = 'waiting' | 'written' | 'done'

export interface TargetExchangeOptions {
  readonly requestId: string
  readonly isExpired: () => boolean
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
  /** All answers of the target that are not complete yet. */
  readonly unfinished: unfinishedAnswers.UnfinishedAnswers
  readonly onEnd: (result: types.RunResult) => void
  readonly onNotice: (notice: direct.TargetNotice) => void
  /** The connection failed before any part of an answer, `afterMs` after the request was written. */
  readonly onReset: (afterMs: base.Millis) => void
}

/** Handles one HTTP exchange with the target. */
export class TargetExchange implements undici.Dispatcher.DispatchHandler, services.ITargetRun, unfinishedAnswers.IUnfinishedAnswer {
  private _phase: Phase = 'waiting'
  private _controller: undici.Dispatcher.DispatchController | undefined
  private _isAborted = false
  private _writtenAtMs = 0
  private _status = 0
  private _headers: types.RawHeaders = []
  private _isUnframed = false
  private _declined: { readonly targetId: string | undefined } | undefined
  private readonly _pieces = new pieceBuffer.PieceBuffer()

  constructor (private readonly _options: TargetExchangeOptions) {}

  public abort (): void {
    if (this._phase === 'done') return
    this._isAborted = true
    const wasWritten = this._phase === 'written'
    this._end(wasWritten ? { kind: 'failed', reason: 'timeout', detail: 'aborted' } : { kind: 'withdrawn' })
    this._controller?.abort(new Error('the call was aborted'))
  }

  public abandon (): void {
    this._failAndClose('the answer is too large or does not end')
  }

  public onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    if (this._phase === 'waiting' && !this._isAborted && this._options.isExpired()) this._end({ kind: 'withdrawn' })
    if (this._phase === 'waiting' && !this._isAborted) {
      this._controller = controller
      this._phase = 'written'
      this._writtenAtMs = this._options.nowMs()
      return
    }
    // The HTTP client may dispatch a request again on a second connection, where it must not be written a second time.
    if (this._phase === 'written') this._end({ kind: 'failed', reason: 'target-lost', detail: 'the request may already have been written once' })
    controller.abort(new Error('the request must not be written'))
  }

  public onResponseStart (controller: undici.Dispatcher.DispatchController, status: number, received: http.IncomingHttpHeaders): void {
    if (answerStatus.isInterim(status) || this._phase !== 'written') return
    const { dialect, requestId } = this._options
    const info = dialect.readAnswer(status, received)
    const problem = problemOf(info, requestId, status, received)
    if (problem !== undefined) {
      this._failAndClose(problem)
      return
    }
    this._status = status
    this._isUnframed = received['content-length'] === undefined && received['transfer-encoding'] === undefined
    this._declined = info.isDeclined ? { targetId: info.targetId } : undefined
    const headers = stringsOf(controller.rawHeaders)
    this._headers = rawHeaderFilter.forwardable(headers, name => dialect.isForNode(name))
    if (!info.isFromOther) this._options.onNotice(dialect.readNotice(headers))
  }

  public onResponseData (_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._phase !== 'written') return
    this._pieces.add(chunk)
    this._options.unfinished.addPiece(this, chunk.length)
  }

  public onResponseEnd (): void {
    if (this._phase !== 'written') return
    if (this._declined !== undefined) {
      this._end({ kind: 'declined', status: this._status, targetId: this._declined.targetId })
      return
    }
    const answer = { status: this._status, headers: this._headers, body: this._pieces.take(), isUnframed: this._isUnframed }
    this._end({ kind: 'answered', answer, serviceMs: this._options.nowMs() - this._writtenAtMs })
  }

  public onResponseError (_controller: undici.Dispatcher.DispatchController | null, error: Error): void {
    const code = (error as NodeJS.ErrnoException).code ?? error.message
    if (this._phase === 'written' && this._status === 0) this._options.onReset(this._options.nowMs() - this._writtenAtMs)
    if (this._phase === 'waiting') this._end({ kind: 'unreachable', code })
    else this._end({ kind: 'failed', reason: 'target-lost', detail: code })
  }

  /** Fails the call and closes the connection, because the data on it is not a valid answer to the request. */
  private _failAndClose (problem: string): void {
    this._end({ kind: 'failed', reason: 'bad-answer', detail: problem })
    this._controller?.abort(new Error(problem))
  }

  private _end (result: types.RunResult): void {
    if (this._phase === 'done') return
    this._phase = 'done'
    this._pieces.clear()
    this._options.unfinished.remove(this)
    this._options.onEnd(result)
  }
}

/** Why an answer cannot belong to the request; undefined if it can. */
function problemOf (info: types.TargetAnswerInfo, requestId: string, status: number, received: http.IncomingHttpHeaders): string | undefined {
  if (!answerStatus.isFinal(status)) return 'the answer has an invalid status'
  if (info.requestId !== undefined && info.requestId !== requestId) return 'the answer belongs to another request'
  // Targets refuse requests without an id for that. Any other refusal without one may be an earlier one, or that of a health check.
  const isAnonymousRefusal = info.isDeclined && requestId !== ''
  if ((status < 300 || isAnonymousRefusal) && info.requestId === undefined) return 'the answer has no request id'
  if (status < 300 && !info.isMarked) return 'the answer has no signature of a target'
  // Callers only accept bodies without a content encoding, so targets never encode them.
  if (received['content-encoding'] !== undefined) return 'the answer has a content encoding'
  return undefined
}

function stringsOf (raw: unknown): string[] {
  if (!Array.isArray(raw)) return []
  return raw.map(value => typeof value === 'string' ? value : (value as Buffer).toString('latin1'))
}
