import * as disposable from '@elmpost/common/base/Disposable.js'
import * as digests from '../NativeDigest.js'
import * as rolloutDriver from './RolloutDriver.js'
import * as rolloutHealths from './RolloutHealths.js'
import * as rolloutPlan from '@elmpost/common/direct/RolloutPlan.js'
import * as rolloutReports from './RolloutReports.js'
import * as rolloutStatuses from './RolloutStatuses.js'
import * as runCounter from './RunCounter.js'
import * as versionHealth from '@elmpost/common/direct/VersionHealth.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import type * as linkCodec from './LinkCodec.js'
import type * as localTarget from './LocalTarget.js'
import type * as nodeLinks from './NodeLinks.js'
import type * as nodeServices from '../Services.js'
import type * as readerPlan from '@elmpost/common/direct/ReaderPlan.js'
import type * as rolloutRegister from '@elmpost/common/direct/RolloutRegister.js'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import type * as rulesWatch from './RulesWatch.js'
import type * as services from './Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'
import type * as types from './Types.js'

/** Interval between the reports of a host. */
const REPORT_MS = 300
/** Least time between two reports, if an answer is evidence against the new version. */
const MIN_REPORT_MS = 50
/** Candidates repeat what they know at this interval while an order is open, and for some time after its end. */
const REPEAT_MS = 1_000
const REPEATED_AFTER_END_MS = 5_000
/** A host that reaches no candidate gives up a version after this many bad answers of its own, if they are more than half. */
const OWN_EVIDENCE = 10
const MAX_LOGGED_LENGTH = 200

export interface RolloutsOptions {
  readonly settings: types.DirectSettings
  readonly table: targetTable.TargetTable
  readonly register: rolloutRegister.RolloutRegister
  readonly readers: () => Pick<readerPlan.ReaderPlan, 'isCandidate' | 'isWriter' | 'candidates' | 'requiredPeers'>
  readonly store: services.IKeyedStore
  /** Undefined if services are not rolled out. */
  readonly format: services.IRolloutFormat | undefined
  readonly logger: nodeServices.ILogger
  readonly nowMs: () => base.Millis
  readonly timeOfDayMs: () => base.Millis
  readonly calls: Pick<directCalls.DirectCalls, 'inForce'>
  /** Target beside this node. */
  readonly target: () => localTarget.LocalTarget
  readonly links: () => Pick<nodeLinks.NodeLinks, 'send' | 'broadcast'>
  /** Which targets are used has changed. */
  readonly onChange: () => void
}

/** The roll-outs of the fleet at this node: what it knows of them, what it reports of its target and, if it drives them, their decisions. */
export class Rollouts extends disposable.Disposable implements services.IHostRollout {
  private readonly _options: RolloutsOptions
  private readonly _healths: rolloutHealths.RolloutHealths
  private readonly _driver: rolloutDriver.RolloutDriver | undefined
  private readonly _counter = new runCounter.RunCounter()
  private _countedOrder: rolloutTypes.RolloutOrder | undefined
  /** Reports of hosts of the own zone that are to be passed on to candidates of other zones. */
  private readonly _relayed = new Map<base.NodeId, rolloutTypes.HostHealth>()
  private _relayedAtMs: base.Millis = -Infinity
  private _sequence = 0
  private _reportedAtMs: base.Millis = -Infinity
  private _hasEvidence = false
  private _repeatedAtMs: base.Millis = -Infinity

  constructor (options: RolloutsOptions) {
    super()
    this._options = options
    const { settings, register, table, store, format, logger, nowMs, calls, readers } = options
    this._healths = new rolloutHealths.RolloutHealths(nowMs)
    if (format === undefined) return
    const statuses = new rolloutStatuses.RolloutStatuses({ store, format, logger, nowMs })
    const driver = new rolloutDriver.RolloutDriver({
      register,
      healths: this._healths,
      statuses,
      table,
      exposureShare: settings.rolloutTerms.exposureShare,
      nowMs,
      routes: () => calls.inForce.rules?.routes ?? [],
      isDriver: () => readers().isCandidate && readers().isWriter,
      apply: state => { this._apply(state, 'driver') }
    })
    this._driver = driver
    this._register(store.era.onReturn(() => { driver.handleReturn() }))
  }

  public get mayRun (): boolean {
    return this._options.register.mayRun(this._options.settings.service, this._ownVersion)
  }

  private get _ownVersion (): string | undefined {
    return this._options.target().watch.reported?.softwareVersion
  }

  /** Roll-outs that are known, ended ones included, for metrics. */
  public get states (): readonly rolloutTypes.RolloutState[] {
    return this._options.register.all()
  }

  /** Whether this node takes the decisions on an open order. */
  public get isDriving (): boolean {
    return this._driver?.isDriving === true
  }

