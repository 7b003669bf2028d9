import * as targetRegister from './TargetRegister.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Weight of the newest call in the moving average of failures. */
const NEWEST_WEIGHT = 0.1
/** Assumed until the host node reports its load. */
const INITIAL_LOAD: types.TargetLoad = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 1, serviceMs: 0 }
/** Half-life of recorded failures and delays, so that a target that gets no calls is tried again. */
const PENALTY_HALF_LIFE_MS = 3000
/** Time beyond this multiple of the mean that the host reports counts as a delay. */
const EXPECTED_FACTOR = 2
/** Weight of the newest delay in its moving average. */
const DELAY_WEIGHT = 0.2

/** Targets that become ready within this time after the first one belong to the start of the node, or of the fleet. */
const START_MS = 5_000

/** What the entry node knows of a node and its target. */
export interface TargetRow {
  readonly nodeId: base.NodeId
  readonly zone: string
  service: string
  /** Capacity of the VM's link, in Mbit/s; 0 if it is not known. */
  linkMbps: number
  /** A link to the node is open, or it is this node. */
  isConnected: boolean
  state: types.TargetState
  /** The node last reported that it, or its target, leaves. Kept while it cannot be reached. */
  hasAnnouncedLeaving: boolean
  load: types.TargetLoad
  /** When `load` was reported. */
  loadAtMs: base.Millis
  /** Target beside the node, as last reported. */
  target: types.TargetStart | undefined
  /** What that target has stated in the answers that this node has passed on, and whether the node has reported that it leaves. */
  notice: types.TargetNotice | undefined
  /** Version of the service that the target runs, as last reported. Undefined if it is not known. */
  softwareVersion: string | undefined
  /** Configuration version in force. */
  version: number
  storeAgeMs: base.Millis
  /** Calls sent since the last load report. */
  sentSinceReport: number
  /** When the first of these calls was sent. */
  firstSentAtMs: base.Millis
  /** Share of recent calls that the target failed or refused. */
  failureShare: number
  /** Time that recent calls took beyond what the host reports, for example because its VM is slow. */
  delayMs: base.Millis
  /** When `failureShare` and `delayMs` were updated. */
  updatedAtMs: base.Millis
  /** Until then, no call of `avoidedPriority` or less urgent is sent to the node, because it has just refused one. */
  avoidUntilMs: base.Millis
  avoidedPriority: number
  /** When the target became ready, if it joined others that were ready before, and until this node has sent it a call. */
  joinedAtMs: base.Millis | undefined
  /** When the last message of the node arrived. */
  lastMessageAtMs: base.Millis
}

/** All nodes that this node knows, by service. */
export class TargetTable {
  private readonly _rows = new Map<base.NodeId, TargetRow>()
  private readonly _known = new RowsByService()
  /** Rows with an open link, so that choosing a target does not iterate over the whole fleet. */
  private readonly _connected = new RowsByService()
  private _revision = 0
  /** When the first target of any service became ready for this node. */
  private _firstReadyAtMs: base.Millis | undefined

  public get size (): number {
    return this._rows.size
  }

  /** Increases when a node is added or removed, when its service or link capacity changes, or when it announces that it leaves or is back. */
  public get revision (): number {
    return this._revision
  }

  /** Number of nodes that can be reached now. */
  public get connectedCount (): number {
    let count = 0
    for (const row of this._rows.values()) if (row.isConnected) count += 1
    return count
  }

  public get (nodeId: base.NodeId): TargetRow | undefined {
    return this._rows.get(nodeId)
  }

  public all (): Iterable<TargetRow> {
    return this._rows.values()
  }

  public ofService (service: string): readonly TargetRow[] {
    return this._known.of(service)
  }

  /** Nodes of the service that can be reached now. */
  public connectedOf (service: string): readonly TargetRow[] {
    return this._connected.of(service)
  }

