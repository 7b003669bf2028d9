import * as addresses from './Addresses.js'
import * as adminServer from './AdminServer.js'
import * as callerServer from './CallerServer.js'
import * as disposable from '@elmpost/common/base/Disposable.js'
import * as logClient from './LogClient.js'
import * as nodeRuntime from './NodeRuntime.js'
import * as peerLinks from './PeerLinks.js'
import * as peerServer from './PeerServer.js'
import * as targetMonitor from './TargetMonitor.js'
import * as targetRunner from './TargetRunner.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as distribution from '@elmpost/common/distribution/Types.js'
import type * as nodeCore from '@elmpost/common/node/NodeCore.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const DEFAULT_TICK_INTERVAL_MS = 100
/** Placeholders until a configuration is enforced; before that, no route leads to this target. */
const INITIAL_SLOTS = 1
const INITIAL_CONNECTIONS = 2

export interface NodeProcessOptions {
  readonly settings: types.NodeSettings
  readonly core: nodeCore.NodeCore
  readonly effects: nodeServices.IEffectQueue
  readonly logger: services.ILogger
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  /** Interval between ticks; 100 ms if absent. */
  readonly tickMs?: base.Millis
  readonly addons: readonly nodeServices.INodeAddon[]
  /** Returns additional fields for `/admin/status`. */
  readonly details?: () => object
}

/** Ports that the process listens on. */
export interface ListeningPorts {
  readonly caller: number
  readonly peer: number
  readonly admin: number
}

/** One node: its servers, the runner and monitor of its target, and the tick timer. */
export class NodeProcess extends disposable.Disposable implements adminServer.IAdministration, nodeServices.INodeView {
  public readonly nodeId: base.NodeId
  public readonly zone: string
  public readonly onCallFinished: nodeServices.INodeView['onCallFinished']
  public readonly onBytes: nodeServices.INodeView['onBytes']
  public readonly onMessageRefused: nodeServices.INodeView['onMessageRefused']
  public readonly onEnforced: nodeServices.INodeView['onEnforced']
  /** Resolves when a planned stop is complete. */
  public readonly stopped: Promise<void>
  private readonly _options: NodeProcessOptions
  private readonly _runtime: nodeRuntime.NodeRuntime
  private readonly _callers: callerServer.CallerServer
  private readonly _peers: peerServer.PeerServer
  private readonly _admin: adminServer.AdminServer
  private _runner: targetRunner.TargetRunner | undefined
  private _monitor: targetMonitor.TargetMonitor | undefined
  private _timer: NodeJS.Timeout | undefined
  private _maxBodyBytes: number | undefined
  private _isStopping = false
  private _isFinishing = false
  /** Time at which caller connections with pending answers are closed. Infinite until the node finishes its stop. */
  private _cutConnectionsAtMs = Infinity
  private _stopStartedAtMs = 0
  private _resolveStopped: () => void = () => {}

  constructor (options: NodeProcessOptions) {
    super()
    this._options = options
    const { settings, core } = options
    this.nodeId = settings.nodeId
    this.zone = settings.zone
    this.stopped = new Promise(resolve => { this._resolveStopped = resolve })
    this._runtime = this._register(this._createRuntime())
    this.onCallFinished = this._runtime.events.onCallFinished
    this.onBytes = this._runtime.events.onBytes
    this.onMessageRefused = this._runtime.events.onMessageRefused
    this.onEnforced = core.services.enforcement.onEnforced
    this._callers = this._register(new callerServer.CallerServer({
      address: addresses.parse(settings.callerAddress),
      owner: this._runtime.entry,
      maxBodyBytes: () => this._maxBodyBytes
    }))
    this._peers = this._register(new peerServer.PeerServer({
      address: addresses.parse(settings.peerAddress),
      onConnection: socket => { this._runtime.links.accept(socket) }
    }))
    this._admin = this._register(new adminServer.AdminServer({ address: addresses.parse(settings.adminAddress), administration: this }))
    if (settings.service !== '') this._addTarget()
    this._register(core.services.enforcement.onEnforced(event => { this._handleEnforced(event) }))
    for (const addon of options.addons) this._register(addon).activate(this)
  }

  public get exposition (): nodeServices.IExposition | undefined {
    return this._options.addons.find(addon => addon.exposition !== undefined)?.exposition
  }

  /** Listens on all addresses, then joins the mesh. */
  public async start (): Promise<ListeningPorts> {
    const peer = await this._peers.listen()
    const caller = await this._callers.listen()
    const admin = await this._admin.listen()
    this._monitor?.start()
    this._timer = setInterval(() => { this._tick() }, this._options.tickMs ?? DEFAULT_TICK_INTERVAL_MS)
    this._tick()
    const { settings } = this._options
    this._options.logger.log('info', 'started', {
      service: settings.service,
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
      announcedPeerAddress: settings.announcedPeerAddress,
      adminAddress: settings.adminAddress
    })
    return { caller, peer, admin }
  }

  /** Begins a graceful shutdown. Repeated calls have no effect. */
  public stop (): void {
    if (this._isStopping) return
    this._isStopping = true
    this._options.logger.log('info', 'stopping')
    this._callers.beginClosing()
    this._stopStartedAtMs = this._options.nowMs()
    this._runtime.beginStop()
    this._tick()
  }

