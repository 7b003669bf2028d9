import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as entryGate from './EntryGate.js'
import type * as ingress from './Ingress.js'
import type * as localTarget from './LocalTarget.js'
import type * as nodeLinks from './NodeLinks.js'
import type * as rollouts from './Rollouts.js'
import type * as rulesDistribution from './RulesDistribution.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/** Parts of a node that its metrics are read from. */
export interface NodeParts {
  readonly version: number
  readonly isReady: boolean
  readonly entry: entryGate.EntryGate
  readonly target: localTarget.LocalTarget
  readonly links: nodeLinks.NodeLinks
  readonly table: targetTable.TargetTable
  readonly rules: rulesDistribution.RulesDistribution
  readonly ingress: ingress.Ingress
  readonly rollouts: rollouts.Rollouts
}

export function gaugesOf ({ version, isReady, entry, target, links, table, rules, ingress, rollouts }: NodeParts): directServices.DirectGauges {
  return {
    version,
    isReady,
    entryInFlight: entry.inFlight,
    ...target.gauges,
    linkBytes: { sent: links.traffic.totals('sent'), received: links.traffic.totals('received') },
    knownNodes: table.size,
    connectedNodes: table.connectedCount,
    storeAgeMs: rules.storeAgeMs,
    acceptWaitMs: ingress.acceptWaitMs,
    bodyBytes: ingress.bodyBytes,
    behindMs: rules.behindMs,
    confirmedAgeMs: rules.confirmedAgeMs,
    rollouts: rollouts.states,
    drivesRollouts: rollouts.isDriving
  }
}
