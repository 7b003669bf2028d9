import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Upper bound of the random wait before the first retry; it doubles with each further attempt. */
const FIRST_BACKOFF_MS = 200

export interface AppendAttempts {
  readonly last: types.AppendResult
  /** Whether a record may be in the log although no offset is known. */
  readonly isUncertain: boolean
  readonly attempts: number
}

/** Appends a record, and retries with the same record until the log has appended or refused it, or all attempts are used up. */
export class Appender {
  constructor (
    private readonly _client: services.ILogClient,
    private readonly _clock: services.ICliClock,
    private readonly _random: base.IRandom,
    private readonly _maxAttempts: number,
    private readonly _logger: services.ILogger
  ) {}

  /** While the result is uncertain, `isSettled` is called before each retry; reading the log may have settled it meanwhile. */
  public async append (stream: types.StreamName, record: unknown, isSettled: () => Promise<boolean>): Promise<AppendAttempts> {
    let isUncertain = false
    for (let attempts = 1; ; attempts++) {
      const last = await this._client.append(stream, record)
      if (last.kind === 'appended' || last.kind === 'refused') return { last, isUncertain, attempts }
      isUncertain ||= last.kind === 'unknown'
      if (attempts >= this._maxAttempts) return { last, isUncertain, attempts }
      const waitMs = Math.round(this._random.nextFloat() * FIRST_BACKOFF_MS * 2 ** (attempts - 1))
      this._logger.log('warn', 'append-retry', { stream, attempt: attempts + 1, waitMs, problem: last.problem })
      await this._clock.sleep(waitMs)
      if (isUncertain && await isSettled()) return { last, isUncertain, attempts }
    }
  }
}
