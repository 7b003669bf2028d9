import * as digest from '../base/Digest.js'
import * as rolloutRegister from './RolloutRegister.js'
import * as targetTable from './TargetTable.js'
import type * as base from '../base/Types.js'
import type * as rolloutTypes from './RolloutTypes.js'
import type * as types from './Types.js'

/** Round trip to another node of the same zone. */
const SAME_ZONE_MS = 0.5
/** Targets become slower when more than this share of their slots is occupied. */
const CROWDED_SHARE = 0.75
/** Slowdown of a target whose slots are all occupied, as a share of its service time. */
const CROWDED_COST = 0.3
/** Cost of a failed call in service times: an idempotent call is retried, any other one is lost to its caller. */
const FAILURE_COST = { idempotent: 6, other: 30 } as const
/** Nodes send a message each second. One that has sent none for this time is used only if there is no other. */
const SILENT_MS = 1_500
const SILENT_COST_MS = 10_000
/** The same holds for a node that has not reported since calls were sent to it, for this time and for some mean service times. */
const UNANSWERED_MS = 400
const UNANSWERED_CALLS = 4
/** A target that has not answered yet has usually just started and is slower than others. If none has answered, a share of the time left is assumed. */
const NEW_FACTOR = 1.5
/** A target that has joined is slow for some seconds after its start. */
const JOINED_SLOW_MS = 3_000
const ASSUMED_SHARE = 1 / 3
/** Hosts queue the least urgent calls only if these will probably be on time: expected time and this share of a mean service time must fit. */
const ON_TIME_MARGIN_SHARE = 0.5
/** Random addition to the cost, which spreads calls over targets that cost about the same. */
const JITTER_SHARE = 0.1
/**
 * With more targets than this, only a random sample is compared. Many nodes choose at the same time by reports that are
 * up to 1 s old, and would otherwise all send to the target that seems the least busy.
 */
const SAMPLING_THRESHOLD = 6
const SAMPLE_SIZES = { near: 3, far: 2 } as const
const MS_PER_S = 1000

export interface TargetPickerOptions {
  readonly table: targetTable.TargetTable
  readonly selfId: base.NodeId
  readonly zone: string
  readonly random: base.IRandom
  /** Cost of a call to another zone, as the wait in the own zone that is preferred to it. */
  readonly otherZoneCostMs: (bytes: number, usualMs: base.Millis) => base.Millis
}

export interface PickRequest {
  readonly service: string
  readonly priority: number
  /** Expected size of request and answer. */
  readonly bytes: number
  readonly isIdempotent: boolean
  /** Time left within which an answer is on time. */
  readonly onTimeMs: base.Millis
  /** A run of a target waits for the call, and fails without it. */
  readonly isNested: boolean
  /** A host has refused the call because it is busy. */
  readonly isRefusedAsBusy: boolean
  /** Crashes that the request took part in. */
  readonly history?: types.IRequestHistory | undefined
  /** Versions of targets that it may be sent to. Undefined if all are used alike. */
  readonly versions?: rolloutTypes.VersionChoice | undefined
}

export interface PickResult {
  /** Undefined if no target can take the call. */
  readonly row: targetTable.TargetRow | undefined
  /** Whether a target was left out because it has just refused such a call, or is known to be too busy. */
  readonly isBusy: boolean
  /** If all targets that were left out have a limit: shortest time until one of them takes another call. Infinity otherwise. */
  readonly limitWaitMs: base.Millis
}

/** Chooses the target on which a call is expected to end first, including the network round trip. */
export class TargetPicker {
  /** Mean time of a call on the targets of the service; computed at most once in each choice. */
  private _usualServiceMs: base.Millis | undefined

  constructor (private readonly _options: TargetPickerOptions) {}

  public pick (call: PickRequest, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): PickResult {
    const picked = this._pickOf(call, exclude, nowMs)
    const { versions } = call
    if (picked.row !== undefined || versions?.isWanted !== true || versions.isOnly) return picked
    // Targets of the version that the call was drawn for are busy, and others may be idle.
    return this._pickOf({ ...call, versions: { ...versions, isWanted: false } }, exclude, nowMs)
  }

