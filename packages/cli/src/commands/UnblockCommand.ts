import * as cliError from '../CliError.js'
import * as results from 'ts-results-es'
import * as types from '../Types.js'
import type * as services from '../Services.js'

/** Lifts the block of a request with which targets have crashed. Any node tells the others. */
export class UnblockCommand {
  constructor (private readonly _admin: services.IAdminClient, private readonly _output: services.IOutput) {}

  public async run (addresses: readonly string[], fingerprint: string): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const problems: string[] = []
    for (const address of addresses) {
      const unblocked = await this._admin.unblock(address, fingerprint)
      if (unblocked.isErr()) {
        problems.push(unblocked.error.message)
        continue
      }
      if (!unblocked.value) return results.Err(new cliError.CliError('invalid-input', `Nothing is held against a request with the fingerprint '${fingerprint}'. List the blocked requests with 'elmpost status'.`))
      this._output.printResult({ fingerprint, unblocked: true, adminAddress: address }, [`${fingerprint}: The request is passed on again. It is blocked anew if targets crash with it.`])
      return results.Ok(types.EXIT_CODES.ok)
    }
    return results.Err(new cliError.CliError('unreachable', 'No node has unblocked the request. Name a running one with --admin.', problems))
  }
}
