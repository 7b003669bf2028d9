import * as sonicBoom from 'sonic-boom'

const STANDARD_OUTPUT = 1
/** Lines above this backlog are dropped, because a reader that is slow must not hold up calls. */
const MAX_BACKLOG_BYTES = 1024 * 1024

/** Writes log lines to standard output without waiting for its reader. */
export class LogWriter {
  private readonly _stream = new sonicBoom.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, maxLength: MAX_BACKLOG_BYTES })

  constructor () {
    // A closed output ends the log and nothing else.
    this._stream.on('error', () => {})
  }

  public write (line: string): void {
    this._stream.write(`${line}\n`)
  }

  /** Writes what is left before the process ends. */
  public flushSync (): void {
    try {
      this._stream.flushSync()
    } catch {
      // The process ends, and the output is not there to be told of it.
    }
  }
}