  private _pickOf (call: PickRequest, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): PickResult {
    const usable: targetTable.TargetRow[] = []
    const full: targetTable.TargetRow[] = []
    const standing = call.history?.standing ?? 'free'
    let isBusy = false
    let limitWaitMs = Infinity
    this._usualServiceMs = undefined
    const connected = this._options.table.connectedOf(call.service)
    for (const row of call.versions === undefined ? connected : rolloutRegister.select(connected, call.versions, exclude)) {
      if (row.state !== 'ready' || row.notice?.isLeaving === true || exclude.has(row.nodeId)) continue
      if (standing !== 'trial' && this._isTooBusy(row, call, nowMs)) {
        isBusy = true
        if (row.load.limit === undefined) full.push(row)
        else limitWaitMs = Math.min(limitWaitMs, this._expectedWaitMs(row, call, nowMs))
      } else {
        usable.push(row)
      }
    }
    // Targets without a limit say nothing about when they take another call.
    if (full.length > 0) limitWaitMs = Infinity
    if (call.history !== undefined && standing !== 'free') return { row: this._pickForSuspect(usable, call.history), isBusy, limitWaitMs }
    const joined = call.isNested ? undefined : usable.find(row => this._isUntried(row, nowMs))
    if (joined !== undefined) return { row: joined, isBusy, limitWaitMs }
    let best: targetTable.TargetRow | undefined
    let bestCost = Infinity
    // A refused nested call would fail a run, and what is known of these targets may be old.
    const candidates = call.isNested && usable.length === 0 ? full : usable
    for (const row of this._rowsToCompare(candidates)) {
      const cost = this._cost(row, call, nowMs)
      if (cost >= bestCost) continue
      best = row
      bestCost = cost
    }
    return { row: best, isBusy, limitWaitMs }
  }

  /**
   * Whether a target of this zone has joined, has a free slot and has had no call. Without a call nothing is known
   * of its speed, and it would get none while targets that are known to be fast are idle.
   */
  private _isUntried ({ joinedAtMs, zone, load: { running, queued, slots, limit, serviceMs } }: targetTable.TargetRow, nowMs: base.Millis): boolean {
    return joinedAtMs !== undefined && nowMs - joinedAtMs > JOINED_SLOW_MS && zone === this._options.zone && limit === undefined && serviceMs === 0 && running + queued < slots
  }

  /** A request that may crash its target goes where it harms the fewest others. All nodes choose the same target for a trial. */
  private _pickForSuspect (usable: readonly targetTable.TargetRow[], { standing, fingerprint }: types.IRequestHistory): targetTable.TargetRow | undefined {
    const rankOf = (row: targetTable.TargetRow): number => standing === 'trial' ? digest.placementHash(`${fingerprint} ${row.nodeId}`) : occupiedOf(row)
    let best: targetTable.TargetRow | undefined
    for (const row of usable) if (best === undefined || rankOf(row) < rankOf(best)) best = row
    return best
  }

  /** Always includes the target beside this node, because its load is known exactly. */
  private _rowsToCompare (usable: targetTable.TargetRow[]): readonly targetTable.TargetRow[] {
    if (usable.length <= SAMPLING_THRESHOLD) return usable
    const { selfId, zone } = this._options
    const own = usable.filter(({ nodeId }) => nodeId === selfId)
    const near = usable.filter(row => row.zone === zone && row.nodeId !== selfId)
    const far = usable.filter(row => row.zone !== zone)
    return [...own, ...this._sample(near, SAMPLE_SIZES.near), ...this._sample(far, SAMPLE_SIZES.far)]
  }

  /** Random sample of the rows, without repetition. Reorders `rows`. */
  private _sample (rows: targetTable.TargetRow[], count: number): readonly targetTable.TargetRow[] {
    const last = Math.min(count, rows.length)
    for (let at = 0; at < last; at++) {
      const from = at + this._options.random.nextInt(rows.length - at)
      const sampled = rows[from] as targetTable.TargetRow
      rows[from] = rows[at] as targetTable.TargetRow
      rows[at] = sampled
    }
    return rows.slice(0, last)
  }

  /**
   * A host that has just refused such a call is left out for a while, and so is one in another zone, or with a limit, that would refuse it.
   * After one host has refused a least urgent call, other hosts that report no capacity are likely to refuse it too. A nested
   * call is sent to all of these, because reports are up to 1 s old and its refusal would fail a run.
   */
  private _isTooBusy (row: targetTable.TargetRow, call: PickRequest, nowMs: base.Millis): boolean {
    if (!call.isNested && row.avoidUntilMs > nowMs && call.priority >= row.avoidedPriority) return true
    const isUsedWhenFull = row.zone === this._options.zone && row.load.limit === undefined
    if (isUsedWhenFull && !(call.isRefusedAsBusy && !call.isNested && call.priority >= row.load.leastUrgent)) return false
    const serviceMs = this._serviceMs(row, call)
    const marginMs = !call.isNested && call.priority >= row.load.leastUrgent ? serviceMs * ON_TIME_MARGIN_SHARE : 0
    return this._expectedWaitMs(row, call, nowMs) + serviceMs + marginMs > Math.max(call.onTimeMs, serviceMs + marginMs)
  }