  public drain (): void {
    this._options.logger.log('info', 'draining')
    this._runtime.beginDrain()
    this._tick()
  }

  public undrain (): boolean {
    if (this._isStopping || this._options.core.services.lifecycle.undrain(this._options.nowMs()).isErr()) return false
    this._options.logger.log('info', 'undrained')
    this._tick()
    return true
  }

  public readiness (): distribution.Readiness {
    return this._options.core.readiness(this._options.nowMs())
  }

  public status (): unknown {
    const { membership, enforcement } = this._options.core.services
    const { current } = enforcement
    return {
      self: membership.self,
      readiness: this.readiness(),
      version: current?.version ?? 0,
      digest: current?.digest ?? '',
      members: [...membership.all()].map(row => ({ ...row, enforcedVersion: membership.versionOf(row.nodeId) })),
      ...this._options.details?.()
    }
  }

  public gauges (): nodeServices.NodeGauges {
    const { membership, enforcement, host } = this._options.core.services
    const members: Record<string, number> = {}
    for (const row of membership.all()) members[row.state] = (members[row.state] ?? 0) + 1
    return {
      enforcedVersion: enforcement.current?.version ?? 0,
      floorVersion: enforcement.floorVersion,
      members,
      entryInFlight: this._runtime.entry.size,
      load: host.load,
      openLinks: this._runtime.links.openCount,
      residentBytes: process.memoryUsage.rss(),
      readiness: this.readiness()
    }
  }

  /** Reports a well-formed message or state that the core refused. */
  public reportCoreRefusal (error: Error): void {
    this._runtime.events.fireMessageRefused({ source: 'peer', reason: error.message })
  }

  public override dispose (): void {
    clearInterval(this._timer)
    super.dispose()
  }

  private _createRuntime (): nodeRuntime.NodeRuntime {
    const { settings, core, effects, logger, random, nowMs } = this._options
    const client = this._register(new logClient.LogClient({
      logUrl: settings.logUrl,
      onAnswerRefused: error => {
        logger.log('warn', 'log-answer-refused', { problem: error.message })
        this._runtime.events.fireMessageRefused({ source: 'log', reason: error.message })
      }
    }))
    return new nodeRuntime.NodeRuntime({ core, effects, logClient: client, logger, random, nowMs })
  }

  private _addTarget (): void {
    const { settings, logger, nowMs } = this._options
    const monitor = this._register(new targetMonitor.TargetMonitor({
      targetUrl: settings.targetUrl,
      healthPath: settings.targetHealthPath,
      onChange: ready => { this._runtime.handleTargetChange(ready) },
      logger
    }))
    this._monitor = monitor
    this._runner = this._register(new targetRunner.TargetRunner({
      targetUrl: settings.targetUrl,
      slots: INITIAL_SLOTS,
      connections: INITIAL_CONNECTIONS,
      listener: this._runtime.host,
      onRefusedConnection: () => { monitor.handleRefusedConnection() },
      confirmDeath: () => monitor.confirmDeath(),
      nowMs
    }))
    this._runtime.host.setRunner(this._runner)
  }

  private _handleEnforced (event: distribution.VersionEnforced): void {
    const document = this._options.core.services.enforcement.current?.document
    if (document === undefined) return
    const maxBodyBytes = Math.max(0, ...document.routes.map(route => route.limits.maxBodyBytes))
    this._maxBodyBytes = Math.min(maxBodyBytes, peerLinks.MAX_CALL_BODY_BYTES)
    const service = document.services.find(service => service.name === this._options.settings.service)
    if (service !== undefined) this._runner?.setLimits(service.slots, service.connections)
    this._options.logger.log('info', 'enforced', { enforcedVersion: event.version, digest: event.digest })
  }

  private _tick (): void {
    this._runtime.tick()
    if (!this._isStopping) return
    const nowMs = this._options.nowMs()
    if (nowMs >= this._cutConnectionsAtMs) this._callers.closeAll()
    if (!this._isFinishing && this._options.core.services.lifecycle.canExit(nowMs)) this._finish().catch(error => { this._options.logger.log('error', 'stop-failed', { problem: String(error) }) })
  }

  /** Time after which no accepted call is answered: none outlives the longest time-out of a route, and no body is read longer than the drain time. */
  private _answerDeadlineMs (): base.Millis {
    const document = this._options.core.services.enforcement.current?.document
    const timeoutMs = Math.max(0, ...(document?.routes ?? []).map(route => route.timeoutMs))
    return Math.max(this._options.nowMs() + timeoutMs, this._stopStartedAtMs + (document?.terms.drainMs ?? 0))
  }

  /** Completes the stop once no more work arrives from the mesh. Answers to callers are still written. */
  private async _finish (): Promise<void> {
    this._isFinishing = true
    this._cutConnectionsAtMs = this._answerDeadlineMs()
    await this._callers.close()
    this._options.logger.log('info', 'stopped', { cutConnections: this._callers.cutConnections })
    this.dispose()
    this._resolveStopped()
  }
}
