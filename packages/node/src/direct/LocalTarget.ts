import * as crypto from 'node:crypto'
import * as peerNotices from '@elmpost/common/direct/PeerNotices.js'
import * as targetClient from './TargetClient.js'
import * as targetHost from './TargetHost.js'
import * as targetProbe from './TargetProbe.js'
import * as targetRegister from '@elmpost/common/direct/TargetRegister.js'
import * as targetWatch from './TargetWatch.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as callLog from './CallLog.js'
import type * as crashWatches from './CrashWatch.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as targetHostOptions from './TargetHostOptions.js'
import type * as types from './Types.js'

/** Connections to the target before a configuration sets its limit. */
const DEFAULT_MAX_CONNECTIONS = 64
/** A target on the same VM refuses or accepts a connection in far less time. */
const PROBE_TIMEOUT_MS = 200
const CRASH_ID_BYTES = 9
/** Requests that a line about a crash names. */
const MAX_LOGGED_RUNS = 32
const SLOT_USE_INTERVAL_MS = 5_000
const NO_NOTICE: direct.TargetNotice = { maxCallsPerS: Infinity, isLeaving: false }

export interface LocalTargetOptions {
  readonly settings: types.DirectSettings
  readonly dialect: services.ICallDialect
  readonly nowMs: () => base.Millis
  /** Time that the monotonic clock may have missed so far, because the VM was suspended. */
  readonly uncountedMs: () => base.Millis
  /** When this process ends. Infinite while it is not stopping. */
  readonly endsAtMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  readonly callLog: callLog.CallLog
  readonly crashes: services.ICrashGuard
  readonly nestedCalls: services.INestedCalls
  readonly customerWeight: (customer: string) => number | undefined
  readonly rollout?: services.IHostRollout | undefined
  /** The state, the slots or the id of the target has changed. */
  readonly onChange: () => void
}

/** The target beside this node: its state, its connections and the calls that run on it. */
export class LocalTarget implements targetHostOptions.ITargetHostEvents, base.IDisposable {
  public readonly watch: targetWatch.TargetWatch
  public readonly host: targetHost.TargetHost
  private readonly _options: LocalTargetOptions
  private _client: targetClient.TargetClient
  private _maxConnections = DEFAULT_MAX_CONNECTIONS
  private _healthPath: string | undefined
  private _crashes = 0
  private _crashId = ''
  private readonly _peerNotices = new peerNotices.PeerNotices()
  /** Start of the target that `_notice` is about. */
  private _start: direct.TargetStart | undefined
  /** What the target last stated in an answer to this node or, before the first one, to others. */
  private _notice = NO_NOTICE
  /** Whether this process has an answer of the target, which is newer than what other nodes know. */
  private _hasAnswer = false
  private _slotUseDueAtMs: base.Millis = 0

  constructor (options: LocalTargetOptions) {
    this._options = options
    const { settings, dialect, nowMs, logger } = options
    this._client = this._openClient()
    this.watch = new targetWatch.TargetWatch({
      settings,
      client: () => this._client,
      healthPath: () => this._healthPath,
      nowMs,
      logger,
      mayProbe: () => this.host.takePermit(),
      onHealth: health => { this._handleHealth(health) },
      onChange: () => { this._handleChange() }
    })
    this.host = new targetHost.TargetHost({
      nodeId: settings.peerAddress,
      service: settings.service,
      dialect,
      client: () => this._client,
      targetId: () => this.watch.targetId,
      state: () => this.watch.state,
      nowMs,
      uncountedMs: options.uncountedMs,
      endsAtMs: options.endsAtMs,
      probe: onResult => { targetProbe.probe(settings.targetAddress, PROBE_TIMEOUT_MS, onResult) },
      newCrashId: () => crypto.randomBytes(CRASH_ID_BYTES).toString('base64url'),
      start: () => this.watch.reported,
      crashes: options.crashes,
      nestedCalls: options.nestedCalls,
      customerWeight: options.customerWeight,
      rollout: options.rollout,
      events: this
    })
  }

  /** Applies the health path and the connection limit of the target's service. */
  public applyRules (rules: direct.MeshRules): void {
    const rule = rules.services.find(({ name }) => name === this._options.settings.service)
    this._healthPath = rule?.healthPath
    const maxConnections = rule?.maxConnections ?? DEFAULT_MAX_CONNECTIONS
    if (maxConnections === this._maxConnections) return
    this._maxConnections = maxConnections
    const previous = this._client
    this._client = this._openClient()
    previous.close()
  }

  public get gauges (): Pick<directServices.DirectGauges, 'load' | 'slotTimes' | 'state' | 'targetCalls' | 'targetCrashes' | 'targetLimitPerS'> {
    const { host, watch } = this
    return { load: host.load, slotTimes: host.slotTimes, state: watch.state, targetCalls: host.started, targetCrashes: this._crashes, targetLimitPerS: this._notice.maxCallsPerS ?? Infinity }
  }

  public tick (): void {
    this.watch.tick()
    this.host.tick()
    this._logSlotUse()
  }

  public onTargetUnreachable (code: string): void {
    this.watch.markUnreachable(code)
  }

  public onTargetSilent (): void {
    this.watch.checkHealth()
  }

  public onTargetDisplaced (targetId: string): void {
    this.watch.markDisplaced(targetId)
  }

  public onCallFailed (call: types.CallMessage, reason: string, detail: string): void {
    this._options.callLog.log('warn', 'run-failed', { requestId: call.requestId, target: this.watch.targetId, reason, detail })
  }

