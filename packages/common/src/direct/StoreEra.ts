import * as emitter from '../base/Emitter.js'
import type * as base from '../base/Types.js'

/** Highest era of the store that this node knows, from the store or from other nodes. It rises when the store comes back from an older copy. */
export class StoreEra {
  private readonly _returnEmitter = new emitter.Emitter<number>()
  /** Fires with the new era. Writes of the last seconds before the return are lost, and offsets are given out again. */
  public readonly onReturn: base.IEvent<number> = this._returnEmitter.event
  private _current: number | undefined

  /** Undefined as long as nobody has told it. */
  public get current (): number | undefined {
    return this._current
  }

  /** Records the era of an answer or report. False if it is earlier than the known one, so that its content is out of date. */
  public record (era: number | undefined): boolean {
    if (era === undefined || era === this._current) return true
    const previous = this._current
    if (previous !== undefined && era < previous) return false
    this._current = era
    // What was written in the first era that this process knows is not known to be lost.
    if (previous !== undefined) this._returnEmitter.fire(era)
    return true
  }
}
