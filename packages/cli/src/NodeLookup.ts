/** Finds nodes through the member table of any node. */
import * as cliError from './CliError.js'
import * as results from 'ts-results-es'
import type * as adminStatus from '@elmpost/common/node/AdminStatus.js'
import type * as services from './Services.js'

/** Queries the addresses in order until a node answers. */
export async function fetchAnyStatus (admin: services.IAdminClient, addresses: readonly string[]): Promise<results.Result<adminStatus.AdminStatus, cliError.CliError>> {
  const problems: string[] = []
  for (const address of addresses) {
    const status = await admin.fetchStatus(address)
    if (status.isOk()) return status
    problems.push(status.error.message)
  }
  return results.Err(new cliError.CliError('unreachable', 'No node answered. Name a running one with --admin.', problems))
}

/** Looks up the administration address of a node by its id. */
export async function findAdminAddress (admin: services.IAdminClient, addresses: readonly string[], nodeId: string): Promise<results.Result<string, cliError.CliError>> {
  const status = await fetchAnyStatus(admin, addresses)
  return status.andThen(({ members }) => {
    const row = members.find(member => member.nodeId === nodeId)
    if (row === undefined) return results.Err(new cliError.CliError('invalid-input', `No node has the id '${nodeId}'. List the nodes with 'elmpost status'.`))
    if (row.adminAddress === '') return results.Err(new cliError.CliError('invalid-input', `The node '${nodeId}' announces no administration address. Set adminAddress in its settings.`))
    return results.Ok(row.adminAddress)
  })
}
