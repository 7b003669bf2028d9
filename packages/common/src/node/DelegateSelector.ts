import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Services.js'
import type * as membership from '../membership/Services.js'
import type * as routing from '../routing/Services.js'

/** A node that is this busy would only queue the call that the owner cannot run at once. */
const MAX_UTILIZATION = 1

export interface DelegateSelectorOptions {
  readonly membership: Pick<membership.IMembership, 'self' | 'get'>
  readonly selector: Pick<routing.ITargetSelector, 'select' | 'utilizationOf'>
  /** Slots of a target of the service, in the configuration in force. */
  readonly slotsOf: (service: string) => number
}

/** Finds another node of a service that has a free slot. */
export class DelegateSelector implements hosting.IDelegateSelector {
  private readonly _options: DelegateSelectorOptions
  private readonly _excluded: ReadonlySet<base.NodeId>

  constructor (options: DelegateSelectorOptions) {
    this._options = options
    this._excluded = new Set([options.membership.self.nodeId])
  }

  public select (service: string, nowMs: base.Millis): hosting.DelegateChoice | undefined {
    const { selector, membership, slotsOf } = this._options
    const nodeId = selector.select(service, this._excluded, nowMs)
    if (nodeId === undefined || selector.utilizationOf(nodeId, slotsOf(service), nowMs) >= MAX_UTILIZATION) return undefined
    const row = membership.get(nodeId)
    return row === undefined ? undefined : { nodeId, address: row.peerAddress }
  }
}
