import * as targetTable from './TargetTable.js'
import type * as base from '../base/Types.js'

/** Way to another node of the zone and back. */
const SAME_ZONE_MS = 0.5
/** Share of the slots from which on targets become slower. */
const CROWDED_SHARE = 0.75
/** Slowdown of a target that is full, as a share of its service time. */
const CROWDED_COST = 0.3
/** A failed call costs about this many service times: an idempotent one is sent again, another one is lost to its caller. */
const FAILURE_COST = { idempotent: 6, other: 30 } as const
/** Nodes say something each second; one that has been silent for longer is used only if there is no other. */
const SILENT_MS = 1_500
const SILENT_COST_MS = 10_000
/** So is one that has told nothing since calls were sent to it, for this time and some times its mean. */
const UNANSWERED_MS = 400
const UNANSWERED_CALLS = 4
/** A target without an answer yet has mostly just started and is slower than the others. Assumed if no target has answered: a share of the time left. */
const NEW_FACTOR = 1.5
const ASSUMED_SHARE = 1 / 3
/** Spreads calls over targets that cost about the same. */
const JITTER_SHARE = 0.1
/**
 * With more targets than this, only a few that are drawn at random are compared. Many nodes choose at the same time by
 * reports that are up to 1 s old, and would all send to the target that seemed the least busy.
 */
const COMPARE_ALL = 6
const DRAWN = { near: 3, far: 2 } as const

export interface TargetPickerOptions {
  readonly table: targetTable.TargetTable
  readonly selfId: base.NodeId
  readonly zone: string
  readonly random: base.IRandom
  /** Cost of a call to another zone that is worth waiting at home. */
  readonly otherZoneCostMs: (bytes: number, usualMs: base.Millis) => base.Millis
}

export interface PickedCall {
  readonly service: string
  readonly priority: number
  /** Expected size of request and answer. */
  readonly bytes: number
  readonly isIdempotent: boolean
  /** Time left in which an answer is on time. */
  readonly onTimeMs: base.Millis
  /** A host has refused the call because it is busy. */
  readonly isRefusedAsBusy: boolean
}

export interface Pick {
  /** Undefined if no target can take the call. */
  readonly row: targetTable.TargetRow | undefined
  /** A target was left out because it has just refused such a call, or is known to be too busy. */
  readonly isBusy: boolean
}

/** Chooses the target on which a call is expected to end first, with the way there included. */
export class TargetPicker {
  /** Usual time of a call on a target of the service; looked up once in each choice. */
  private _usualServiceMs: base.Millis | undefined

  constructor (private readonly _options: TargetPickerOptions) {}

  public pick (call: PickedCall, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): Pick {
    const usable: targetTable.TargetRow[] = []
    let isBusy = false
    this._usualServiceMs = undefined
    for (const row of this._options.table.connectedOf(call.service)) {
      if (row.state !== 'ready' || exclude.has(row.nodeId)) continue
      if (this._isTooBusy(row, call, nowMs)) isBusy = true
      else usable.push(row)
    }
    let best: targetTable.TargetRow | undefined
    let bestCost = Infinity
    for (const row of this._compared(usable)) {
      const cost = this._cost(row, call, nowMs)
      if (cost >= bestCost) continue
      best = row
      bestCost = cost
    }
    return { row: best, isBusy }
  }

  /** What is known of the own target is exact, so it is always compared. */
  private _compared (usable: targetTable.TargetRow[]): readonly targetTable.TargetRow[] {
    if (usable.length <= COMPARE_ALL) return usable
    const { selfId, zone } = this._options
    const own = usable.filter(({ nodeId }) => nodeId === selfId)
    const near = usable.filter(row => row.zone === zone && row.nodeId !== selfId)
    const far = usable.filter(row => row.zone !== zone)
    return [...own, ...this._draw(near, DRAWN.near), ...this._draw(far, DRAWN.far)]
  }

  /** Some rows at random, none twice. */
  private _draw (rows: targetTable.TargetRow[], count: number): readonly targetTable.TargetRow[] {
    const last = Math.min(count, rows.length)
    for (let at = 0; at < last; at++) {
      const from = at + this._options.random.nextInt(rows.length - at)
      const drawn = rows[from] as targetTable.TargetRow
      rows[from] = rows[at] as targetTable.TargetRow
      rows[at] = drawn
    }
    return rows.slice(0, last)
  }

