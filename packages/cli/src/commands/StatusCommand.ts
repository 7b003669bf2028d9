import * as cliError from '../CliError.js'
import * as nodeLookup from '../NodeLookup.js'
import * as results from 'ts-results-es'
import * as types from '../Types.js'
import type * as adminStatus from '@elmpost/common/node/AdminStatus.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as services from '../Services.js'

const MS_PER_S = 1000
/** Nodes in these states must enforce the newest version. */
const LIVE_STATES: ReadonlySet<membership.MemberState> = new Set(['joining', 'ready', 'draining'])

interface NodeLine {
  readonly nodeId: string
  readonly zone: string
  readonly service: string
  readonly state: membership.MemberState
  readonly version: number
  readonly isStale: boolean
}

/** Shows the version in force on each node, according to the member table of one node. */
export class StatusCommand {
  constructor (private readonly _admin: services.IAdminClient, private readonly _output: services.IOutput) {}

  /** Without a log, the newest version is the highest one that any node enforces. */
  public async run (addresses: readonly string[], log: services.ILogClient | undefined, isCheck: boolean): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const status = await nodeLookup.fetchAnyStatus(this._admin, addresses)
    if (status.isErr()) return status
    const accepted = log === undefined ? undefined : await this._accepted(log)
    const newest = Math.max(accepted ?? 0, status.value.version, ...status.value.members.map(row => row.enforcedVersion))
    const lines = nodeLines(status.value, newest)
    const stale = lines.filter(line => line.isStale)
    const live = lines.filter(line => LIVE_STATES.has(line.state)).length
    const summary = { newestVersion: newest, live, converged: live - stale.length, stale: stale.map(line => line.nodeId) }
    const restricted = status.value.restrictedRequests ?? []
    this._output.printResult({ ...summary, askedNode: status.value.self.nodeId, nodes: lines, ...(restricted.length === 0 ? {} : { restrictedRequests: restricted }) }, [
      `newest version ${newest}, in force on ${summary.converged} of ${live} live nodes (as seen by ${status.value.self.nodeId})`,
      ...table(lines),
      ...restricted.map(({ fingerprint, service, standing, crashes, ageMs }) => `request ${fingerprint}: ${standing === 'blocked' ? 'blocked' : 'runs alone'}, ${crashes} crashes of ${service}, the last one ${Math.round(ageMs / MS_PER_S)} s ago`)
    ])
    return results.Ok(isCheck && stale.length > 0 ? types.EXIT_CODES.stale : types.EXIT_CODES.ok)
  }

  private async _accepted (client: services.ILogClient): Promise<number | undefined> {
    // Loaded on demand, because the validator takes longer to load than a status request.
    const configLog = await import('../ConfigLog.js')
    const log = new configLog.ConfigLog(client, this._output)
    const read = await log.catchUp()
    const problem = read.isErr() ? read.error.message : log.gapReason
    if (problem !== undefined) this._output.printNote(`The newest version is that of the nodes, because it cannot be determined from the log. ${problem}`)
    return log.state?.version
  }
}

function nodeLines (status: adminStatus.AdminStatus, newest: number): NodeLine[] {
  return status.members
    .map(({ nodeId, zone, service, state, enforcedVersion }) => ({
      nodeId,
      zone,
      service,
      state,
      version: enforcedVersion,
      isStale: LIVE_STATES.has(state) && enforcedVersion < newest
    }))
    .sort((a, b) => a.nodeId < b.nodeId ? -1 : 1)
}

function table (lines: readonly NodeLine[]): string[] {
  const rows = [
    ['NODE', 'ZONE', 'SERVICE', 'STATE', 'VERSION', ''],
    ...lines.map(line => [line.nodeId, line.zone, line.service || '-', line.state, String(line.version), line.isStale ? 'stale' : ''])
  ]
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
