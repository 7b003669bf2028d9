import * as addresses from '../Addresses.js'
import * as auditTrail from './AuditTrail.js'
import * as bodyMemory from './BodyMemory.js'
import * as callLog from './CallLog.js'
import * as callMeasure from './CallMeasure.js'
import * as connectionLimits from '../ConnectionLimits.js'
import * as crashGuards from './CrashGuard.js'
import * as customerLimits from './CustomerLimits.js'
import * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import * as disposable from '@elmpost/common/base/Disposable.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as entryGate from './EntryGate.js'
import * as fleetMembership from './FleetMembership.js'
import * as ingress from './Ingress.js'
import * as localTarget from './LocalTarget.js'
import * as nestedCall from './NestedCalls.js'
import * as nodeLinks from './NodeLinks.js'
import * as nodeView from './NodeView.js'
import * as peerMessages from './PeerMessages.js'
import * as peerServer from '../PeerServer.js'
import * as plannedStop from './PlannedStop.js'
import * as rolloutRegister from '@elmpost/common/direct/RolloutRegister.js'
import * as rollouts from './Rollouts.js'
import * as rulesDistribution from './RulesDistribution.js'
import * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import * as storeReturns from './StoreReturns.js'
import * as targetPicker from '@elmpost/common/direct/TargetPicker.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as zoneCost from '@elmpost/common/direct/ZoneCost.js'
import type * as directNodeOptions from './DirectNodeOptions.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as linkCodec from './LinkCodec.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const TICK_MS = 100
/** Interval between status reports to the nodes that may send calls to this one. */
const STATUS_MS = 1_000
/** After this time a node counts as ready without the records of other nodes and without knowing that its version is the newest one, because the store may be down. */
const READY_WITHOUT_STORE_MS = 1_500

/** A node that carries direct calls. Connects its servers, its target and its links, and runs their periodic work. */
export class DirectNode extends disposable.Disposable implements services.INodeControl, directServices.IDirectView, nodeLinks.INodeLinksEvents {
  /** Resolves when a planned stop is complete. */
  public readonly stopped: Promise<void>
  public readonly nodeName: string
  public readonly zone: string
  public readonly crashes: crashGuards.CrashGuard
  public readonly onCallEnded: base.IEvent<directServices.CallMeasured>
  public readonly onRetry: base.IEvent<direct.RetryDecided>
  private readonly _callEnded = new emitter.Emitter<directServices.CallMeasured>()
  private readonly _options: directNodeOptions.DirectNodeOptions
  private readonly _table = new targetTable.TargetTable()
  private readonly _fleet: fleetMembership.FleetMembership
  private readonly _rules: rulesDistribution.RulesDistribution
  private readonly _calls: directCalls.DirectCalls
  private readonly _entry: entryGate.EntryGate
  private readonly _limits: customerLimits.CustomerLimits
  private readonly _target: localTarget.LocalTarget
  private readonly _rollouts: rollouts.Rollouts
  private readonly _links: nodeLinks.NodeLinks
  private readonly _stalls: stallWatch.StallWatch
  private readonly _connectionLimits: connectionLimits.ConnectionLimits
  private readonly _ingress: ingress.Ingress
  private readonly _peers: peerServer.PeerServer
  private readonly _messages: peerMessages.PeerMessages
  private readonly _audit: auditTrail.AuditTrail
  private readonly _log: callLog.CallLog
  private readonly _stop: plannedStop.PlannedStop
  private readonly _view: nodeView.NodeView
  private _timer: NodeJS.Timeout | undefined
  private _startedAtMs = 0
  private _statusAtMs = 0
  private _resolveStopped: () => void = () => {}

