import * as rolloutPlan from '@elmpost/common/direct/RolloutPlan.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as rolloutHealths from './RolloutHealths.js'
import type * as rolloutRegister from '@elmpost/common/direct/RolloutRegister.js'
import type * as rolloutStatuses from './RolloutStatuses.js'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

/** A driver whose last step is older than this may have been paused. It decides again when it has read what came meanwhile. */
const PAUSED_MS = 500
/** A final status is written again if the store comes back from a copy that lacks it, for this time after the end. */
const REWRITTEN_MS = 60_000

const FINAL = { done: 'completed', 'rolled-back': 'rolled_back' } as const

export interface RolloutDriverOptions {
  readonly register: rolloutRegister.RolloutRegister
  readonly healths: rolloutHealths.RolloutHealths
  readonly statuses: rolloutStatuses.RolloutStatuses
  readonly table: targetTable.TargetTable
  readonly exposureShare: number
  readonly nowMs: () => base.Millis
  readonly routes: () => readonly direct.RouteRule[]
  /** Whether this node drives the roll-outs of the fleet. Two nodes may do so at the same time. */
  readonly isDriver: () => boolean
  /** Puts a decision into force here and tells the other nodes. */
  readonly apply: (state: rolloutTypes.RolloutState) => void
}

/** Takes the decisions on the roll-outs of the fleet, and writes their statuses. */
export class RolloutDriver {
  private readonly _options: RolloutDriverOptions
  /**
   * Orders for which this node has written the status `running` since it became the driver. This write makes those of an earlier
   * driver fail that are still on their way.
   */
  private readonly _begun = new Set<string>()
  /** Since when no target of the new version has been ready, by service. */
  private readonly _lostSinceMs = new Map<string, base.Millis>()
  /** Ended orders whose final status the store may have lost. */
  private readonly _unsure = new Set<string>()
  private _isDriving = false
  private _steppedAtMs: base.Millis = -Infinity
  private _resumedAtMs: base.Millis = -Infinity

  constructor (options: RolloutDriverOptions) {
    this._options = options
  }

  /** Whether this node takes the decisions on an open order. */
  public get isDriving (): boolean {
    return this._isDriving
  }

  public tick (): void {
    const { register, nowMs, isDriver, statuses } = this._options
    const open = register.open()
    const ended = this._unsure.size === 0 ? [] : register.all().filter(state => rolloutPlan.isFinal(state.phase) && this._unsure.has(finalKeyOf(state)))
    const isDriving = (open.length > 0 || ended.length > 0) && isDriver()
    if (isDriving !== this._isDriving) {
      this._isDriving = isDriving
      this._steppedAtMs = nowMs()
      this._begun.clear()
      statuses.forget()
    }
    if (!isDriving) return
    if (nowMs() - this._steppedAtMs > PAUSED_MS) this._resumedAtMs = nowMs()
    this._steppedAtMs = nowMs()
    for (const state of open) this._drive(state)
    for (const state of ended) this._rewrite(state)
  }

  /** The store has come back from an older copy, and may have lost statuses. */
  public handleReturn (): void {
    const { register, statuses, nowMs } = this._options
    this._begun.clear()
    statuses.forget()
    for (const state of register.all()) {
      if (rolloutPlan.isFinal(state.phase) && nowMs() - register.phaseSinceMs(state.order.service) < REWRITTEN_MS) this._unsure.add(finalKeyOf(state))
    }
  }

  private _rewrite (state: rolloutTypes.RolloutState): void {
    const { statuses } = this._options
    statuses.refreshIfDue()
    if (!statuses.isReady) return
    const { order: { service, targetVersion }, phase } = state
    const report = { service, targetVersion, state: FINAL[phase as keyof typeof FINAL] }
    const known = statuses.get(service)
    if (known?.state === report.state && known.targetVersion === targetVersion) this._unsure.delete(finalKeyOf(state))
    else statuses.write(report, () => { this._unsure.delete(finalKeyOf(state)) })
  }

  private _drive (state: rolloutTypes.RolloutState): void {
    const { statuses, nowMs, apply } = this._options
    statuses.refreshIfDue()
    if (this._adoptFinal(state)) return
    const hasBegun = this._begun.has(rolloutPlan.keyOf(state.order))
    if (!hasBegun && this._isRunningInStore(state)) this._begun.add(rolloutPlan.keyOf(state.order))
    else if (!hasBegun) this._begin(state)
    // An order of the past may have ended.
    if (state.isPast && !state.isRecorded) return
    const step = rolloutPlan.next(this._viewOf(state))
    if (step.kind === 'stay' || nowMs() - this._resumedAtMs < PAUSED_MS) return
    if (step.kind === 'phase') {
      apply({ ...state, phase: step.phase, share: step.share })
      return
    }
    // Nodes stop using a bad version before the store has its status.
    if (step.kind === 'roll-back' && !state.isBad) apply({ ...state, isBad: true })
    if (hasBegun && statuses.isReady) this._end(state, step.kind === 'complete' ? 'done' : 'rolled-back')
  }

