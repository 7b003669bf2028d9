import type * as base from '../base/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as hostingServices from '../hosting/Services.js'
import type * as membership from '../membership/Services.js'
import * as answers from '../routing/Answers.js'
import type * as routing from '../routing/Services.js'

/** A node with at least this utilization would only queue the call, as the owner would. */
const MAX_UTILIZATION = 1

export interface DelegateSelectorOptions {
  readonly membership: Pick<membership.IMembership, 'self' | 'get'>
  readonly selector: Pick<routing.ITargetSelector, 'select' | 'utilizationOf' | 'recordSend' | 'recordResult'>
  /** Slots of each target of the service in the configuration in force. */
  readonly slotsOf: (service: string) => number
}

/** Finds another node of a service that has a free slot. */
export class DelegateSelector implements hostingServices.IDelegateSelector {
  private readonly _options: DelegateSelectorOptions
  private readonly _excluded: ReadonlySet<base.NodeId>

  constructor (options: DelegateSelectorOptions) {
    this._options = options
    this._excluded = new Set([options.membership.self.nodeId])
  }

  public select (service: string, nowMs: base.Millis): hostingServices.DelegateChoice | undefined {
    const { selector, membership, slotsOf } = this._options
    const nodeId = selector.select(service, this._excluded, nowMs)
    if (nodeId === undefined || selector.utilizationOf(nodeId, slotsOf(service), nowMs) >= MAX_UTILIZATION) return undefined
    const row = membership.get(nodeId)
    if (row === undefined) return undefined
    // Counted at once; otherwise all calls between two load reports would go to the same node.
    selector.recordSend(nodeId, nowMs)
    return { nodeId, address: row.peerAddress }
  }

  public recordEnd (nodeId: base.NodeId, answer: hosting.FinalAnswer, load: hosting.LoadReport | undefined, nowMs: base.Millis): void {
    const result = answer.reason === 'peer-lost' ? 'failure' : answers.sendResultOf(answer)
    this._options.selector.recordResult(nodeId, result, load, nowMs)
  }
}