  constructor (options: directNodeOptions.DirectNodeOptions) {
    super()
    this._options = options
    const { settings, dialect, logger, random, nowMs, store } = options
    const selfId = settings.peerAddress
    this.nodeName = settings.nodeName
    this.zone = settings.zone
    this.onCallEnded = this._callEnded.event
    this.stopped = new Promise(resolve => { this._resolveStopped = resolve })
    this._log = new callLog.CallLog(logger, nowMs)
    this.crashes = new crashGuards.CrashGuard({ dialect, service: settings.service, nowMs, timeOfDayMs: options.timeOfDayMs, callLog: this._log, links: () => this._links, onOwnCrash: () => { this._fleet.publish() } })
    this._connectionLimits = options.limits ?? new connectionLimits.ConnectionLimits()
    const bodies = new bodyMemory.BodyMemory({ maxSharedBytes: this._connectionLimits.terms.maxSharedBodyBytes, collector: this._connectionLimits.collector, nowMs })
    this._register(this._connectionLimits.onClosed(limited => { this._log.log('warn', 'connection-closed', { ...limited }) }))
    const picker = new targetPicker.TargetPicker({ table: this._table, selfId, zone: settings.zone, random, otherZoneCostMs: zoneCost.otherZoneCostMs })
    const register = new rolloutRegister.RolloutRegister({ table: this._table, random, nowMs, startedAtMs: nowMs() })
    this._calls = new directCalls.DirectCalls({ table: this._table, picker, random, rollouts: register, retryTerms: settings.retryTerms, nodeCount: () => this._fleet.nodeCount, startedAtMs: nowMs() })
    const nestedCalls = new nestedCall.NestedCalls(this._calls, dialect, nowMs)
    this.onRetry = this._calls.onRetry
    this._register(this.onRetry(retry => { this._log.logRetry(this._entry.requestIdOf(retry.callId), retry) }))
    this._stalls = new stallWatch.StallWatch(options)
    this._rollouts = this._register(new rollouts.Rollouts({ settings, table: this._table, register, readers: () => this._rules.readers, store, format: options.rolloutFormat, logger, nowMs, timeOfDayMs: options.timeOfDayMs, calls: this._calls, target: () => this._target, links: () => this._links, onChange: () => { this._fleet.invalidatePlan() } }))
    this._target = this._register(new localTarget.LocalTarget({
      settings,
      dialect,
      nowMs,
      uncountedMs: () => this._stalls.uncountedMs,
      endsAtMs: () => this._stop.endsAtMs,
      logger,
      callLog: this._log,
      crashes: this.crashes,
      nestedCalls,
      customerWeight: customer => this._calls.inForce.customerWeight(customer),
      rollout: this._rollouts,
      onChange: () => { this._handleTargetChange() }
    }))
    this._links = this._register(new nodeLinks.NodeLinks({ selfId, hello: to => this._fleet.hello(this.version, to), nowMs, stalls: this._stalls, random, host: this._target.host, bodies, linkMbps: settings.linkMbps, takesOffers: () => this._calls.inForce.hasLongBodies, limits: this._connectionLimits, events: this }))
    this._rules = this._register(new rulesDistribution.RulesDistribution({
      selfId,
      zone: settings.zone,
      isFirstStart: settings.isFirstStart,
      table: this._table,
      store,
      format: options.rulesFormat,
      random,
      logger,
      nowMs: () => nowMs() + this._stalls.uncountedMs,
      isFleetKnown: () => this._fleet.isKnown,
      version: () => this.version,
      enforce: (stored, source) => { this._enforce(stored, source) },
      send: (nodeId, message) => { this._links.send(nodeId, message) },
      broadcast: (message, zone) => { this._links.broadcast(message, zone) }
    }))
    this._register(this._rules.onRecords(records => { this._rollouts.handleRecords(records) }))
    this._fleet = this._register(new fleetMembership.FleetMembership({
      settings,
      table: this._table,
      links: this._links,
      readers: this._rules.readers,
      issuers: () => this._limits.issuers,
      store,
      logger,
      random,
      nowMs,
      target: () => this._target.watch.knownTarget,
      crashes: this.crashes,
      isMixed: name => this._rollouts.isMixed(name),
      restore: target => { this._target.watch.restore(target) }
    }))
    const terms = settings.customerLimitTerms
    this._limits = this._register(new customerLimits.CustomerLimits({ selfId, table: this._table, terms, nowMs: () => nowMs() + this._stalls.uncountedMs, nodeCount: () => this._fleet.nodeCount, links: this._links, logger }))
    this._messages = new peerMessages.PeerMessages({
      table: this._table,
      fleet: this._fleet,
      rules: this._rules,
      limits: this._limits,
      rollouts: this._rollouts,
      crashes: this.crashes,
      stalls: this._stalls,
      log: this._log,
      nowMs,
      onHello: hello => { this._handleHello(hello) }
    })
    this._entry = this._register(new entryGate.EntryGate({
      nodeId: selfId,
      service: settings.service,
      calls: this._calls,
      table: this._table,
      dialect,
      nowMs,
      send: (nodeId, call) => this._send(nodeId, call),
      cancel: (nodeId, callId) => this._cancel(nodeId, callId),
      onCallEnd: (exchange, end) => {
        this._callEnded.fire(callMeasure.measure(end))
        this._log.logEnd(exchange.info, end)
      },
      onCallCancelled: (exchange, cancelled) => { this._log.logCancelled(exchange.info, cancelled) },
      callsEndByMs: () => this._stop.callsEndByMs,
      suspectedMs: () => this._stalls.suspectedMs,
      crashes: this.crashes,
      nestedCalls,
      limits: this._limits
    }))
    this._ingress = this._register(new ingress.Ingress({
      address: addresses.parse(settings.callerAddress),
      binder: options.binder,
      limits: this._connectionLimits,
      bodies,
      owner: this._entry,
      dialect,
      nowMs,
      onDropped: ({ info }, totalMs) => { this._log.logCancelled(info, { totalMs, rule: undefined, nodeId: '', sends: 0 }) },
      onBodyRefused: ({ info: { requestId } }, heldBytes) => { this._log.log('warn', 'body-refused', { requestId, heldBytes }) },
      onBodyLate: ({ info: { requestId } }, waitedMs) => { this._log.log('warn', 'body-late', { requestId, waitedMs: Math.round(waitedMs) }) },
      onAcceptsEnd: (waitMs, connections) => { this._log.logAccepts(waitMs, connections) }
    }))
    this._peers = this._register(new peerServer.PeerServer({ address: addresses.parse(settings.peerListenAddress), binder: options.binder, limits: this._connectionLimits, maxMessageBytes: nodeLinks.MAX_MESSAGE_BYTES, onConnection: socket => { this._links.accept(socket) } }))
    this._audit = new auditTrail.AuditTrail({ store, nodeId: selfId, logger, nowMs, isWriter: () => this._rules.readers.isWriter, timeOfDayMs: options.timeOfDayMs })
    this._register(new storeReturns.StoreReturns({ era: store.era, nodeRecord: this._fleet.record, auditTrail: this._audit, logger, spread: () => { this._sendStatus(true) } }))
    this._view = new nodeView.NodeView({ settings, version: () => this.version, isReady: () => this.isReady, entry: this._entry, target: this._target, links: this._links, table: this._table, rules: this._rules, ingress: this._ingress, limits: this._limits, connectionLimits: this._connectionLimits, rollouts: this._rollouts, crashes: this.crashes })
    this._stop = new plannedStop.PlannedStop({
      graceMs: settings.graceMs,
      nowMs,
      logger,
      inFlight: () => this._entry.inFlight + this._ingress.held + this._links.heldCalls + (this._target.host.isIdle ? 0 : 1),
      lastCallAtMs: () => this._entry.lastCallAtMs,
      closeCallers: () => this._ingress.close(),
      answerAll: () => { this._ingress.answerAll() },
      onTargetClosed: () => { this._sendStatus(true) },
      onFinished: () => {
        this.dispose()
        this._resolveStopped()
      }
    })
  }

