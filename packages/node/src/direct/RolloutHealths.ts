import * as rolloutPlan from '@elmpost/common/direct/RolloutPlan.js'
import * as versionHealth from '@elmpost/common/direct/VersionHealth.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'

/** Answers that both versions have given since the order, for logs. */
export interface HealthSummary {
  readonly newAnswers: number
  readonly newBad: number
  readonly oldAnswers: number
  readonly oldBad: number
}

type Side = 'old' | 'new'

interface ServiceHealth {
  order: rolloutTypes.RolloutOrder
  readonly hosts: Map<base.NodeId, rolloutTypes.HostHealth>
  /** Answers that hosts have counted before they restarted or got a target of the other version. */
  readonly earlier: Record<Side, rolloutTypes.VersionSums>
  readonly health: versionHealth.VersionHealth
}

/** What hosts have reported of the versions that are rolled out. */
export class RolloutHealths {
  private readonly _services = new Map<string, ServiceHealth>()

  constructor (private readonly _nowMs: () => base.Millis) {}

  /** Takes over a report about the order. Returns false if it is about another one, or not newer than the last one of the host. */
  public record ({ order }: rolloutTypes.RolloutState, host: rolloutTypes.HostHealth): boolean {
    if (host.orderKey !== rolloutPlan.keyOf(order)) return false
    let entry = this._services.get(order.service)
    if (entry === undefined || !rolloutPlan.isSameOrder(entry.order, order)) {
      entry = { order, hosts: new Map(), earlier: { old: new Map(), new: new Map() }, health: new versionHealth.VersionHealth() }
      this._services.set(order.service, entry)
    }
    entry.order = order
    const last = entry.hosts.get(host.nodeId)
    if (last !== undefined && last.sequence >= host.sequence) return false
    if (last !== undefined && (sideOf(order, last) !== sideOf(order, host) || versionHealth.answersOf(host.sums) < versionHealth.answersOf(last.sums))) {
      const side = sideOf(order, last)
      entry.earlier[side] = versionHealth.total([entry.earlier[side], last.sums])
    }
    entry.hosts.set(host.nodeId, host)
    entry.health.record(sumsOf(entry, 'old'), sumsOf(entry, 'new'), this._nowMs())
    return true
  }

  public judge ({ order }: rolloutTypes.RolloutState): versionHealth.Finding {
    return this._of(order)?.health.judge() ?? { verdict: 'unknown', reason: '' }
  }

  public callsPerS ({ order }: rolloutTypes.RolloutState): number {
    return this._of(order)?.health.answersPerS ?? 0
  }

  /** Whether all hosts of old targets, those in `oldHosts` at least, have reported that they enforce that they get no calls, and have none left. */
  public isConfirmed ({ order }: rolloutTypes.RolloutState, oldHosts: readonly base.NodeId[]): boolean {
    const reported = this._of(order)?.hosts
    const hosts = [...reported?.values() ?? []]
    return oldHosts.every(nodeId => reported?.has(nodeId) === true) && hosts.filter(({ softwareVersion }) => softwareVersion !== order.targetVersion).every(({ phase, running }) => phase === 'all' && running === 0)
  }

  public summary ({ order }: rolloutTypes.RolloutState): HealthSummary {
    const entry = this._of(order)
    const [old, fresh] = entry === undefined ? [new Map(), new Map()] : [sumsOf(entry, 'old'), sumsOf(entry, 'new')]
    return { newAnswers: versionHealth.answersOf(fresh), newBad: versionHealth.badOf(fresh), oldAnswers: versionHealth.answersOf(old), oldBad: versionHealth.badOf(old) }
  }

  public forget (service: string): void {
    this._services.delete(service)
  }

  private _of (order: rolloutTypes.RolloutOrder): ServiceHealth | undefined {
    const entry = this._services.get(order.service)
    return entry !== undefined && rolloutPlan.isSameOrder(entry.order, order) ? entry : undefined
  }
}

function sumsOf ({ order, hosts, earlier }: ServiceHealth, side: Side): rolloutTypes.VersionSums {
  return versionHealth.total([earlier[side], ...[...hosts.values()].filter(host => sideOf(order, host) === side).map(({ sums }) => sums)])
}

function sideOf (order: rolloutTypes.RolloutOrder, { softwareVersion }: rolloutTypes.HostHealth): Side {
  return softwareVersion === order.targetVersion ? 'new' : 'old'
}
