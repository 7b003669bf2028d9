import type * as base from '../base/Types.js'

/** A version that was the newest one at a time, and is not in force here yet. */
interface NewerVersion {
  readonly version: number
  readonly atMs: base.Millis
}

/** Until when the version in force on this node is known to have been the newest one in the store. */
export class VersionFreshness {
  private _confirmedAtMs = -Infinity
  private _newer: NewerVersion | undefined

  /** `version`: version in force. */
  constructor (private readonly _nowMs: () => base.Millis, private readonly _version: () => number) {}

  /** On the monotonic clock of this process; -Infinity before the first report. */
  public get confirmedAtMs (): base.Millis {
    if (this._newer !== undefined && this._newer.version <= this._version()) {
      this._confirmedAtMs = Math.max(this._confirmedAtMs, this._newer.atMs)
      this._newer = undefined
    }
    return this._confirmedAtMs
  }

  /** Infinity before the first report. */
  public get ageMs (): base.Millis {
    return this._nowMs() - this.confirmedAtMs
  }

  /**
   * Records that `version` was the newest one `ageMs` ago. A newer version than the one in force counts when it is in force here.
   * A report about an older one does not count, because its sender may not know how old it is.
   */
  public record (version: number, ageMs: base.Millis): void {
    const atMs = this._nowMs() - ageMs
    if (version < this._version()) return
    if (version === this._version()) {
      this._confirmedAtMs = Math.max(this._confirmedAtMs, atMs)
      return
    }
    const isLater = this._newer === undefined || version > this._newer.version || (version === this._newer.version && atMs > this._newer.atMs)
    if (isLater) this._newer = { version, atMs }
  }
}
