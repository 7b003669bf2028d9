import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as services from './Services.js'

/** Targets of this node's service that get a crash record directly; in a larger service the others get it by gossip. */
const MAX_TARGETS = 64

/**
 * Members that are sent a crash record at once. The node beside the crashed target notifies the hosts of all other targets
 * of its service, because the request can reach any of them next; with random members only, some would wait for a heartbeat.
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
