import * as childProcess from 'node:child_process'
import * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'
import * as faultRelay from './FaultRelay.js'
import * as fs from 'node:fs'
import * as ports from '../harness/ports.js'
import * as path from 'node:path'
import * as targetStandIn from '@elmpost/platform/standins/TargetStandIn.js'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import type * as storeStandIn from '@elmpost/platform/standins/StoreStandIn.js'

/** Run time of a call on a target, so that faults occur while calls run. */
const WORK_MS = 60
/** Interval between two announcements of a target. */
const ANNOUNCE_INTERVAL_MS = 500
/** Log lines that are kept for failure reports. */
const MAX_LOG_LINES = 400
/** Delay before a process that has ended is started again. */
const RESTART_DELAY_MS = 200

/** Child processes, killed on exit so that none outlives the soak. */
const running = new Set<childProcess.ChildProcess>()
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

export interface SoakNodeOptions {
  readonly name: string
  readonly service: string
  readonly zone: string
  /** Slots of the target. */
  readonly slots: number
  /** The bundled program. */
  readonly program: string
  readonly folder: string
  readonly store: storeStandIn.StoreStandIn
  readonly storePort: number
}

/** A node in its own process, with the target beside it and relays on its connections to peers, store and target. */
export class SoakNode {
  public readonly target: targetStandIn.TargetStandIn
  public readonly peerRelay: faultRelay.FaultRelay
  public readonly storeRelay: faultRelay.FaultRelay
  public readonly targetRelay: faultRelay.FaultRelay
  public readonly logLines: string[] = []
  public caller: callerStandIn.CallerStandIn
  /** Called when the leaving of a target has been acknowledged. */
  public onLeavingAcknowledged: (targetId: string) => void = () => {}
  private readonly _options: SoakNodeOptions
  private _process: childProcess.ChildProcess | undefined
  private _ports = { caller: 0, ready: 0, control: 0, peer: 0, status: 0 }
  private _targetState: 'ready' | 'draining' | 'signalling-leaving' | 'gone' = 'ready'
  private _targetStartCount = 0
  private _targetPort = 0
  private _isClosing = false

  constructor (options: SoakNodeOptions) {
    this._options = options
    this.target = new targetStandIn.TargetStandIn(this._nextTargetId(), options.service, options.slots)
    this.target.workMs = WORK_MS
    this.peerRelay = new faultRelay.FaultRelay(() => this._ports.peer)
    this.storeRelay = new faultRelay.FaultRelay(() => options.storePort)
    this.targetRelay = new faultRelay.FaultRelay(() => this._targetPort)
    this.caller = new callerStandIn.CallerStandIn('127.0.0.1:1')
  }

  public get name (): string {
    return this._options.name
  }

  public get service (): string {
    return this._options.service
  }

  public get isRunning (): boolean {
    return this._process !== undefined
  }

  public async start (): Promise<void> {
    const [caller = 0, ready = 0, control = 0, peer = 0, status = 0, target = 0] = await ports.findFreePorts(6)
    this._ports = { caller, ready, control, peer, status }
    await this.caller.close()
    this.caller = new callerStandIn.CallerStandIn(`127.0.0.1:${caller}`)
    // A restarted target listens on the same port.
    this._targetPort = target
    await this.target.listen(target)
    this.target.address = `127.0.0.1:${await this.targetRelay.listen()}`
    const peerPort = await this.peerRelay.listen()
    const settings = {
      nodeName: this.name,
      zone: this._options.zone,
      service: this._options.service,
      ip: '127.0.0.1',
      peerPorts: [peerPort, peerPort],
      peerListenAddress: `127.0.0.1:${peer}`,
      seeds: [],
      targetAddress: this.target.address,
      callerAddress: `127.0.0.1:${caller}`,
      readyAddress: `127.0.0.1:${ready}`,
      controlAddress: `127.0.0.1:${control}`,
      storeAddress: `127.0.0.1:${await this.storeRelay.listen()}`,
      statusPort: status,
      bounds: { grace: '6s', 'retry-budget-ratio': '0.2', 'budget-slack': '60', 'budget-window': '10s' }
    }
    fs.writeFileSync(this._settingsPath, JSON.stringify(settings))
    this._spawn()
    this._announcePeriodically()
  }

  /** Keeps the target from announcing itself. */
  public holdTarget (): void {
    this._targetState = 'gone'
  }

  public releaseTarget (): void {
    this._targetState = 'ready'
  }

  /** Sends a signal to the process of this node only. */
  public signal (signal: NodeJS.Signals): void {
    this._process?.kill(signal)
  }

