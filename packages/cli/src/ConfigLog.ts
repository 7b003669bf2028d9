import * as acceptance from '@elmpost/common/config/Acceptance.js'
import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as results from 'ts-results-es'
import type * as cliError from './CliError.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as services from './Services.js'

/** Called with each record, the state before it and its verdict. */
export type RecordListener = (record: config.LogRecord, before: config.AcceptedState | undefined, verdict: config.Verdict) => void

/** Reads and folds the `config` stream for the command line. */
export class ConfigLog {
  private readonly _acceptance = new acceptance.Acceptance(new configValidator.ConfigValidator())

  private _firstOffset = 0

  constructor (
    private readonly _client: services.ILogClient,
    private readonly _logger: services.ILogger,
    private readonly _onRecord: RecordListener = () => {}
  ) {}

  public get state (): config.AcceptedState | undefined {
    return this._acceptance.state
  }

  /** Offset of the oldest record that the log still holds. */
  public get firstOffset (): number {
    return this._firstOffset
  }

  /** Offset of the next record to read. */
  public get nextOffset (): number {
    return this._acceptance.nextOffset
  }

  /** Why the version in force cannot be determined from the log, with the remedy; undefined if it can. */
  public get gapReason (): string | undefined {
    if (this._acceptance.upgradeReason !== undefined) return this._acceptance.upgradeReason
    if (this._acceptance.anchorOffset !== undefined) return undefined
    return 'The log has dropped the records before the oldest one, and no snapshot replaces them. Wait until a node has appended a snapshot, then try again. If no node is left that knows the version, use \'elmpost recover\'.'
  }

  public snapshot (): config.SnapshotRecord | undefined {
    return this._acceptance.makeSnapshot()
  }

  public verdictOf (proposalId: string): config.Verdict | undefined {
    return this._acceptance.verdictOf(proposalId)
  }

  /** Reads and folds the stream up to its present end. */
  public async catchUp (): Promise<results.Result<void, cliError.CliError>> {
    for (;;) {
      const page = await this._client.read('config', this._acceptance.nextOffset)
      if (page.isErr()) return page
      this._firstOffset = page.value.firstOffset
      this._acceptance.skipTo(page.value.firstOffset)
      const start = this._acceptance.nextOffset
      for (const record of page.value.records) this._fold(record)
      if (this._acceptance.nextOffset === start) return results.Ok(undefined)
    }
  }

  private _fold (record: config.LogRecord): void {
    const before = this._acceptance.state
    const verdict = this._acceptance.apply(record)
    this._logger.log('info', 'verdict', { offset: record.offset, verdict: verdict.kind, reason: verdict.reason })
    this._onRecord(record, before, verdict)
  }
}
