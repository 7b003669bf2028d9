import * as linkCodec from './LinkCodec.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as callLog from './CallLog.js'
import type * as crashGuards from './CrashGuard.js'
import type * as customerLimits from './CustomerLimits.js'
import type * as fleetMembership from './FleetMembership.js'
import type * as rollouts from './Rollouts.js'
import type * as rulesDistribution from './RulesDistribution.js'
import type * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

export interface PeerMessagesOptions {
  readonly table: targetTable.TargetTable
  readonly fleet: fleetMembership.FleetMembership
  readonly rules: rulesDistribution.RulesDistribution
  readonly limits: customerLimits.CustomerLimits
  readonly rollouts: rollouts.Rollouts
  readonly crashes: crashGuards.CrashGuard
  readonly stalls: stallWatch.StallWatch
  readonly log: callLog.CallLog
  readonly nowMs: () => base.Millis
  readonly onHello: (hello: linkCodec.HelloMessage) => void
}

/** Passes messages of other nodes, other than calls and their results, to the parts of this node that they are for. */
export class PeerMessages {
  constructor (private readonly _options: PeerMessagesOptions) {}

  public handle (nodeId: base.NodeId, message: linkCodec.LinkMessage, reply: (message: linkCodec.LinkMessage) => void): void {
    const { table, fleet, rules, limits, rollouts, crashes, stalls, log, nowMs, onHello } = this._options
    switch (message.kind) {
      case 'hello':
        onHello(message)
        break
      case 'status':
        table.recordMessage(nodeId, nowMs())
        fleet.handleStatus(nodeId, message.status)
        rules.handleStatus(nodeId, message.status)
        break
      case 'alive':
        rules.handleAlive(nodeId, linkCodec.older(message, stalls.suspectedMs))
        break
      case 'rules-request':
        rules.handleRequest(reply)
        break
      case 'rules':
        rules.handleRules(nodeId, message.bytes)
        break
      case 'nodes-request':
        reply({ kind: 'nodes', nodes: fleet.all() })
        break
      case 'nodes':
        if (message.refused !== undefined) log.log('warn', 'node-records-refused', { peer: nodeId, count: message.refused })
        fleet.handleNodes(message.nodes)
        crashes.recordReports(message.crashes ?? [])
        break
      case 'grants-request':
        limits.handleRequest(nodeId, message, reply)
        break
      case 'grants':
        limits.handleGrants(nodeId, message)
        break
      case 'rollouts':
        rollouts.handleNews(nodeId, message.rollouts)
        break
      case 'rollout-health':
        rollouts.handleHealth(nodeId, message.hosts)
        break
      default:
        this.handleMalformed(nodeId, new Error(`unexpected message of kind ${message.kind}`))
    }
  }

  public handleMalformed (nodeId: base.NodeId, error: Error): void {
    this._options.log.log('warn', 'peer-message-refused', { peer: nodeId, problem: error.message })
  }
}
