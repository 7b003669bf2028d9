import * as results from 'ts-results-es'
import * as cliError from './CliError.js'
import * as httpRequest from './HttpRequest.js'
import type * as adminStatus from '@elmpost/common/node/AdminStatus.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

/** Administration endpoints over HTTP. */
export class HttpAdminClient implements services.IAdminClient {
  constructor (private readonly _timeoutMs: base.Millis, private readonly _logger: services.ILogger) {}

  public async fetchStatus (address: string): Promise<results.Result<adminStatus.AdminStatus, cliError.CliError>> {
    const outcome = await this._request('GET', `http://${address}/admin/status`)
    if (outcome.kind === 'no-answer') return unreachable(address, `gave no answer (${outcome.problem})`)
    if (outcome.status !== 200 || !isStatus(outcome.body)) return unreachable(address, `did not answer with a status (HTTP ${outcome.status})`)
    return results.Ok(outcome.body)
  }

  public async postAction (address: string, action: 'drain' | 'undrain'): Promise<results.Result<void, cliError.CliError>> {
    const outcome = await this._request('POST', `http://${address}/admin/${action}`)
    if (outcome.kind === 'no-answer') return unreachable(address, `gave no answer (${outcome.problem})`)
    if (outcome.status >= 200 && outcome.status < 300) return results.Ok(undefined)
    return results.Err(new cliError.CliError('rejected', `The node at ${address} refused to ${action} (HTTP ${outcome.status}). See its log.`))
  }

  public async unblock (address: string, fingerprint: string): Promise<results.Result<boolean, cliError.CliError>> {
    const outcome = await this._request('POST', `http://${address}/admin/unblock/${encodeURIComponent(fingerprint)}`)
    if (outcome.kind === 'no-answer') return unreachable(address, `gave no answer (${outcome.problem})`)
    if (outcome.status === 200) return results.Ok(true)
    if (outcome.status === 404) return results.Ok(false)
    return results.Err(new cliError.CliError('rejected', `The node at ${address} refused to unblock the request (HTTP ${outcome.status}). Run the command on the machine of the node.`))
  }

  private async _request (method: 'GET' | 'POST', url: string): Promise<httpRequest.HttpOutcome> {
    return await httpRequest.requestJson({ method, url, timeoutMs: this._timeoutMs, logger: this._logger })
  }
}

function unreachable (address: string, problem: string): results.Result<never, cliError.CliError> {
  return results.Err(new cliError.CliError('unreachable',
    `The node at ${address} ${problem}. Administration addresses are reachable only from the machine of the node; check --admin.`))
}

function isStatus (body: unknown): body is adminStatus.AdminStatus {
  if (typeof body !== 'object' || body === null || !('members' in body) || !('version' in body)) return false
  return Number.isSafeInteger(body.version) && Array.isArray(body.members) && body.members.every(isRow)
}

function isRow (row: unknown): boolean {
  if (typeof row !== 'object' || row === null) return false
  const { nodeId, zone, service, state, enforcedVersion, adminAddress } = row as Record<string, unknown>
  return [nodeId, zone, service, state, adminAddress].every(value => typeof value === 'string') && Number.isSafeInteger(enforcedVersion)
}
