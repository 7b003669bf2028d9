import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as connectionLimits from '../ConnectionLimits.js'
import type * as crashGuards from './CrashGuard.js'
import type * as customerLimits from './CustomerLimits.js'
import type * as entryGate from './EntryGate.js'
import type * as ingress from './Ingress.js'
import type * as localTarget from './LocalTarget.js'
import type * as nodeLinks from './NodeLinks.js'
import type * as rollouts from './Rollouts.js'
import type * as rulesDistribution from './RulesDistribution.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

export interface NodeViewOptions {
  readonly settings: types.DirectSettings
  readonly version: () => number
  readonly isReady: () => boolean
  readonly entry: entryGate.EntryGate
  readonly target: localTarget.LocalTarget
  readonly links: nodeLinks.NodeLinks
  readonly table: targetTable.TargetTable
  readonly rules: rulesDistribution.RulesDistribution
  readonly ingress: ingress.Ingress
  readonly limits: customerLimits.CustomerLimits
  readonly connectionLimits: connectionLimits.ConnectionLimits
  readonly rollouts: rollouts.Rollouts
  readonly crashes: crashGuards.CrashGuard
}

/** What a node shows to operators. */
export class NodeView {
  constructor (private readonly _options: NodeViewOptions) {}

  public get gauges (): directServices.DirectGauges {
    const { version, isReady, entry, target, links, table, rules, ingress, limits, connectionLimits, rollouts } = this._options
    return {
      version: version(),
      isReady: isReady(),
      entryInFlight: entry.inFlight,
      ...target.gauges,
      linkBytes: { sent: links.traffic.totals('sent'), received: links.traffic.totals('received') },
      knownNodes: table.size,
      connectedNodes: table.connectedCount,
      storeAgeMs: rules.storeAgeMs,
      acceptWaitMs: ingress.acceptWaitMs,
      bodyBytes: ingress.bodyBytes,
      connections: connectionLimits.gauges,
      behindMs: rules.behindMs,
      grants: limits.counts,
      confirmedAgeMs: rules.confirmedAgeMs,
      rollouts: rollouts.states,
      drivesRollouts: rollouts.isDriving
    }
  }

  /** Data for `elmpost status`: this node, and the other nodes as this one sees them. */
  public get status (): object {
    const { settings: { peerAddress, zone, service }, version, isReady, table, crashes } = this._options
    const members = [...table.all()].map(row => ({ nodeId: row.nodeId, zone: row.zone, service: row.service, state: row.isConnected ? 'ready' : 'suspect', enforcedVersion: row.version, adminAddress: '', target: row.state, load: row.load }))
    return { self: { nodeId: peerAddress, zone, service }, readiness: { ready: isReady() }, version: version(), digest: '', verdicts: [], members, restrictedRequests: crashes.restricted }
  }
}
