import * as addresses from './Addresses.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as http from 'node:http'
import type * as services from './Services.js'
import type * as types from './Types.js'

const RETRY_MS = 50

export interface ServerBinderOptions {
  readonly logger: services.ILogger
}

/**
 * Binds servers to their addresses and waits for ports that are in use, because an earlier process may not have released
 * them yet. Any other error fails at once. Errors of a bound server, such as a failed accept, are logged.
 */
export class ServerBinder implements services.IServerBinder, base.IDisposable {
  private readonly _timers = new Set<NodeJS.Timeout>()
  private _isDisposed = false

  constructor (private readonly _options: ServerBinderOptions) {}

  public async bind (server: http.Server, address: types.Address): Promise<number> {
    const { logger } = this._options
    const name = addresses.format(address)
    for (let isWaiting = false; ;) {
      try {
        const port = await addresses.listen(server, address)
        server.on('error', error => { logger.log('error', 'server-error', { address: name, problem: error.message }) })
        if (isWaiting) logger.log('info', 'port-free', { address: name })
        return port
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error
        if (!isWaiting) logger.log('warn', 'port-in-use', { address: name })
        isWaiting = true
        await this._pause()
      }
    }
  }

  /** Ends all waiting: the servers that are not bound yet stay so. */
  public dispose (): void {
    this._isDisposed = true
    for (const timer of this._timers) clearTimeout(timer)
    this._timers.clear()
  }

  private _pause (): Promise<void> {
    return new Promise(resolve => {
      if (this._isDisposed) return
      const timer = setTimeout(() => {
        this._timers.delete(timer)
        resolve()
      }, RETRY_MS)
      this._timers.add(timer)
    })
  }
}
