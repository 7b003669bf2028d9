import './RoarrEnvironment.js'
import * as roarr from 'roarr'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface LoggerOptions {
  readonly level: types.LogLevel
  readonly nodeId: string
  readonly zone: string
  /** Returns the configuration version that is enforced when a line is written. */
  readonly version: () => number
  readonly write: (line: string) => void
}

/** Writes log lines as JSON with `roarr`. Each line has the level, node, zone and enforced version. */
export class Logger implements services.ILogger {
  private readonly _options: LoggerOptions
  private readonly _minimum: number
  private readonly _roarr: typeof roarr.Roarr

  constructor (options: LoggerOptions) {
    this._options = options
    this._minimum = roarr.logLevels[options.level]
    this._roarr = roarr.Roarr.child({ node: options.nodeId, zone: options.zone })
    roarr.ROARR.write = options.write
  }

  public isEnabled (level: types.LogLevel): boolean {
    return roarr.logLevels[level] >= this._minimum
  }

  public log (level: types.LogLevel, event: string, context: types.LogContext = {}): void {
    if (!this.isEnabled(level)) return
    const fields: Record<string, string | number | boolean> = { level, version: this._options.version() }
    for (const [name, value] of Object.entries(context)) {
      if (value !== undefined) fields[name] = value
    }
    this._roarr[level](fields, event)
  }
}
