import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'

const READ_TIMEOUT_MS = 800
const PUT_TIMEOUT_MS = 800
/** Pause after a failure. */
const RETRY_MS = 300

export interface RolloutStatusesOptions {
  readonly store: services.IKeyedStore
  readonly format: services.IRolloutFormat
  readonly logger: nodeServices.ILogger
  readonly nowMs: () => base.Millis
}

/**
 * Statuses of roll-outs in the store. A status is written only if the topic still ends where this node has read it, so that of
 * two drivers one wins and the other one has to read again before it decides anew.
 */
export class RolloutStatuses {
  private readonly _options: RolloutStatusesOptions
  private readonly _reports = new Map<string, services.RolloutReport>()
  /** Offset at which the topic ends; undefined if it is not known. */
  private _end: number | undefined
  /** Increases when what was read is no longer valid. */
  private _generation = 0
  private _isBusy = false
  private _retryAtMs: base.Millis = -Infinity
  /** The last read has failed, which was logged. */
  private _isUnread = false

  constructor (options: RolloutStatusesOptions) {
    this._options = options
  }

  /** Whether the statuses have been read and can be written now. */
  public get isReady (): boolean {
    return this._end !== undefined && !this._isBusy
  }

  /** Status of the service, as last read or written. */
  public get (service: string): services.RolloutReport | undefined {
    return this._reports.get(service)
  }

  /** Reads the statuses again before the next decision. */
  public forget (): void {
    this._end = undefined
    this._generation += 1
    this._reports.clear()
  }

  /** Reads the statuses if they are not known. */
  public refreshIfDue (): void {
    if (this._end !== undefined || this._isBusy || this._options.nowMs() < this._retryAtMs) return
    this._run(() => this._read())
  }

  /** Writes a status. `onWritten` is called if the store has it. */
  public write (report: services.RolloutReport, onWritten: () => void): void {
    if (!this.isReady) return
    this._run(async () => { if (await this._write(report)) onWritten() })
  }

  private _run (action: () => Promise<void>): void {
    this._isBusy = true
    action().catch((error: unknown) => {
      this._options.logger.log('error', 'unexpected-error', { problem: String(error) })
    }).finally(() => { this._isBusy = false })
  }

  private async _read (): Promise<void> {
    const { store, format, logger, nowMs } = this._options
    const generation = this._generation
    const result = await store.newest(format.statusTopic, READ_TIMEOUT_MS)
    if (result.kind === 'unavailable') {
      this._retryAtMs = nowMs() + RETRY_MS
      if (!this._isUnread) logger.log('warn', 'rollout-statuses-not-read', { problem: result.problem })
      this._isUnread = true
      return
    }
    this._isUnread = false
    if (generation !== this._generation) return
    for (const { key, value } of result.records) {
      if (value === undefined || !format.isKey(key)) continue
      const report = format.decodeStatus(value)
      if (report instanceof Error) logger.log('warn', 'rollout-status-refused', { key, problem: report.message })
      else if (format.keyOf(report.service) === key) this._reports.set(report.service, report)
    }
    this._end = result.nextOffset
  }

  private async _write (report: services.RolloutReport): Promise<boolean> {
    const { store, format, logger, nowMs } = this._options
    const { service, state, targetVersion } = report
    const generation = this._generation
    const at = this._end
    const result = await store.put(format.statusTopic, [{ key: format.keyOf(service), value: format.encodeStatus(report) }], PUT_TIMEOUT_MS, at)
    if (result.kind === 'written') {
      logger.log('info', 'rollout-status', { service, targetVersion, state })
      if (generation === this._generation && at !== undefined) {
        this._end = at + 1
        this._reports.set(service, report)
      }
      return true
    }
    logger.log('warn', 'rollout-status-not-written', { service, targetVersion, state, outcome: result.kind, problem: result.problem })
    // It may have been written nevertheless, or another driver has written.
    this.forget()
    if (result.kind !== 'moved') this._retryAtMs = nowMs() + RETRY_MS
    return false
  }
}
