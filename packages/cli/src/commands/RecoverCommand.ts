import * as appender from '../Appender.js'
import * as cliError from '../CliError.js'
import * as configLog from '../ConfigLog.js'
import * as digests from '@elmpost/common/base/Digest.js'
import * as documentFile from '../DocumentFile.js'
import * as nodeLookup from '../NodeLookup.js'
import * as results from 'ts-results-es'
import * as ruleSets from '@elmpost/common/config/RuleSets.js'
import * as types from '../Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as services from '../Services.js'

export interface RecoverOptions {
  readonly file: string
  /** Must be above every version that was ever in force, because nodes never enforce a lower version. */
  readonly asVersion: number
  readonly addresses: readonly string[]
  readonly attempts: number
}

/**
 * Puts a document into force when neither the log nor any node knows the version in force any longer.
 * The record is a snapshot, because a proposal needs a base.
 */
export class RecoverCommand {
  private readonly _log: configLog.ConfigLog

  constructor (
    private readonly _environment: services.ICliEnvironment,
    private readonly _client: services.ILogClient,
    private readonly _admin: services.IAdminClient,
    private readonly _output: services.IOutput
  ) {
    this._log = new configLog.ConfigLog(_client, _output)
  }

  public async run (options: RecoverOptions): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const document = await documentFile.readDocument(this._environment.files, options.file)
    if (document.isErr()) return document
    const read = await this._log.catchUp()
    if (read.isErr()) return read
    const refusal = await this._refusal(options)
    if (refusal !== undefined) return results.Err(refusal)
    return await this._append(this._snapshot(document.value, options.asVersion), options.attempts)
  }

  private async _refusal (options: RecoverOptions): Promise<cliError.CliError | undefined> {
    if (this._log.gapReason === undefined) {
      return new cliError.CliError('rejected', `According to the log, version ${this._log.state?.version ?? 0} is in force. Use 'elmpost apply ${options.file}'.`)
    }
    const known = Math.max(this._log.state?.version ?? 0, await this._enforcedVersion(options.addresses))
    if (options.asVersion > known) return undefined
    return new cliError.CliError('rejected', `Version ${known} was in force before. Choose an --as-version above it.`)
  }

  /** The highest version that any node is known to enforce; 0 if no node answers. */
  private async _enforcedVersion (addresses: readonly string[]): Promise<number> {
    const status = await nodeLookup.fetchAnyStatus(this._admin, addresses)
    if (status.isOk()) return Math.max(status.value.version, ...status.value.members.map(row => row.enforcedVersion))
    this._output.printNote('No node answered, so the version is not compared with those that nodes enforce.')
    return 0
  }

  private _snapshot (document: config.ConfigDocument, version: number): config.SnapshotRecord {
    return {
      kind: 'snapshot',
      version,
      digest: digests.digestJson(document),
      rulesVersion: ruleSets.CURRENT_RULES_VERSION,
      asOfOffset: this._log.nextOffset - 1,
      document
    }
  }

  private async _append (snapshot: config.SnapshotRecord, attempts: number): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const sender = new appender.Appender(this._client, this._environment.clock, this._environment.random, attempts, this._output)
    const { last, isUncertain } = await sender.append('config', snapshot, async () => (await this._log.catchUp()).isOk() && this._isInForce(snapshot))
    const read = await this._log.catchUp()
    if (read.isOk() && this._isInForce(snapshot)) {
      this._output.printResult({ version: snapshot.version, digest: snapshot.digest }, [`Version ${snapshot.version} is in force.`])
      return results.Ok(types.EXIT_CODES.ok)
    }
    const problem = last.kind === 'appended' ? 'The snapshot was appended, but it did not come into force.' : last.problem
    if (isUncertain || read.isErr()) return results.Err(new cliError.CliError('unknown', `${problem} Repeat the command; repeating it is harmless.`))
    const kind = last.kind === 'not-sent' ? 'unreachable' : 'rejected'
    return results.Err(new cliError.CliError(kind, `${problem} See 'elmpost history' and repeat the command.`))
  }

  private _isInForce (snapshot: config.SnapshotRecord): boolean {
    return this._log.gapReason === undefined && this._log.state?.version === snapshot.version && this._log.state.digest === snapshot.digest
  }
}