  /** What is known of the slots of the targets of the service that calls can be sent to. */
  public slotsOf (service: string): types.SlotView {
    const view = { targets: 0, slots: 0, free: 0 }
    for (const { state, load, sentSinceReport } of this.connectedOf(service)) {
      if (state !== 'ready') continue
      view.targets += 1
      view.slots += load.slots
      view.free += Math.max(0, load.slots - load.running - sentSinceReport)
    }
    return view
  }

  public updateLoad (nodeId: base.NodeId, load: types.TargetLoad, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    row.load = load
    row.loadAtMs = nowMs
    row.sentSinceReport = 0
  }

  /** Adds a node, or updates the service of one. A node that moved to another zone is a new one. */
  public put (nodeId: base.NodeId, zone: string, service: string, linkMbps = 0): TargetRow {
    const known = this._rows.get(nodeId)
    if (known !== undefined && known.zone === zone) {
      if (known.linkMbps !== linkMbps || known.service !== service) this._revision += 1
      known.linkMbps = linkMbps
      if (known.service !== service) this._move(known, service)
      return known
    }
    if (known !== undefined) this.remove(nodeId)
    const row: TargetRow = {
      nodeId,
      zone,
      service,
      linkMbps,
      isConnected: known?.isConnected ?? false,
      state: 'absent',
      hasAnnouncedLeaving: false,
      load: INITIAL_LOAD,
      loadAtMs: 0,
      target: undefined,
      notice: undefined,
      softwareVersion: undefined,
      version: 0,
      storeAgeMs: Infinity,
      sentSinceReport: 0,
      firstSentAtMs: 0,
      failureShare: 0,
      delayMs: 0,
      updatedAtMs: 0,
      avoidUntilMs: 0,
      avoidedPriority: 0,
      joinedAtMs: undefined,
      lastMessageAtMs: -Infinity
    }
    this._revision += 1
    this._rows.set(nodeId, row)
    this._known.add(row)
    if (row.isConnected) this._connected.add(row)
    return row
  }

