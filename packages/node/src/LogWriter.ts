import * as fs from 'node:fs'
import * as sonicBoom from 'sonic-boom'

const STANDARD_OUTPUT = 1
/** Lines beyond this backlog are dropped, because a slow reader of the log must not delay calls. */
const MAX_BACKLOG_BYTES = 1024 * 1024
/** Lines are batched for this time, because each write wakes a thread of the process, which costs more than the line. */
export const FLUSH_INTERVAL_MS = 100
/** A batch of at least this length is written at once. */
const MAX_BATCH_CHARACTERS = 8 * 1024

/** Writes log lines to a file descriptor without waiting for its reader. */
export class LogWriter {
  private readonly _stream: sonicBoom.SonicBoom
  private _batch = ''
  private _isFlushDue = false

  constructor (private readonly _fileDescriptor = STANDARD_OUTPUT) {
    this._stream = new sonicBoom.default.SonicBoom({ fd: _fileDescriptor, sync: false, maxLength: MAX_BACKLOG_BYTES })
    // Without a listener, an error such as a closed output would end the process. The node continues without a log.
    this._stream.on('error', () => {})
  }

  public write (line: string): void {
    this._batch += `${line}\n`
    if (this._batch.length >= MAX_BATCH_CHARACTERS) {
      this._flush()
    } else if (!this._isFlushDue) {
      this._isFlushDue = true
      setTimeout(() => {
        this._isFlushDue = false
        this._flush()
      }, FLUSH_INTERVAL_MS).unref()
    }
  }

  /** Writes all pending lines synchronously, before the process ends. */
  public flushSync (): void {
    try {
      this._stream.flushSync()
      fs.writeSync(this._fileDescriptor, this._batch)
      this._batch = ''
    } catch {
      // The output is closed, so the error cannot be reported there, and the process ends anyway.
    }
  }

  private _flush (): void {
    if (this._batch === '') return
    this._stream.write(this._batch)
    this._batch = ''
  }
}