  private _cost (row: targetTable.TargetRow, call: PickRequest, nowMs: base.Millis): number {
    const { queued, slots } = row.load
    const { isIdempotent } = call
    const serviceMs = this._serviceMs(row, call)
    const occupied = occupiedOf(row)
    // An urgent call overtakes queued calls and delays them. Its cost counts the whole queue, so that it leaves the zone as early as they would.
    const waitMs = waitBehindMs(row, queued, serviceMs, nowMs)
    const crowded = Math.max(0, Math.min(1, occupied / slots) - CROWDED_SHARE) / (1 - CROWDED_SHARE)
    const decay = targetTable.decayAt(row, nowMs)
    const failures = row.failureShare * decay * (isIdempotent ? FAILURE_COST.idempotent : FAILURE_COST.other)
    const targetMs = serviceMs * (1 + crowded * CROWDED_COST + failures) + waitMs + row.delayMs * decay
    const silenceMs = row.nodeId !== this._options.selfId && isSilent(row, serviceMs, nowMs) ? SILENT_COST_MS : 0
    return targetMs * (1 + JITTER_SHARE * this._options.random.nextFloat()) + this._distanceMs(row, call) + silenceMs
  }

  /** Urgent calls wait only for other urgent calls. */
  private _expectedWaitMs (row: targetTable.TargetRow, call: PickRequest, nowMs: base.Millis): base.Millis {
    const { leastUrgent, urgentQueued, queued } = row.load
    return waitBehindMs(row, call.priority < leastUrgent ? urgentQueued : queued, this._serviceMs(row, call), nowMs)
  }

  private _serviceMs ({ load }: targetTable.TargetRow, call: PickRequest): base.Millis {
    return load.serviceMs > 0 ? load.serviceMs : this._usualMs(call) * NEW_FACTOR
  }

  private _usualMs ({ service, onTimeMs }: PickRequest): base.Millis {
    if (this._usualServiceMs !== undefined) return this._usualServiceMs
    const known = this._options.table.connectedOf(service).filter(({ load }) => load.serviceMs > 0)
    const sumMs = known.reduce((sum, { load }) => sum + load.serviceMs, 0)
    this._usualServiceMs = known.length === 0 ? Math.max(0, onTimeMs) * ASSUMED_SHARE : sumMs / known.length
    return this._usualServiceMs
  }

  private _distanceMs (row: targetTable.TargetRow, call: PickRequest): base.Millis {
    if (row.nodeId === this._options.selfId) return 0
    return row.zone === this._options.zone ? SAME_ZONE_MS : this._options.otherZoneCostMs(call.bytes, this._usualMs(call))
  }
}

function occupiedOf ({ load: { running, queued }, sentSinceReport }: targetTable.TargetRow): number {
  return running + queued + sentSinceReport
}

/** Expected wait for a slot of the target, or for a permit if it has advertised a rate limit. */
function waitBehindMs (row: targetTable.TargetRow, ahead: number, serviceMs: base.Millis, nowMs: base.Millis): base.Millis {
  const { load: { running, slots, limit }, sentSinceReport } = row
  const slotWaitMs = Math.max(0, running + ahead + sentSinceReport + 1 - slots) / slots * serviceMs
  if (limit === undefined) return slotWaitMs
  const permitWaitMs = (ahead + sentSinceReport + 1 - limit.permits) * MS_PER_S / limit.maxCallsPerS - (nowMs - row.loadAtMs)
  return Math.max(slotWaitMs, permitWaitMs)
}

function isSilent ({ lastMessageAtMs, sentSinceReport, firstSentAtMs }: targetTable.TargetRow, serviceMs: base.Millis, nowMs: base.Millis): boolean {
  if (nowMs - lastMessageAtMs > SILENT_MS) return true
  return sentSinceReport > 0 && nowMs - firstSentAtMs > Math.max(UNANSWERED_MS, UNANSWERED_CALLS * serviceMs)
}
