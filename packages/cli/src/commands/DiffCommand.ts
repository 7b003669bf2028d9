import * as cliError from '../CliError.js'
import * as configDiff from '@elmpost/common/config/ConfigDiff.js'
import * as configLog from '../ConfigLog.js'
import * as documentFile from '../DocumentFile.js'
import * as results from 'ts-results-es'
import * as types from '../Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as services from '../Services.js'

/** Shows what a file would change, against another file or against the version in force. */
export class DiffCommand {
  constructor (private readonly _environment: services.ICliEnvironment, private readonly _output: services.IOutput) {}

  /** Compares with the file `from` or, if it is undefined, with the version in force according to the log. */
  public async run (from: string | undefined, to: string, client: () => services.ILogClient): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const after = await documentFile.readDocument(this._environment.files, to)
    if (after.isErr()) return after
    const before = from === undefined ? await this._inForce(client()) : await this._file(from)
    if (before.isErr()) return before
    const changes = new configDiff.ConfigDiff().compare(before.value.document, after.value)
    const summary = changes.length === 0 ? `No changes against ${before.value.name}.` : `${changes.length === 1 ? '1 change' : `${changes.length} changes`} against ${before.value.name}:`
    this._output.printResult({ against: before.value.name, version: before.value.version, changes }, [summary, ...changes.map(configDiff.formatChange)])
    return results.Ok(types.EXIT_CODES.ok)
  }

  private async _file (path: string): Promise<results.Result<Side, cliError.CliError>> {
    const document = await documentFile.readDocument(this._environment.files, path)
    return document.map(value => ({ name: path, version: undefined, document: value }))
  }

  private async _inForce (client: services.ILogClient): Promise<results.Result<Side, cliError.CliError>> {
    const log = new configLog.ConfigLog(client, this._output)
    const read = await log.catchUp()
    if (read.isErr()) return read
    if (log.gapReason !== undefined) return results.Err(new cliError.CliError('unreachable', log.gapReason))
    const version = log.state?.version ?? 0
    return results.Ok({ name: `version ${version}`, version, document: log.state?.document })
  }
}

interface Side {
  readonly name: string
  readonly version: number | undefined
  readonly document: config.ConfigDocument | undefined
}