  /** Takes over a final status that another driver has written, or that an order of the past has. */
  private _adoptFinal (state: rolloutTypes.RolloutState): boolean {
    const { statuses, apply } = this._options
    const { order: { service, targetVersion }, isPast, isRecorded } = state
    const report = statuses.isReady ? statuses.get(service) : undefined
    if (report === undefined || report.targetVersion !== targetVersion || report.state === 'running' || !(isPast || isRecorded)) return false
    apply({ ...state, phase: report.state === 'completed' ? 'done' : 'rolled-back', share: report.state === 'completed' ? 1 : 0, isBad: report.state !== 'completed' })
    return true
  }

  /** Whether the driver before this one has written that this order is running. */
  private _isRunningInStore ({ order: { service, targetVersion }, isRecorded }: rolloutTypes.RolloutState): boolean {
    const { statuses } = this._options
    const report = statuses.isReady ? statuses.get(service) : undefined
    return isRecorded && report?.state === 'running' && report.targetVersion === targetVersion
  }

  private _begin (state: rolloutTypes.RolloutState): void {
    const { service, targetVersion } = state.order
    this._options.statuses.write({ service, targetVersion, state: 'running' }, () => {
      this._begun.add(rolloutPlan.keyOf(state.order))
      const known = this._current(state)
      if (known !== undefined) this._options.apply({ ...known, isRecorded: true })
    })
  }

  private _end (state: rolloutTypes.RolloutState, phase: keyof typeof FINAL): void {
    const { service, targetVersion } = state.order
    this._options.statuses.write({ service, targetVersion, state: FINAL[phase] }, () => {
      const known = this._current(state)
      if (known !== undefined) this._options.apply({ ...known, phase, share: phase === 'done' ? 1 : 0, isBad: phase !== 'done' })
    })
  }

  /** The newest state of the order; undefined if another one has replaced it. */
  private _current ({ order }: rolloutTypes.RolloutState): rolloutTypes.RolloutState | undefined {
    const known = this._options.register.get(order.service)
    return known !== undefined && rolloutPlan.isSameOrder(known.order, order) ? known : undefined
  }

  private _viewOf (state: rolloutTypes.RolloutState): rolloutPlan.RolloutView {
    const { register, healths, table, exposureShare, nowMs, routes } = this._options
    const { service, targetVersion } = state.order
    const slots = { new: 0, old: 0 }
    const oldHosts: base.NodeId[] = []
    const serviceMs: base.Millis[] = []
    for (const row of table.connectedOf(service)) {
      if (row.state !== 'ready' || row.notice?.isLeaving === true) continue
      slots[row.softwareVersion === targetVersion ? 'new' : 'old'] += row.load.slots
      if (row.softwareVersion !== targetVersion) oldHosts.push(row.nodeId)
      if (row.softwareVersion !== targetVersion && row.load.serviceMs > 0) serviceMs.push(row.load.serviceMs)
    }
    if (slots.new > 0) this._lostSinceMs.delete(service)
    else if (!this._lostSinceMs.has(service)) this._lostSinceMs.set(service, nowMs())
    const timeoutsMs = routes().filter(({ parts }) => parts.some(part => part.service === service)).map(({ timeoutMs }) => timeoutMs)
    return {
      state,
      nowMs: nowMs(),
      phaseSinceMs: register.phaseSinceMs(service),
      exposureShare,
      verdict: healths.judge(state).verdict,
      callsPerS: healths.callsPerS(state),
      longestTimeoutMs: Math.max(0, ...timeoutsMs),
      newSlots: slots.new,
      oldSlots: slots.old,
      serviceMs: serviceMs.length === 0 ? 0 : serviceMs.reduce((sum, ms) => sum + ms, 0) / serviceMs.length,
      lostSinceMs: this._lostSinceMs.get(service),
      isConfirmed: healths.isConfirmed(state, oldHosts)
    }
  }
}

function finalKeyOf ({ order }: rolloutTypes.RolloutState): string {
  return `${order.service} ${rolloutPlan.keyOf(order)}`
}
