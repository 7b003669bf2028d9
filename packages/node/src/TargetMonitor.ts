import * as http from 'node:http'
import * as https from 'node:https'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

const READY_INTERVAL_MS = 1000
const NOT_READY_INTERVAL_MS = 200
const HEALTH_TIMEOUT_MS = 500

export interface TargetMonitorOptions {
  readonly targetUrl: string
  readonly healthPath: string
  readonly onChange: (ready: boolean) => void
  readonly logger: services.ILogger
}

/** `reset` is ambiguous: a target at its connection limit also closes a new connection. */
type Health = 'answers' | 'busy' | 'refused' | 'reset'

/**
 * Reports whether the target is ready. It becomes ready when its health path answers 2xx, and not ready only when it
 * refuses or breaks connections, because the answer of a health endpoint may be late or wrong.
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

  /** Marks the target not ready without a check, because it refused a connection. */
  public handleRefusedConnection (): void {
    this._setReady(false)
  }

  /** Checks whether a target that broke a connection has died. Concurrent calls share one check. */
  public confirmDeath (): Promise<boolean> {
    this._deathCheck ??= this._checkDeath()
    return this._deathCheck
  }

  /** Checks once and schedules the next check. */
  public async check (): Promise<void> {
    clearTimeout(this._timer)
    const health = await this._probe()
    if (this._isDisposed) return
    if (health === 'answers') this._setReady(true)
    else if (health === 'refused') this._setReady(false)
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
    if (isDead) this._setReady(false)
    return isDead
  }

  /**
   * Opens a new connection each time, because a kept one says nothing about a restarted target. `node:http` takes about
   * half the CPU time of an `undici` client for a single request, and the probe is the largest cost of an idle node.
   */
  private async _probe (): Promise<Health> {
    try {
      const status = await requestStatus(this._options.targetUrl, this._options.healthPath)
      return status >= 200 && status < 300 ? 'answers' : 'busy'
    } catch (error) {
      return healthOfError(error)
    }
  }

  private _setReady (ready: boolean): void {
    if (this._isReady === ready || this._isDisposed) return
    this._isReady = ready
    this._options.logger.log(ready ? 'info' : 'warn', ready ? 'target-ready' : 'target-not-ready')
    this._options.onChange(ready)
  }
}

/** Resolves with the status when the answer has ended, also if the answer is truncated. */
function requestStatus (targetUrl: string, path: string): Promise<number> {
  const { get } = targetUrl.startsWith('https:') ? https : http
  return new Promise((resolve, reject) => {
    const request = get(targetUrl, { path, agent: false }, response => {
      response.on('error', () => {})
      response.on('close', () => { resolve(response.statusCode ?? 0) })
      response.resume()
    })
    const timer = setTimeout(() => {
      reject(new Error('the health request timed out'))
      request.destroy()
    }, HEALTH_TIMEOUT_MS)
    request.on('error', reject)
    request.on('close', () => { clearTimeout(timer) })
  })
}

function healthOfError (error: unknown): Health {
  const code = (error as NodeJS.ErrnoException | undefined)?.code
  if (code === 'ECONNREFUSED') return 'refused'
  return code === 'ECONNRESET' || code === 'EPIPE' ? 'reset' : 'busy'
}
