import * as cliError from '../CliError.js'
import * as nodeLookup from '../NodeLookup.js'
import * as results from 'ts-results-es'
import * as types from '../Types.js'
import type * as services from '../Services.js'

/** Starts or ends the drain of a node that is named by its id. */
export class DrainCommand {
  constructor (private readonly _admin: services.IAdminClient, private readonly _output: services.IOutput) {}

  public async run (addresses: readonly string[], nodeId: string, action: 'drain' | 'undrain'): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const address = await nodeLookup.findAdminAddress(this._admin, addresses, nodeId)
    if (address.isErr()) return address
    const posted = await this._admin.postAction(address.value, action)
    if (posted.isErr()) return posted
    const text = action === 'drain' ? 'The node is draining; it takes no new work.' : 'The node takes work again.'
    this._output.printResult({ nodeId, action, adminAddress: address.value }, [`${nodeId}: ${text}`])
    return results.Ok(types.EXIT_CODES.ok)
  }
}
