import type * as base from '@elmpost/common/base/Types.js'
import type * as slotUse from '@elmpost/common/direct/SlotUse.js'
import type * as targetHost from '../TargetHost.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

export interface VirtualSlotsNode {
  readonly id: base.NodeId
  readonly service: string
  readonly zone: string
  readonly table: targetTable.TargetTable
  readonly host: targetHost.TargetHost
}

/** Mean shares of the slots of a service that were free when a caller was refused. */
export interface FreeShares {
  readonly fleet: number
  /** In the zone of the entry node. */
  readonly zone: number
  /** At the targets that the entry node has links to. */
  readonly linked: number
}

interface Survey {
  refusals: number
  fleet: number
  zone: number
  linked: number
}

/** What becomes of the slots of a fleet: how many are free when callers are refused, and what their time is used for. */
export class VirtualSlots {
  private readonly _surveys = new Map<string, Survey>()

  constructor (private readonly _nodes: readonly VirtualSlotsNode[]) {}

  public recordRefusal (entry: VirtualSlotsNode, service: string): void {
    const survey = this._surveys.get(service) ?? { refusals: 0, fleet: 0, zone: 0, linked: 0 }
    const hosts = this._nodes.filter(node => node.service === service)
    survey.refusals += 1
    survey.fleet += freeShare(hosts)
    survey.zone += freeShare(hosts.filter(({ zone }) => zone === entry.zone))
    survey.linked += freeShare(hosts.filter(({ id }) => entry.table.get(id)?.isConnected === true))
    this._surveys.set(service, survey)
  }

  public freeAtRefusals (service: string): FreeShares & { readonly refusals: number } {
    const { refusals, fleet, zone, linked } = this._surveys.get(service) ?? { refusals: 0, fleet: 0, zone: 0, linked: 0 }
    const count = Math.max(1, refusals)
    return { refusals, fleet: fleet / count, zone: zone / count, linked: linked / count }
  }

  /** Shares of the time of the service's slots, by use. */
  public useOf (service: string): slotUse.SlotTimes {
    const sums = { 'on-time': 0, late: 0, error: 0, lost: 0, free: 0 }
    for (const { host } of this._nodes.filter(node => node.service === service)) {
      const times = host.slotTimes
      for (const use of Object.keys(sums) as (keyof typeof sums)[]) sums[use] += times[use]
    }
    const totalMs = Object.values(sums).reduce((sum, ms) => sum + ms, 0)
    return Object.fromEntries(Object.entries(sums).map(([use, ms]) => [use, ms / totalMs])) as unknown as slotUse.SlotTimes
  }
}

function freeShare (nodes: readonly VirtualSlotsNode[]): number {
  let free = 0
  let total = 0
  for (const { host: { load: { running, slots } } } of nodes) {
    free += Math.max(0, slots - running)
    total += slots
  }
  return total === 0 ? 0 : free / total
}