  public remove (nodeId: base.NodeId): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    this._revision += 1
    this._rows.delete(nodeId)
    this._known.remove(row)
    if (row.isConnected) this._connected.remove(row)
  }

  public setConnected (nodeId: base.NodeId, isConnected: boolean): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    if (isConnected && !row.isConnected) this._connected.add(row)
    if (!isConnected && row.isConnected) this._connected.remove(row)
    row.isConnected = isConnected
    if (!isConnected) row.state = 'absent'
    row.sentSinceReport = 0
  }

  public updateStatus (nodeId: base.NodeId, status: types.HostStatus, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    // The target may be a new one, so failures before it became ready do not count.
    if (row.state !== 'ready' && status.state === 'ready') {
      row.failureShare = 0
      this._firstReadyAtMs ??= nowMs
      row.joinedAtMs = nowMs - this._firstReadyAtMs > START_MS ? nowMs : undefined
    }
    if (isOtherTarget(row, status)) row.notice = undefined
    row.target = newerOf(row.target, status.target)
    if (status.target !== undefined) row.softwareVersion = status.target.softwareVersion
    if (status.target?.isLeaving === true) this.recordNotice(nodeId, { maxCallsPerS: undefined, isLeaving: true })
    row.state = status.state
    this.recordLeaving(nodeId, status.state === 'leaving')
    row.version = status.version
    row.storeAgeMs = status.storeAgeMs
    this.updateLoad(nodeId, status.load, nowMs)
  }

  /** Records whether the node leaves, or has come back. */
  public recordLeaving (nodeId: base.NodeId, isLeaving: boolean): void {
    const row = this._rows.get(nodeId)
    if (row === undefined || row.hasAnnouncedLeaving === isLeaving) return
    row.hasAnnouncedLeaving = isLeaving
    this._revision += 1
  }

  /** Records what the target beside the node has stated in an answer. A target that leaves does not come back in the same start. */
  public recordNotice (nodeId: base.NodeId, notice: types.TargetNotice): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    const maxCallsPerS = notice.maxCallsPerS ?? row.notice?.maxCallsPerS ?? Infinity
    const isLeaving = notice.isLeaving || row.notice?.isLeaving === true
    row.notice = maxCallsPerS < Infinity || isLeaving ? { maxCallsPerS, isLeaving } : undefined
  }

  /** What this node can tell the node about its target. Undefined if there is nothing, or if the target is not known. */
  public noticeFor (nodeId: base.NodeId): types.KnownNotice | undefined {
    const row = this._rows.get(nodeId)
    return row?.notice === undefined || row.target === undefined ? undefined : { ...row.target, ...row.notice }
  }

  /** Records that a message of the node has arrived, so the link to it works. */
  public recordMessage (nodeId: base.NodeId, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    if (row !== undefined) row.lastMessageAtMs = nowMs
  }

  public recordSend (nodeId: base.NodeId, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    if (row.sentSinceReport === 0) row.firstSentAtMs = nowMs
    row.sentSinceReport += 1
    row.joinedAtMs = undefined
  }

  /** Records the end of a call that was sent to the node `tookMs` ago. */
  public recordEnd (nodeId: base.NodeId, isFailure: boolean, tookMs: base.Millis, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    if (row === undefined) return
    const decay = decayAt(row, nowMs)
    const excessMs = row.load.serviceMs === 0 ? 0 : Math.max(0, tookMs - row.load.serviceMs * EXPECTED_FACTOR)
    row.failureShare = row.failureShare * decay * (1 - NEWEST_WEIGHT) + (isFailure ? NEWEST_WEIGHT : 0)
    row.delayMs = row.delayMs * decay * (1 - DELAY_WEIGHT) + excessMs * DELAY_WEIGHT
    row.updatedAtMs = nowMs
  }

  /** Records that a call that was sent to the node `waitedMs` ago had no answer when its caller left. */
  public recordUnanswered (nodeId: base.NodeId, isFailure: boolean, waitedMs: base.Millis, nowMs: base.Millis): void {
    const row = this._rows.get(nodeId)
    // A caller that leaves early says nothing about the node.
    if (row === undefined || row.load.serviceMs === 0 || waitedMs <= row.load.serviceMs * EXPECTED_FACTOR) return
    this.recordEnd(nodeId, isFailure, waitedMs, nowMs)
  }

  private _move (row: TargetRow, service: string): void {
    this._known.remove(row)
    if (row.isConnected) this._connected.remove(row)
    row.service = service
    row.softwareVersion = undefined
    row.state = 'absent'
    this._known.add(row)
    if (row.isConnected) this._connected.add(row)
  }
}

class RowsByService {
  private readonly _services = new Map<string, TargetRow[]>()

  public of (service: string): readonly TargetRow[] {
    return this._services.get(service) ?? []
  }

  public add (row: TargetRow): void {
    const rows = this._services.get(row.service)
    if (rows === undefined) this._services.set(row.service, [row])
    else rows.push(row)
  }

  public remove (row: TargetRow): void {
    const rows = this._services.get(row.service)
    rows?.splice(rows.indexOf(row), 1)
  }
}

/** A host that has restarted does not know when its target started, until that announces itself. */
function newerOf (known: types.TargetStart | undefined, reported: types.TargetStart | undefined): types.TargetStart | undefined {
  return reported?.startedAtMs === 0 && reported.targetId === known?.targetId ? known : reported ?? known
}

/** Whether a status is about another start of a target than the one known. Nodes of earlier versions do not name it, so their target counts as another one once it is ready again. */
function isOtherTarget ({ target, state }: TargetRow, status: types.HostStatus): boolean {
  if (status.target !== undefined) return target !== undefined && !targetRegister.isSameStart(target, status.target)
  return status.state === 'ready' && (state === 'leaving' || state === 'down')
}

/** Factor by which the moving averages have decayed since their last update. */
export function decayAt (row: TargetRow, nowMs: base.Millis): number {
  return 0.5 ** (Math.max(0, nowMs - row.updatedAtMs) / PENALTY_HALF_LIFE_MS)
}