  /** Resolves when the current process has exited. A new one is started shortly afterwards. */
  public async waitForExit (): Promise<void> {
    const running = this._process
    if (running === undefined || running.exitCode !== null || running.signalCode !== null) return
    await new Promise(resolve => { running.once('exit', resolve) })
  }

  public async isReady (): Promise<boolean> {
    const answer = await undici.request(`http://127.0.0.1:${this._ports.ready}/v1/readiness`).catch(() => undefined)
    await answer?.body.dump()
    return answer?.statusCode === 200
  }

  /** Announces that the target is draining, lets it serve for the given time, then replaces it. */
  public async replaceTarget (servesForMs: number): Promise<void> {
    if (this._targetState !== 'ready') return
    this._targetState = 'draining'
    await this._announce()
    await timers.setTimeout(servesForMs)
    await this.target.deregister(this._controlAddress).catch(() => 0)
    await this._restartTarget()
  }

  /** Makes the target signal in its answers only that it is leaving, and replaces it after the given time. */
  public async replaceTargetUnannounced (servesForMs: number): Promise<void> {
    if (this._targetState !== 'ready') return
    this._targetState = 'signalling-leaving'
    this.target.signalLeaving()
    await timers.setTimeout(servesForMs)
    await this.target.deregister(this._controlAddress).catch(() => 0)
    await this._restartTarget()
  }

  /** Makes the target advertise a rate limit in its answers for the given time. Calls `onChange` with each limit; Infinity at the end. */
  public async limitTarget (maxCallsPerS: number, durationMs: number, onChange: (targetId: string, maxCallsPerS: number) => void): Promise<void> {
    const { targetId } = this.target
    if (this._targetState !== 'ready' || Object.keys(this.target.notices).length > 0) return
    this.target.advertiseLimit(maxCallsPerS)
    const { notices } = this.target
    onChange(targetId, maxCallsPerS)
    await timers.setTimeout(durationMs)
    onChange(targetId, Infinity)
    if (this.target.notices === notices) this.target.advertiseLimit(undefined)
  }

  /** Ends the target without notice and replaces it after `downMs`. */
  public async crashTarget (downMs: number): Promise<void> {
    if (this._targetState !== 'ready') return
    this._targetState = 'gone'
    await this.target.close()
    await timers.setTimeout(downMs)
    await this._restartTarget()
  }

  public async close (): Promise<void> {
    this._isClosing = true
    const ended = this.waitForExit()
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await ended
    await this.caller.close()
    await Promise.all([this.peerRelay.close(), this.storeRelay.close(), this.targetRelay.close()])
    await this.target.close()
  }

  private get _settingsPath (): string {
    return path.join(this._options.folder, `${this.name}.json`)
  }

  private get _controlAddress (): string {
    return `127.0.0.1:${this._ports.control}`
  }

  private _spawn (): void {
    if (this._isClosing) return
    const { program, folder } = this._options
    const child = childProcess.spawn(process.execPath, ['--max-old-space-size=96', program], { cwd: folder, env: { ...process.env, ELMPOST_CONFIG: this._settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this._process = child
    running.add(child)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (part: Buffer) => { this._addLines(part) })
    child.once('exit', () => {
      this._process = undefined
      running.delete(child)
      setTimeout(() => { this._spawn() }, RESTART_DELAY_MS)
    })
  }

  private _addLines (part: Buffer): void {
    this.logLines.push(...part.toString().split('\n').filter(line => line !== ''))
    this.logLines.splice(0, Math.max(0, this.logLines.length - MAX_LOG_LINES))
  }

  private _announcePeriodically (): void {
    if (this._isClosing) return
    this._announce().finally(() => { setTimeout(() => { this._announcePeriodically() }, ANNOUNCE_INTERVAL_MS) }).catch(() => {})
  }

  private async _announce (): Promise<void> {
    if (this._targetState === 'gone') return
    const { targetId } = this.target
    const isLeaving = this._targetState === 'draining'
    const status = await this.target.announce(this._controlAddress, isLeaving ? 'draining' : 'ready').catch(() => 0)
    if (status === 200 && isLeaving) this.onLeavingAcknowledged(targetId)
  }

  private async _restartTarget (): Promise<void> {
    const relayAddress = this.target.address
    await this.target.close()
    this.target.targetId = this._nextTargetId()
    this.target.advertiseLimit(undefined)
    await this.target.listen(this._targetPort).catch((error: unknown) => {
      throw new Error(`The target of ${this.name} cannot listen again. Sockets of its port: ${ports.socketsOf(this._targetPort).join('; ')}`, { cause: error })
    })
    this.target.address = relayAddress
    this._targetState = 'ready'
  }

  private _nextTargetId (): string {
    this._targetStartCount += 1
    return `${this._options.name}-t${this._targetStartCount}`
  }
}