  /** Whether targets of several versions of the service may be in use. */
  public isMixed (service: string): boolean {
    return this._options.register.isMixed(service)
  }

  /** Whether the newest order for the service has not ended. */
  public isOpen (service: string): boolean {
    const state = this._options.register.get(service)
    return state !== undefined && !rolloutPlan.isFinal(state.phase)
  }

  /** Takes over the orders among the records of the operators' topic. */
  public handleRecords ({ records, isPast }: rulesWatch.TopicRecords): void {
    const { format, logger, nowMs, register } = this._options
    if (format === undefined) return
    for (const { key, value, offset } of records) {
      if (value === undefined || !format.isKey(key)) continue
      const decoded = format.decodeOrder(key, value)
      if (decoded instanceof Error) {
        logger.log('warn', 'rollout-order-refused', { key: key.slice(0, MAX_LOGGED_LENGTH), problem: decoded.message.slice(0, MAX_LOGGED_LENGTH) })
        continue
      }
      const order = { ...decoded, digest: digests.digestText(value.toString()), ...(offset === undefined ? {} : { offset }) }
      // An order after one that this node knows was written while the store was away or not read.
      const known = register.get(order.service)
      const isLater = known !== undefined && !rolloutPlan.isSameOrder(known.order, order) && (offset === undefined || known.order.offset === undefined || offset > known.order.offset)
      this._apply({ order, phase: 'waiting', share: 0, isBad: false, isRecorded: false, isPast: isPast && !isLater, orderedAtMs: nowMs() }, 'store')
    }
  }

  public handleNews (nodeId: base.NodeId, news: readonly rolloutReports.RolloutNews[]): void {
    for (const entry of news) this._apply(rolloutReports.stateOfNews(entry, this._options.nowMs()), nodeId)
  }

  public handleHealth (nodeId: base.NodeId, hosts: readonly rolloutTypes.HostHealth[]): void {
    const { register, readers } = this._options
    for (const host of hosts) {
      const state = register.get(host.service)
      if (state === undefined || rolloutPlan.isFinal(state.phase) || !this._healths.record(state, host)) continue
      if (host.nodeId === nodeId && readers().isCandidate) this._relayed.set(nodeId, host)
      this._judge(state)
    }
    this._relay()
  }

  /** Tells another node what this one knows. */
  public greet (send: (message: linkCodec.LinkMessage) => void): void {
    const states = this._options.register.all()
    if (states.length > 0) send(this._messageOf(states))
  }

  public recordRun (call: types.CallMessage, result: types.RunResult, tookMs: base.Millis): void {
    const { settings: { service }, nowMs, calls } = this._options
    if (!this.isOpen(service)) return
    this._followOrder()
    const className = calls.inForce.routeOf(hostOf(call.headers), call.path)?.name ?? `${call.objectiveMs}`
    const isBad = this._counter.record(className, result, tookMs, nowMs())
    if (!isBad || this._ownVersion !== this._countedOrder?.targetVersion) return
    this._hasEvidence = true
    this._reportIfDue()
  }

  /** The target beside this node has changed. */
  public handleTarget (): void {
    this._counter.setTarget(this._options.target().watch.reported, this._options.nowMs())
  }

  public tick (): void {
    const { register, nowMs, readers } = this._options
    const states = register.all()
    if (states.length === 0) return
    this._driver?.tick()
    this._reportIfDue()
    this._relay()
    if (!readers().isCandidate || nowMs() - this._repeatedAtMs < REPEAT_MS) return
    const recent = states.filter(({ phase, order }) => !rolloutPlan.isFinal(phase) || nowMs() - register.phaseSinceMs(order.service) < REPEATED_AFTER_END_MS)
    if (recent.length === 0) return
    this._repeatedAtMs = nowMs()
    this._options.links().broadcast(this._messageOf(recent))
  }

  /** Puts into force what is new in the state, and tells other nodes. */
  private _apply (heard: rolloutTypes.RolloutState, source: string): void {
    const { settings, register, links, readers, target, onChange } = this._options
    const { service } = heard.order
    const before = register.get(service)
    if (!register.put(heard)) return
    const state = register.get(service) as rolloutTypes.RolloutState
    this._logChange(before, state, source)
    const isNewOrder = before === undefined || !rolloutPlan.isSameOrder(before.order, state.order)
    if (isNewOrder || rolloutPlan.isFinal(state.phase)) this._healths.forget(service)
    if (!this.mayRun) target().host.refuseWaiting()
    onChange()
    const message = this._messageOf([state])
    const isOwn = source === 'driver' || source === 'store' || source === 'health'
    // Nodes of the zone have links to its candidates, and candidates to each other.
    if (isOwn || readers().isCandidate) links().broadcast(message)
    if (isOwn) for (const nodeId of readers().requiredPeers) if (nodeId !== settings.peerAddress) links().send(nodeId, message)
  }