  /** Configuration version in force; 0 before the first one. */
  public get version (): number {
    return this._calls.rules?.version ?? 0
  }

  public get isReady (): boolean {
    const isConfirmed = Number.isFinite(this._rules.confirmedAgeMs)
    const knowsEnough = (this._fleet.isKnown && isConfirmed) || this._options.nowMs() - this._startedAtMs > READY_WITHOUT_STORE_MS
    return !this._stop.hasBegun && this._calls.rules !== undefined && knowsEnough && this._ingress.isListening && this._peers.isListening
  }

  public gauges (): directServices.DirectGauges {
    return this._view.gauges
  }

  /** Data for `elmpost status`. */
  public status (): object {
    return this._view.status
  }

  public async start (): Promise<void> {
    const { settings, logger, nowMs } = this._options
    this._startedAtMs = nowMs()
    this._table.put(settings.peerAddress, settings.zone, settings.service, settings.linkMbps)
    this._table.setConnected(settings.peerAddress, true)
    this._rules.start()
    this._fleet.start()
    this._fleet.connectSeeds(settings.seeds)
    this._timer = setInterval(() => { this._tick() }, TICK_MS)
    await Promise.all([this._peers.listen(), this._ingress.listen()])
    logger.log('info', 'started', { nodeName: this.nodeName, zone: this.zone, service: settings.service, callerAddress: settings.callerAddress, peerAddress: settings.peerAddress })
  }