  public onCallRefused (call: types.CallMessage, reason: direct.RefusalReason, waitMs: base.Millis): void {
    const { running, queued, slots } = this.host.load
    this._options.callLog.log('info', 'run-refused', { requestId: call.requestId, reason, priority: call.priority, elapsedMs: Math.round(call.elapsedMs), waitMs: Math.round(waitMs), running, queued, slots, state: this.watch.state })
  }

  public onCallCancelled (call: types.CallMessage, isRunning: boolean, heldMs: base.Millis): void {
    this._options.callLog.log('info', 'run-cancelled', { requestId: call.requestId, isRunning, heldMs: Math.round(heldMs), elapsedMs: Math.round(call.elapsedMs), remainingMs: Math.round(call.remainingMs) })
  }

  public onTrial (call: types.CallMessage): void {
    this._options.callLog.log('info', 'run-trial', { requestId: call.requestId, target: this.watch.targetId, fingerprint: this._options.crashes.historyOf(call).fingerprint })
  }

  public onTargetCrashed ({ id, target, runs }: crashWatches.TargetCrash): void {
    if (id !== this._crashId) this._crashes += 1
    this._crashId = id
    const requests = runs.slice(0, MAX_LOGGED_RUNS).map(({ call }) => `${call.requestId}:${this._options.crashes.historyOf(call).fingerprint}`).join(' ')
    this._options.callLog.log('warn', 'target-crashed', { target: target.targetId, crash: id, running: runs.length, requests })
  }

  public onTargetNotice (targetId: string, notice: direct.TargetNotice): void {
    if (targetId !== this.watch.targetId) return
    this._hasAnswer = true
    this._apply(this.watch.reported, notice, 'answer')
  }

  /** Takes over what another node knows of the target, unless this process has a newer answer. */
  public recordPeerNotice (nodeId: base.NodeId, notice: direct.KnownNotice): void {
    this._peerNotices.put(nodeId, notice)
    this._applyPeerNotices()
  }

  public dispose (): void {
    this._client.dispose()
  }

  private _logSlotUse (): void {
    const nowMs = this._options.nowMs()
    if (nowMs < this._slotUseDueAtMs) return
    this._slotUseDueAtMs = nowMs + SLOT_USE_INTERVAL_MS
    const { 'on-time': onTimeMs, late: lateMs, error: errorMs, lost: lostMs, free: freeMs } = this.host.slotTimes
    const { running, queued, slots, serviceMs } = this.host.load
    const times = { onTimeMs, lateMs, errorMs, lostMs, freeMs, serviceMs }
    const rounded = Object.fromEntries(Object.entries(times).map(([name, ms]) => [name, Math.round(ms)]))
    this._options.callLog.log('info', 'slot-use', { target: this.watch.targetId, started: this.host.started, running, queued, slots, ...rounded })
  }

  private _applyPeerNotices (): void {
    const { reported: start } = this.watch
    const notice = start === undefined ? undefined : this._peerNotices.take(start)
    if (notice === undefined) return
    const maxCallsPerS = this._hasAnswer ? undefined : Math.min(notice.maxCallsPerS ?? Infinity, this._notice.maxCallsPerS ?? Infinity)
    this._apply(notice, { maxCallsPerS, isLeaving: notice.isLeaving }, 'peer')
  }

  /** A health answer without a limit says nothing about the limit on calls. */
  private _handleHealth ({ targetId, notice }: types.TargetHealth): void {
    const { reported: start } = this.watch
    if (start?.targetId !== targetId) return
    this._apply(start, { ...notice, maxCallsPerS: notice.maxCallsPerS === Infinity ? undefined : notice.maxCallsPerS }, 'health')
  }

  private _apply (start: direct.TargetStart | undefined, notice: direct.TargetNotice, source: 'answer' | 'peer' | 'health'): void {
    const before = this._notice
    // A limit that cannot be read leaves the last one in force.
    const maxCallsPerS = notice.maxCallsPerS ?? before.maxCallsPerS
    const isLeaving = notice.isLeaving || before.isLeaving
    if (maxCallsPerS === before.maxCallsPerS && isLeaving === before.isLeaving) return
    this._notice = { maxCallsPerS, isLeaving }
    this._options.callLog.log('info', 'target-notice', { target: this.watch.targetId, maxCallsPerS, leaving: isLeaving, source })
    if (maxCallsPerS !== before.maxCallsPerS) this.host.setLimit(maxCallsPerS ?? Infinity)
    if (isLeaving && !before.isLeaving && start !== undefined) this.watch.recordLeaving(start.targetId, start.startedAtMs)
  }

  /** Nothing that an earlier start of the target has stated holds for the next one. */
  private _resetOnNewStart (): void {
    const { reported: start } = this.watch
    const isNew = start !== undefined && (this._start === undefined || !targetRegister.isSameStart(this._start, start))
    this._start = start ?? this._start
    if (!isNew) return
    this.host.handleNewStart()
    this._notice = NO_NOTICE
    this._hasAnswer = false
    this.host.setLimit(Infinity)
    this._applyPeerNotices()
  }

  private _handleChange (): void {
    if (this.watch.state !== 'ready') this.host.refuseWaiting()
    this._resetOnNewStart()
    this.host.setSlots(this.watch.slots)
    if (this.watch.isSilent) this.host.abortIdempotent()
    this._options.onChange()
  }

  private _openClient (): targetClient.TargetClient {
    const { settings, dialect, nowMs } = this._options
    return new targetClient.TargetClient({ address: settings.targetAddress, maxConnections: this._maxConnections, dialect, nowMs })
  }
}
