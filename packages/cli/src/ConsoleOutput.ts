import type * as services from './Services.js'
import type * as types from './Types.js'

export type WriteText = (text: string) => void

/** Writes results to the standard output and notes to the standard error. */
export class ConsoleOutput implements services.IOutput {
  constructor (
    private readonly _format: types.OutputFormat,
    private readonly _writeResult: WriteText,
    private readonly _writeNote: WriteText,
    private readonly _logger: services.ILogger
  ) {}

  public printResult (value: unknown, lines: readonly string[]): void {
    const text = this._format === 'json' ? JSON.stringify(value) : lines.map(printable).join('\n')
    this._writeResult(`${text}\n`)
  }

  public printNote (line: string): void {
    this._writeNote(`${printable(line)}\n`)
  }

  public log (level: types.LogLevel, event: string, context: types.LogContext): void {
    this._logger.log(level, event, context)
  }
}

/** Replaces control and format characters, because texts from the log and from nodes must not control the terminal. */
function printable (text: string): string {
  return text.replace(/[\p{Cc}\p{Cf}]/gu, '?')
}