  /** Applies the settings that can change at run time, and logs those that need a restart. */
  public reload (settings: types.DirectSettings): void {
    const before = this._options.settings
    this._fleet.connectSeeds(settings.seeds)
    const fixed = (['zone', 'service', 'targetAddress', 'callerAddress', 'peerAddress'] as const).filter(name => settings[name] !== before[name])
    this._options.logger.log(fixed.length === 0 ? 'info' : 'warn', 'reloaded', { seeds: settings.seeds.join(' '), needsRestart: fixed.join(' ') })
  }

  /** Begins a graceful shutdown. Repeated calls have no effect. */
  public stop (): void {
    if (this._stop.hasBegun) return
    this._stop.begin()
    this._ingress.beginClosing()
  }

  public async announce (announcement: direct.Announcement): Promise<boolean> {
    const isOwn = this._target.watch.recordAnnouncement(announcement)
    // It may have been known before from an answer of the target, and not be recorded yet.
    if (isOwn && this._target.watch.state === 'leaving') await this._fleet.recordLeaving()
    return isOwn
  }

  public async leave (targetId: string): Promise<boolean> {
    const isOwn = this._target.watch.recordLeaving(targetId)
    if (isOwn) await this._fleet.recordLeaving()
    return isOwn
  }

  public refuseMessage (problem: string): void {
    this._log.log('warn', 'message-refused', { problem })
  }

  public handleConnectionChange (nodeId: base.NodeId, isConnected: boolean): void {
    this._log.log(isConnected ? 'info' : 'warn', isConnected ? 'peer-connected' : 'peer-lost', { peer: nodeId })
    this._fleet.handleConnectionChange(nodeId, isConnected)
    if (!isConnected) return
    const send = (message: linkCodec.LinkMessage): void => { this._links.send(nodeId, message) }
    this._rollouts.greet(send)
    this.crashes.greet(send)
  }

  public handleHello (hello: linkCodec.HelloMessage, reply: (message: linkCodec.LinkMessage) => void): void {
    this._handleHello(hello)
    reply(this._fleet.hello(this.version))
    // Before the status, after which calls can be sent to the target.
    this._rollouts.greet(reply)
    reply({ kind: 'status', status: this._status() })
    reply(this._rules.report)
    this.crashes.greet(reply)
  }

  public handleLost (nodeId: base.NodeId, callIds: readonly number[]): void {
    this._entry.handlePeerLost(nodeId, callIds)
  }

  public handleSilent (nodeId: base.NodeId, callIds: readonly number[]): void {
    this._log.log('warn', 'peer-silent', { peer: nodeId, calls: callIds.length })
    this._entry.handlePeerSilent(nodeId, callIds)
  }

