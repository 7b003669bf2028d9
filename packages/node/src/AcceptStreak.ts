import type * as base from '@elmpost/common/base/Types.js'

export interface AcceptStreakOptions {
  readonly nowMs: () => base.Millis
  /** Called when a turn has accepted no connection, with how long the last one may have waited and how many were accepted. */
  readonly onEnd: (waitMs: base.Millis, connections: number) => void
}

/**
 * Consecutive turns of the event loop that each accepted a connection. Node.js accepts one connection in each turn, so
 * further ones may wait in the kernel for as long as the streak lasts, with requests that no timer of the process counts.
 */
export class AcceptStreak implements base.IDisposable {
  private readonly _options: AcceptStreakOptions
  private _sinceMs: base.Millis = 0
  private _connections = 0
  private _hasAccepted = false
  private _immediate: NodeJS.Immediate | undefined

  constructor (options: AcceptStreakOptions) {
    this._options = options
  }

  /** Whether connections may be waiting to be accepted. */
  public get isActive (): boolean {
    return this._immediate !== undefined
  }

  /** How long a connection that is accepted now may have waited; 0 outside a streak. */
  public get waitMs (): base.Millis {
    return this.isActive ? this._options.nowMs() - this._sinceMs : 0
  }

  public recordAccept (): void {
    this._hasAccepted = true
    this._connections += 1
    if (this.isActive) return
    this._sinceMs = this._options.nowMs()
    this._scheduleTurnEnd()
  }

  public dispose (): void {
    clearImmediate(this._immediate)
  }

  private _scheduleTurnEnd (): void {
    this._immediate = setImmediate(() => { this._endTurn() })
  }

  private _endTurn (): void {
    if (this._hasAccepted) {
      this._hasAccepted = false
      this._scheduleTurnEnd()
      return
    }
    const { waitMs } = this
    const connections = this._connections
    this._immediate = undefined
    this._connections = 0
    this._options.onEnd(waitMs, connections)
  }
}
