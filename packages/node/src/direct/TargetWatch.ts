import * as targetRegister from '@elmpost/common/direct/TargetRegister.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Interval between health checks of a target that does not accept connections or has not announced itself. */
const PROBE_INTERVAL_MS = 500
const PROBE_TIMEOUT_MS = 400
/** Slots assumed for a target that has not announced its slots. */
const DEFAULT_SLOTS = 4

export interface TargetWatchOptions {
  readonly settings: types.DirectSettings
  readonly client: () => services.ITargetClient
  readonly healthPath: () => string | undefined
  readonly nowMs: () => base.Millis
  readonly logger: nodeServices.ILogger
  /** Whether a health check may be sent now. It counts towards the rate limit that the target has advertised. */
  readonly mayProbe: () => boolean
  /** A health check was answered, by whichever target has the address. */
  readonly onHealth: (health: types.TargetHealth) => void
  /** The state, the slots or the id of the target has changed. */
  readonly onChange: () => void
}

/** State of the target beside the node, from its announcements, from the results of calls and, if these leave it open, from health checks. */
export class TargetWatch {
  private readonly _options: TargetWatchOptions
  private readonly _register: targetRegister.TargetRegister
  private _isUp = false
  /** The target was found by a health check, which only returns its id. */
  private _isProbed = false
  private _isSilent = false
  private _isProbing = false
  private _probeAtMs = 0

  constructor (options: TargetWatchOptions) {
    this._options = options
    this._register = new targetRegister.TargetRegister(options.settings.service, options.settings.targetAddress)
  }

  public get state (): direct.TargetState {
    const { current } = this._register
    if (current === undefined) return 'absent'
    if (current.isLeaving) return 'leaving'
    return this._isUp ? 'ready' : 'down'
  }

  /** The target does not even answer health checks, so running calls will get no answer either. */
  public get isSilent (): boolean {
    return this._isSilent && this.state === 'down'
  }

  public get targetId (): string | undefined {
    return this._register.current?.targetId
  }

  /** What other nodes are told of the target. */
  public get reported (): direct.ReportedTarget | undefined {
    const { current } = this._register
    return current === undefined ? undefined : { targetId: current.targetId, startedAtMs: current.startedAtMs, isLeaving: current.isLeaving, ...versionOf(current) }
  }

  /** State that the next process of this node can start from. */
  public get knownTarget (): direct.KnownTarget | undefined {
    const { current } = this._register
    // The slots of a target that was found by a health check are not known yet. That it is leaving must always be recorded.
    if (this._isProbed && current?.isLeaving !== true) return undefined
    return current === undefined ? undefined : { targetId: current.targetId, startedAtMs: current.startedAtMs, slots: current.slots, isLeaving: current.isLeaving, ...versionOf(current) }
  }

  public get slots (): number {
    return this._register.current?.slots ?? 1
  }

  /** Restores the state that an earlier process of this node has recorded. */
  public restore (target: direct.KnownTarget): void {
    this._register.restore(target)
    this._isProbed = false
    this._probeAtMs = 0
  }

  /** Applies an announcement. Returns false if it is not about the target beside this node. */
  public recordAnnouncement (announcement: direct.Announcement): boolean {
    const before = this.state
    const startBeforeMs = this.reported?.startedAtMs
    const result = this._register.applyAnnouncement(announcement)
    const { targetId, sequence, state, slots, startedAtMs } = announcement
    if (result === 'foreign') {
      this._options.logger.log('warn', 'announcement-foreign', { target: targetId, service: announcement.service, address: announcement.address })
      return false
    }
    if (result !== 'outdated') {
      this._isUp = true
      this._isProbed = false
    }
    if (result === 'new' || result === 'changed') this._options.logger.log('info', 'target-announced', { target: targetId, state, slots, sequence, startedAtMs, result })
    if (result === 'new' || result === 'changed' || before !== this.state || startBeforeMs !== this.reported?.startedAtMs) this._options.onChange()
    return true
  }

  /** The target has ended or is about to. Returns false if it is not the current target. */
  public recordLeaving (targetId: string, startedAtMs?: base.Millis): boolean {
    const isCurrent = this._register.markLeaving(targetId, startedAtMs)
    this._options.logger.log('info', 'target-left', { target: targetId, current: isCurrent })
    if (isCurrent) this._options.onChange()
    return isCurrent
  }

  /** The target does not accept connections, or does not answer. */
  public markUnreachable (code: string): void {
    if (!this._isUp) return
    this._isUp = false
    this._isSilent = code === 'silent'
    this._probeAtMs = this._options.nowMs() + PROBE_INTERVAL_MS
    this._options.logger.log('warn', 'target-unreachable', { target: this.targetId, code })
    this._options.onChange()
  }

  /** Another target answers at the address. */
  public markDisplaced (targetId: string): void {
    this._options.logger.log('warn', 'target-displaced', { target: this.targetId, by: targetId })
    this._register.markDisplaced()
    this._isUp = false
    this._probeAtMs = 0
    this._options.onChange()
  }

  /** Checks the health of a target that does not answer calls. It is down if it does not answer the check either. */
  public checkHealth (): void {
    if (this.state !== 'ready' || this._isProbing || this._options.nowMs() < this._probeAtMs) return
    this._probe(health => {
      if (health === undefined) this.markUnreachable('silent')
    })
  }

  public tick (): void {
    const { state } = this
    if ((state !== 'down' && state !== 'absent') || this._isProbing || this._options.nowMs() < this._probeAtMs) return
    this._probe(health => {
      if (health?.isHealthy === true) this._handleHealthy(health)
    })
  }

  private _probe (onResult: (health: types.TargetHealth | undefined) => void): void {
    const path = this._options.healthPath()
    if (path === undefined || !this._options.mayProbe()) return
    this._isProbing = true
    this._probeAtMs = this._options.nowMs() + PROBE_INTERVAL_MS
    this._options.client().health(path, PROBE_TIMEOUT_MS).then(health => {
      this._isProbing = false
      if (health !== undefined) this._options.onHealth(health)
      onResult(health)
    }, error => {
      this._isProbing = false
      this._options.logger.log('error', 'unexpected-error', { problem: String(error) })
    })
  }

  private _handleHealthy ({ targetId }: types.TargetHealth): void {
    if (targetId === undefined || this._isUp) return
    const { current } = this._register
    if (current?.isLeaving === true && current.targetId === targetId) return
    if (current?.targetId !== targetId) {
      if (current !== undefined) this._register.markDisplaced()
      this._register.restore({ targetId, startedAtMs: 0, slots: DEFAULT_SLOTS, isLeaving: false })
      this._isProbed = true
    }
    this._isUp = true
    this._options.logger.log('info', 'target-answers', { target: targetId, slots: this.slots })
    this._options.onChange()
  }
}

function versionOf ({ softwareVersion }: direct.ReportedTarget): Pick<direct.ReportedTarget, 'softwareVersion'> {
  return softwareVersion === undefined ? {} : { softwareVersion }
}