  public handleResult (nodeId: base.NodeId, message: linkCodec.LinkMessage & { readonly kind: 'result' }): void {
    this._table.recordMessage(nodeId, this._options.nowMs())
    this._entry.handleHostResult(nodeId, message.callId, message.result, message.load)
  }

  public handleMessage (nodeId: base.NodeId, message: linkCodec.LinkMessage, reply: (message: linkCodec.LinkMessage) => void): void {
    this._messages.handle(nodeId, message, reply)
  }

  public handleMalformed (nodeId: base.NodeId, error: Error): void {
    this._messages.handleMalformed(nodeId, error)
  }

  public override dispose (): void {
    clearInterval(this._timer)
    super.dispose()
  }

  private _send (nodeId: base.NodeId, call: types.CallMessage): boolean {
    if (nodeId !== this._options.settings.peerAddress) return this._links.sendCall(nodeId, call)
    this._target.host.accept(this._entry, call)
    return true
  }

  private _cancel (nodeId: base.NodeId, callId: number): boolean {
    if (nodeId === this._options.settings.peerAddress) return this._target.host.cancel(this._entry, callId)
    this._links.cancel(nodeId, callId)
    // The reply of the other node would come too late to be used.
    return false
  }

  private _tick (): void {
    this._stalls.tick()
    if (this._stalls.suspectedMs > 0) this._log.log('warn', 'stalled', { stalledMs: Math.round(this._stalls.stalledMs), suspectedMs: Math.round(this._stalls.suspectedMs) })
    this._connectionLimits.tick()
    this._ingress.tick()
    this._links.tick()
    this._target.tick()
    this._log.tick(this._links.traffic)
    this._rules.tick()
    this._rollouts.tick()
    if (this._options.nowMs() >= this._statusAtMs) this._sendStatus(false)
    this._fleet.tick()
    this._limits.tick()
    this.crashes.tick()
    this._stop.tick()
  }

  /** Sends the status to all nodes that may send calls to this one, or only to those that are due a report. */
  private _sendStatus (isForAll: boolean): void {
    this._statusAtMs = this._options.nowMs() + STATUS_MS
    const status = this._status(isForAll)
    this._fleet.handleStatus(this._options.settings.peerAddress, status)
    this._rules.handleStatus(this._options.settings.peerAddress, status)
    this._links.broadcastStatus(status, isForAll)
  }

  private _status (includesTarget = true): direct.HostStatus {
    const state = this._stop.closesTarget ? 'leaving' : this._target.watch.state
    return { state, load: this._target.host.load, version: this.version, storeAgeMs: this._rules.storeAgeMs, fleetStoreAgeMs: this._rules.confirmedAgeMs, storeEra: this._options.store.era.current, target: includesTarget ? this._target.watch.reported : undefined }
  }

  private _handleTargetChange (): void {
    this._rollouts.handleTarget()
    this._sendStatus(true)
    this._fleet.publish()
  }

  /** Records what another node reports of itself in its hello. */
  private _handleHello (hello: linkCodec.HelloMessage): void {
    this._fleet.handleHello(hello)
    if (hello.notice !== undefined) this._target.recordPeerNotice(hello.nodeId, hello.notice)
    this._rules.handleHello(hello)
  }

  private _enforce (stored: types.StoredRules, source: string): void {
    const previous = this._calls.rules
    if (!this._calls.enforce(stored.rules)) return
    const { behindMs, storeAgeMs, confirmedAgeMs } = this._rules
    this._audit.recordChange(previous, stored.rules)
    this._rules.setCurrent(stored.bytes)
    const { rules } = stored
    this._ingress.setLimits(rules.limits)
    this._log.logEnforced(rules, source, { behindMs, storeAgeMs, confirmedAgeMs })
    this._target.applyRules(rules)
    this._limits.setCustomers(this._calls.inForce.limitedCustomers)
    this._fleet.invalidatePlan()
    this._sendStatus(true)
  }
}
