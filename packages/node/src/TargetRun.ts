import * as headers from './Headers.js'
import * as pieceBuffer from './PieceBuffer.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as http from 'node:http'
import type * as types from './Types.js'
import type * as undici from 'undici'

/** Answers up to this size are buffered and passed on in one piece. */
export const MAX_WHOLE_BODY_BYTES = 256 * 1024

const NO_RETRY_MESSAGE = 'the request may already have been written once'

/** Reasons by error code. Other errors before the write, such as a connect timeout, count as overload. */
const REASONS_BEFORE_WRITE: Readonly<Record<string, hosting.OutcomeReason>> = {
  ECONNREFUSED: 'target-lost',
  ECONNRESET: 'target-lost',
  TARGET_RESET: 'target-lost',
  UND_ERR_SOCKET: 'target-lost',
  UND_ERR_INVALID_ARG: 'bad-request'
}

/** Operations of the runner that a run uses. */
export interface IRunOwner {
  readonly listener: types.IRunListener
  /** The target refused a connection. */
  handleRefusedConnection(): void
  /** Whether the target has died, after it broke a connection. */
  confirmDeath(): Promise<boolean>
  handleEnd(run: TargetRun): void
}

type Phase = 'waiting' | 'written' | 'streaming' | 'done'

/** One request to the target: its place in the queue and the handler of its HTTP exchange. */
export class TargetRun implements undici.Dispatcher.DispatchHandler {
  private _phase: Phase = 'waiting'
  private _controller: undici.Dispatcher.DispatchController | undefined
  private _release: (() => void) | undefined
  private _status = 0
  private _headers: Record<string, string> = {}
  private readonly _pieces = new pieceBuffer.PieceBuffer()
  private _writtenAtMs = 0

  constructor (public readonly request: types.TargetRequest, private readonly _owner: IRunOwner) {}

  public get isDone (): boolean {
    return this._phase === 'done'
  }

  public get isWritten (): boolean {
    return this._phase === 'written' || this._phase === 'streaming'
  }

  /** Sets the function that frees the slot when the exchange has ended. */
  public setRelease (release: () => void): void {
    this._release = release
  }

  public onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    if (this._phase === 'waiting' && this._owner.listener.confirmStart(this.request)) {
      this._controller = controller
      this._phase = 'written'
      this._writtenAtMs = performance.now()
      return
    }
    // Reports the result before the abort, because the abort causes an error event of its own.
    if (this._phase === 'waiting') this._fail({ kind: 'not-started', reason: 'deadline' })
    else this._fail({ kind: 'lost', reason: 'target-lost', targetDied: false })
    controller.abort(new Error(NO_RETRY_MESSAGE))
  }

  public onResponseStart (controller: undici.Dispatcher.DispatchController, status: number, received: http.IncomingHttpHeaders): void {
    if (status < 200 || this._phase !== 'written') return
    this._status = status
    this._headers = headers.forwardable(received)
    const length = received['content-length']
    if (this.request.method === 'HEAD' && length !== undefined) this._headers['content-length'] = length
    else if (length !== undefined && Number(length) > MAX_WHOLE_BODY_BYTES) this._beginStream(controller)
  }

  public onResponseData (controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._phase === 'written') {
      this._pieces.add(chunk)
      if (this._pieces.lengthBytes > MAX_WHOLE_BODY_BYTES) this._beginStream(controller)
    } else if (this._phase === 'streaming' && !this._owner.listener.handleChunk(this.request, chunk)) {
      controller.pause()
    }
  }

  public onResponseEnd (): void {
    const serviceMs = performance.now() - this._writtenAtMs
    const phase = this._phase
    this._finish()
    if (phase === 'streaming') this._owner.listener.handleEnd(this.request, serviceMs)
    else if (phase === 'written') this._owner.listener.handleAnswer(this.request, this._status, this._headers, this._pieces.take(), serviceMs)
  }

  public onResponseError (_controller: undici.Dispatcher.DispatchController | null, error: Error): void {
    const code = codeOf(error)
    if (this._phase === 'done') this._finish()
    else if (this._phase === 'waiting') this._failBeforeWrite(code)
    else this._failAfterWrite()
  }

  /** Ends the run early. A request that is still waiting will certainly not be written. */
  public abort (reason: hosting.OutcomeReason): void {
    if (this._phase === 'done') return
    const result: hosting.RunResult = this._phase === 'waiting'
      ? { kind: 'not-started', reason }
      : { kind: 'lost', reason, targetDied: false }
    const controller = this._controller
    this._fail(result)
    controller?.abort(new Error(`aborted: ${reason}`))
  }

  public resume (): void {
    if (this._phase === 'streaming') this._controller?.resume()
  }

  /** Ends a run whose request could not be passed to the connection. */
  public reject (reason: hosting.OutcomeReason): void {
    if (this._phase === 'waiting') this._fail({ kind: 'not-started', reason })
    this._finish()
  }

  private _beginStream (controller: undici.Dispatcher.DispatchController): void {
    this._phase = 'streaming'
    const { listener } = this._owner
    listener.handleHead(this.request, this._status, this._headers)
    let canContinue = true
    const received = this._pieces.take()
    if (received !== undefined) canContinue = listener.handleChunk(this.request, received)
    if (!canContinue) controller.pause()
  }

  private _failBeforeWrite (code: string): void {
    if (code === 'ECONNREFUSED') this._owner.handleRefusedConnection()
    this._fail({ kind: 'not-started', reason: REASONS_BEFORE_WRITE[code] ?? 'overloaded' })
    this._finish()
  }

  private _failAfterWrite (): void {
    const end = (targetDied: boolean): void => {
      this._fail({ kind: 'lost', reason: 'target-lost', targetDied })
      this._finish()
    }
    this._owner.confirmDeath().then(end, () => { end(false) })
  }

  private _fail (result: hosting.RunResult): void {
    if (this._phase === 'done') return
    this._phase = 'done'
    this._owner.listener.handleFailure(this.request, result)
    if (this._controller !== undefined) this._finish()
  }

  /** Frees the slot. A run that fails while it waits for a connection keeps its slot until the wait ends. */
  private _finish (): void {
    this._phase = 'done'
    const release = this._release
    this._release = undefined
    this._owner.handleEnd(this)
    release?.()
  }
}

function codeOf (error: Error): string {
  const code = (error as NodeJS.ErrnoException).code
  return typeof code === 'string' ? code : ''
}
