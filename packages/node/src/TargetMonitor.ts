import * as httpClients from './HttpClients.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

const READY_INTERVAL_MS = 1000
const NOT_READY_INTERVAL_MS = 200
const HEALTH_TIMEOUT_MS = 500

export interface TargetMonitorOptions {
  readonly targetUrl: string
  readonly healthPath: string
  readonly changed: (ready: boolean) => void
  readonly logger: services.ILogger
}

/** `reset` is ambiguous: a target at its connection limit also closes a new connection. */
type Health = 'answers' | 'busy' | 'refused' | 'reset'

/**
 * Announces whether the target is up. It becomes ready when it accepts a connection and its health path
 * answers 2xx, and not ready only when it refuses or breaks connections: a health endpoint may lag or mislead.
 */
export class TargetMonitor implements base.IDisposable {
  private readonly _options: TargetMonitorOptions
  private _isReady = false
  private _timer: NodeJS.Timeout | undefined
  private _isDisposed = false
  private _deathCheck: Promise<boolean> | undefined

  constructor (options: TargetMonitorOptions) {
    this._options = options
  }

  public get isReady (): boolean {
    return this._isReady
  }

  public start (): void {
    this._checkAndLog()
  }

  /** A connection was refused: the target is gone at once, without a check. */
  public refused (): void {
    this._set(false)
  }

  /** Whether the target is gone, after it broke a connection. Calls at the same time share one check. */
  public confirmDeath (): Promise<boolean> {
    this._deathCheck ??= this._checkDeath()
    return this._deathCheck
  }

  /** Checks once and schedules the next check. */
  public async check (): Promise<void> {
    clearTimeout(this._timer)
    const health = await this._probe()
    if (this._isDisposed) return
    if (health === 'answers') this._set(true)
    else if (health === 'refused') this._set(false)
    this._timer = setTimeout(() => { this._checkAndLog() }, this._isReady ? READY_INTERVAL_MS : NOT_READY_INTERVAL_MS)
    this._timer.unref()
  }

  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
  }

  private _checkAndLog (): void {
    this.check().catch(error => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private async _checkDeath (): Promise<boolean> {
    const health = await this._probe()
    this._deathCheck = undefined
    const isDead = health === 'refused' || health === 'reset'
    if (isDead) this._set(false)
    return isDead
  }

  /** Opens a connection of its own, because a kept one tells nothing about a restarted target. */
  private async _probe (): Promise<Health> {
    const client = new httpClients.Client(this._options.targetUrl, { connect: { timeout: HEALTH_TIMEOUT_MS }, headersTimeout: HEALTH_TIMEOUT_MS })
    try {
      const answer = await client.request({ path: this._options.healthPath, method: 'GET', signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS) })
      await answer.body.dump()
      return answer.statusCode >= 200 && answer.statusCode < 300 ? 'answers' : 'busy'
    } catch (error) {
      return healthOfError(error)
    } finally {
      client.destroy().catch(() => {})
    }
  }

  private _set (ready: boolean): void {
    if (this._isReady === ready || this._isDisposed) return
    this._isReady = ready
    this._options.logger.log(ready ? 'info' : 'warn', ready ? 'target-ready' : 'target-not-ready')
    this._options.changed(ready)
  }
}

function healthOfError (error: unknown): Health {
  const code = (error as NodeJS.ErrnoException | undefined)?.code
  if (code === 'ECONNREFUSED') return 'refused'
  return code === 'ECONNRESET' || code === 'UND_ERR_SOCKET' || code === 'EPIPE' ? 'reset' : 'busy'
}