  private _messageOf (states: readonly rolloutTypes.RolloutState[]): linkCodec.LinkMessage {
    return { kind: 'rollouts', rollouts: states.map(state => rolloutReports.newsOfState(state, this._options.nowMs())) }
  }

  /** Gives up a version that is bad by what all hosts have reported. */
  private _judge (state: rolloutTypes.RolloutState): void {
    const { logger } = this._options
    if (!this._options.readers().isCandidate || state.isBad || state.phase === 'waiting') return
    const { verdict, reason } = this._healths.judge(state)
    if (verdict !== 'bad') return
    const { service, targetVersion } = state.order
    logger.log('warn', 'rollout-bad', { service, targetVersion, phase: state.phase, reason, ...this._healths.summary(state) })
    this._apply({ ...state, isBad: true }, 'health')
  }

  /** Counts anew for another order. */
  private _followOrder (): void {
    const order = this._options.register.get(this._options.settings.service)?.order
    if (order !== undefined && (this._countedOrder === undefined || !rolloutPlan.isSameOrder(this._countedOrder, order))) this._counter.reset()
    this._countedOrder = order
  }

  private _reportIfDue (): void {
    const { settings: { service, peerAddress }, nowMs, readers, links, target, timeOfDayMs } = this._options
    const state = this._options.register.get(service)
    if (state === undefined || rolloutPlan.isFinal(state.phase)) return
    if (nowMs() - this._reportedAtMs < (this._hasEvidence ? MIN_REPORT_MS : REPORT_MS)) return
    this._reportedAtMs = nowMs()
    this._hasEvidence = false
    this._followOrder()
    this._sequence = Math.max(this._sequence + 1, Math.round(timeOfDayMs()))
    const version = this._ownVersion
    const host: rolloutTypes.HostHealth = { nodeId: peerAddress, service, orderKey: rolloutPlan.keyOf(state.order), sequence: this._sequence, ...(version === undefined ? {} : { softwareVersion: version }), phase: state.phase, running: target().host.load.running, sums: this._counter.sums }
    const peers = readers().requiredPeers.filter(nodeId => nodeId !== peerAddress)
    for (const nodeId of peers) links().send(nodeId, { kind: 'rollout-health', hosts: [host] })
    if (readers().isCandidate) this.handleHealth('', [host])
    else if (!peers.some(nodeId => this._options.table.get(nodeId)?.isConnected === true)) this._judgeAlone(state, host)
  }

  /** A host that reaches no candidate has only its own answers. */
  private _judgeAlone (state: rolloutTypes.RolloutState, { softwareVersion, sums }: rolloutTypes.HostHealth): void {
    const { service, targetVersion } = state.order
    const [answers, bad] = [versionHealth.answersOf(sums), versionHealth.badOf(sums)]
    if (state.isBad || softwareVersion !== targetVersion || bad < OWN_EVIDENCE || bad * 2 <= answers) return
    this._options.logger.log('warn', 'rollout-bad', { service, targetVersion, phase: state.phase, reason: 'errors own', newAnswers: answers, newBad: bad })
    this._apply({ ...state, isBad: true }, 'health')
  }

  private _relay (): void {
    const { settings: { zone }, nowMs, readers, table, links } = this._options
    if (this._relayed.size === 0 || nowMs() - this._relayedAtMs < MIN_REPORT_MS) return
    this._relayedAtMs = nowMs()
    const message = { kind: 'rollout-health', hosts: [...this._relayed.values()] } as const
    this._relayed.clear()
    for (const nodeId of readers().candidates) if (table.get(nodeId)?.zone !== zone) links().send(nodeId, message)
  }

  private _logChange (before: rolloutTypes.RolloutState | undefined, state: rolloutTypes.RolloutState, source: string): void {
    const { logger, nowMs } = this._options
    const { order: { service, targetVersion, rampMs, offset }, phase, share, isBad, isPast, orderedAtMs } = state
    if (before === undefined || !rolloutPlan.isSameOrder(before.order, state.order)) logger.log('info', 'rollout-ordered', { service, targetVersion, rampMs, offset, isPast, source })
    else if (before.phase === phase && before.isBad === isBad) return
    logger.log('info', 'rollout-phase', { service, targetVersion, phase, share, isBad, ageMs: Math.round(nowMs() - orderedAtMs), source, ...this._healths.summary(state) })
  }
}

function hostOf (headers: types.RawHeaders): string {
  const at = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === 'host')
  return at < 0 ? '' : headers[at + 1] ?? ''
}
