import * as appender from '../Appender.js'
import * as cliError from '../CliError.js'
import * as configLog from '../ConfigLog.js'
import * as results from 'ts-results-es'
import * as types from '../Types.js'
import type * as services from '../Services.js'

/** Appends the accepted state again, so that the log keeps it. Repeating this is harmless. */
export class SnapshotCommand {
  constructor (
    private readonly _environment: services.ICliEnvironment,
    private readonly _client: services.ILogClient,
    private readonly _output: services.IOutput
  ) {}

  public async run (attempts: number): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const log = new configLog.ConfigLog(this._client, this._output)
    const read = await log.catchUp()
    if (read.isErr()) return read
    if (log.gapReason !== undefined) return results.Err(new cliError.CliError('unreachable', log.gapReason))
    const snapshot = log.snapshot()
    if (snapshot === undefined) return results.Err(new cliError.CliError('rejected', "No version is in force, so there is nothing to append. Apply a file with 'elmpost apply' first."))
    const sender = new appender.Appender(this._client, this._environment.clock, this._environment.random, attempts, this._output)
    const appended = await sender.append('config', snapshot, async () => false)
    return this._report(snapshot.version, appended)
  }

  private _report (version: number, { last, isUncertain }: appender.AppendAttempts): results.Result<types.ExitCode, cliError.CliError> {
    if (last.kind === 'appended') {
      this._output.printResult({ version, offset: last.offset }, [`Appended version ${version} as a snapshot at offset ${last.offset}.`])
      return results.Ok(types.EXIT_CODES.ok)
    }
    if (last.kind === 'refused') return results.Err(new cliError.CliError('rejected', last.problem))
    const remedy = isUncertain ? 'The snapshot may be in the log; appending it again is harmless.' : 'Nothing was sent; try again later.'
    return results.Err(new cliError.CliError(isUncertain ? 'unknown' : 'unreachable', `${last.problem} ${remedy}`))
  }
}
