import * as results from 'ts-results-es'
import * as cliError from './CliError.js'
import * as httpRequest from './HttpRequest.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Records per page. A page of the largest documents stays near 20 MiB; audit records have less than 1 KiB. */
const PAGE_RECORDS: Readonly<Record<types.StreamName, number>> = { config: 20, audit: 500 }

/** Statuses that, by the protocol, mean that the log has not stored the record. */
const REFUSALS: Readonly<Record<number, string>> = {
  400: 'The log refused the record as malformed.',
  404: 'The log does not know the stream. Check --log-url.',
  413: 'The record is over the size limit of the log. Make the document smaller.'
}

/** Log service over HTTP. */
export class HttpLogClient implements services.ILogClient {
  constructor (private readonly _url: string, private readonly _timeoutMs: base.Millis, private readonly _logger: services.ILogger) {}

  public async append (stream: types.StreamName, data: unknown): Promise<types.AppendResult> {
    const outcome = await this._request('POST', this._recordsUrl(stream), data)
    if (outcome.kind === 'no-answer') return { kind: outcome.wasSent ? 'unknown' : 'not-sent', problem: `The log at ${this._url} gave no answer (${outcome.problem}).` }
    const offset = fieldOf(outcome.body, 'offset')
    if (outcome.status === 201 && isOffset(offset)) return { kind: 'appended', offset }
    const refusal = REFUSALS[outcome.status]
    if (refusal !== undefined) return { kind: 'refused', problem: refusal }
    return { kind: 'unknown', problem: `The log answered with status ${outcome.status}.` }
  }

  public async read (stream: types.StreamName, fromOffset: number): Promise<results.Result<types.LogPage, cliError.CliError>> {
    const url = `${this._recordsUrl(stream)}?from=${fromOffset}&limit=${PAGE_RECORDS[stream]}&waitMs=0`
    const outcome = await this._request('GET', url)
    if (outcome.kind === 'no-answer') return this._unreachable(`gave no answer (${outcome.problem})`)
    if (outcome.status !== 200) return this._unreachable(`answered with status ${outcome.status}`)
    const [records, firstOffset] = [fieldOf(outcome.body, 'records'), fieldOf(outcome.body, 'firstOffset')]
    if (!Array.isArray(records) || !records.every(isRecord) || !isOffset(firstOffset)) return this._unreachable('answered with something other than records')
    return results.Ok({ records, firstOffset })
  }

  private async _request (method: 'GET' | 'POST', url: string, body?: unknown): Promise<httpRequest.HttpOutcome> {
    return await httpRequest.requestJson({ method, url, timeoutMs: this._timeoutMs, body, logger: this._logger })
  }

  private _recordsUrl (stream: types.StreamName): string {
    return `${this._url.replace(/\/+$/, '')}/streams/${stream}/records`
  }

  private _unreachable (problem: string): results.Result<never, cliError.CliError> {
    return results.Err(new cliError.CliError('unreachable', `The log at ${this._url} ${problem}. Check --log-url and try again.`))
  }
}

function fieldOf (value: unknown, name: string): unknown {
  return typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[name] : undefined
}

function isOffset (value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0
}

function isRecord (value: unknown): boolean {
  return isOffset(fieldOf(value, 'offset'))
}
