import './RoarrEnvironment.js'
import * as roarr from 'roarr'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Writes JSON lines with `roarr`. */
export class Logger implements services.ILogger {
  constructor (write: (line: string) => void) {
    roarr.ROARR.write = write
  }

  public log (level: types.LogLevel, event: string, context: types.LogContext): void {
    roarr.Roarr[level]({ level, ...context }, event)
  }
}
