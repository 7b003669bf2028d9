import * as sonicBoom from 'sonic-boom'

const STANDARD_OUTPUT = 1
/** Lines above this backlog are dropped, because a reader that is slow must not hold up calls. */
const MAX_BACKLOG_BYTES = 1024 * 1024
/** Lines are written together after this time. Each write wakes a thread of the process, which costs more than the line. */
export const FLUSH_MS = 100
/** A longer batch is written at once. */
const BATCH_BYTES = 8 * 1024

/** Writes log lines to a file descriptor without waiting for its reader. */
export class LogWriter {
  private readonly _stream: sonicBoom.SonicBoom
  private _isFlushDue = false

  constructor (fileDescriptor = STANDARD_OUTPUT) {
    this._stream = new sonicBoom.default.SonicBoom({ fd: fileDescriptor, sync: false, maxLength: MAX_BACKLOG_BYTES, minLength: BATCH_BYTES })
    // A closed output ends the log and nothing else.
    this._stream.on('error', () => {})
  }

  public write (line: string): void {
    this._stream.write(`${line}\n`)
    if (this._isFlushDue) return
    this._isFlushDue = true
    setTimeout(() => { this._flush() }, FLUSH_MS).unref()
  }

  /** Writes what is left before the process ends. */
  public flushSync (): void {
    try {
      this._stream.flushSync()
    } catch {
      // The process ends, and the output is not there to be told of it.
    }
  }

  private _flush (): void {
    this._isFlushDue = false
    // A failed write is reported as an `error` of the stream.
    this._stream.flush(() => {})
  }
}