  /**
   * A host that refuses calls is not asked again at once, nor is one in another zone that the call would cross to in vain.
   * A least urgent call that one host has refused is likely to be refused by others that tell of no room either.
   */
  private _isTooBusy (row: targetTable.TargetRow, call: PickedCall, nowMs: base.Millis): boolean {
    if (row.avoidUntilMs > nowMs && call.priority >= row.avoidedPriority) return true
    if (row.zone === this._options.zone && !(call.isRefusedAsBusy && call.priority >= row.load.leastUrgent)) return false
    const serviceMs = this._serviceMs(row, call)
    return this._expectedWaitMs(row, call) + serviceMs > Math.max(call.onTimeMs, serviceMs)
  }

  private _cost (row: targetTable.TargetRow, call: PickedCall, nowMs: base.Millis): number {
    const { running, queued, slots } = row.load
    const { isIdempotent } = call
    const serviceMs = this._serviceMs(row, call)
    const occupied = running + queued + row.sentSince
    // An urgent call passes those that wait, and makes them wait longer, so it leaves the zone as soon as one of them would.
    const waitMs = waitBehindMs(row, queued, serviceMs)
    const crowded = Math.max(0, Math.min(1, occupied / slots) - CROWDED_SHARE) / (1 - CROWDED_SHARE)
    const memory = targetTable.memoryAt(row, nowMs)
    const failures = row.failureShare * memory * (isIdempotent ? FAILURE_COST.idempotent : FAILURE_COST.other)
    const targetMs = serviceMs * (1 + crowded * CROWDED_COST + failures) + waitMs + row.delayMs * memory
    const silenceMs = row.nodeId !== this._options.selfId && isSilent(row, serviceMs, nowMs) ? SILENT_COST_MS : 0
    return targetMs * (1 + JITTER_SHARE * this._options.random.nextFloat()) + this._distanceMs(row, call) + silenceMs
  }

  /** Urgent calls wait only for others like them. */
  private _expectedWaitMs (row: targetTable.TargetRow, call: PickedCall): base.Millis {
    const { leastUrgent, urgentQueued, queued } = row.load
    return waitBehindMs(row, call.priority < leastUrgent ? urgentQueued : queued, this._serviceMs(row, call))
  }

  private _serviceMs ({ load }: targetTable.TargetRow, call: PickedCall): base.Millis {
    return load.serviceMs > 0 ? load.serviceMs : this._usualMs(call) * NEW_FACTOR
  }

  private _usualMs ({ service, onTimeMs }: PickedCall): base.Millis {
    if (this._usualServiceMs !== undefined) return this._usualServiceMs
    const known = this._options.table.connectedOf(service).filter(({ load }) => load.serviceMs > 0)
    const sumMs = known.reduce((sum, { load }) => sum + load.serviceMs, 0)
    this._usualServiceMs = known.length === 0 ? Math.max(0, onTimeMs) * ASSUMED_SHARE : sumMs / known.length
    return this._usualServiceMs
  }

  private _distanceMs (row: targetTable.TargetRow, call: PickedCall): base.Millis {
    if (row.nodeId === this._options.selfId) return 0
    return row.zone === this._options.zone ? SAME_ZONE_MS : this._options.otherZoneCostMs(call.bytes, this._usualMs(call))
  }
}

function waitBehindMs ({ load: { running, slots }, sentSince }: targetTable.TargetRow, ahead: number, serviceMs: base.Millis): base.Millis {
  return Math.max(0, running + ahead + sentSince + 1 - slots) / slots * serviceMs
}

function isSilent ({ heardAtMs, sentSince, sentSinceMs }: targetTable.TargetRow, serviceMs: base.Millis, nowMs: base.Millis): boolean {
  if (nowMs - heardAtMs > SILENT_MS) return true
  return sentSince > 0 && nowMs - sentSinceMs > Math.max(UNANSWERED_MS, UNANSWERED_CALLS * serviceMs)
}
