import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as services from './Services.js'

/** Targets of the own service that one node tells; in a larger service the others learn of it by gossip. */
const MAX_TARGETS = 64

/**
 * Members that are told of a crash record at once. The node beside the crashed target tells every other target of its
 * service, because the request can reach each of them next; random members alone leave some out until a heartbeat.
 */
export function recipientsOf (record: hosting.CrashRecord, membership: Pick<services.IMembership, 'self' | 'targetsOf' | 'randomPeer'>, fanout: number): ReadonlySet<base.NodeId> {
  const { self } = membership
  const targets = record.nodeId === self.nodeId ? membership.targetsOf(self.service).slice(0, MAX_TARGETS) : []
  const recipients = new Set(targets.map(row => row.nodeId))
  for (let i = 0; i < fanout; i++) {
    const peer = membership.randomPeer()
    if (peer !== undefined) recipients.add(peer.nodeId)
  }
  recipients.delete(self.nodeId)
  return recipients
}
