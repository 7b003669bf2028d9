import * as fs from 'node:fs'
import * as sonicBoom from 'sonic-boom'

const STANDARD_OUTPUT = 1
/** Lines above this backlog are dropped, because a reader that is slow must not hold up calls. */
const MAX_BACKLOG_BYTES = 1024 * 1024
/** Lines are written together after this time. Each write wakes a thread of the process, which costs more than the line. */
export const FLUSH_MS = 100
/** A longer batch is written at once. */
const BATCH_CHARACTERS = 8 * 1024

/** Writes log lines to a file descriptor without waiting for its reader. */
export class LogWriter {
  private readonly _stream: sonicBoom.SonicBoom
  private _batch = ''
  private _isFlushDue = false

  constructor (private readonly _fileDescriptor = STANDARD_OUTPUT) {
    this._stream = new sonicBoom.default.SonicBoom({ fd: _fileDescriptor, sync: false, maxLength: MAX_BACKLOG_BYTES })
    // A closed output ends the log and nothing else.
    this._stream.on('error', () => {})
  }

  public write (line: string): void {
    this._batch += `${line}\n`
    if (this._batch.length >= BATCH_CHARACTERS) {
      this._flush()
    } else if (!this._isFlushDue) {
      this._isFlushDue = true
      setTimeout(() => {
        this._isFlushDue = false
        this._flush()
      }, FLUSH_MS).unref()
    }
  }

  /** Writes what is left before the process ends. */
  public flushSync (): void {
    try {
      this._stream.flushSync()
      fs.writeSync(this._fileDescriptor, this._batch)
      this._batch = ''
    } catch {
      // The process ends, and the output is not there to be told of it.
    }
  }

  private _flush (): void {
    if (this._batch === '') return
    this._stream.write(this._batch)
    this._batch = ''
  }
}
