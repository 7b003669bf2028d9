import type * as base from '../base/Types.js'

/** Weight of the newest service time in the moving averages. */
const NEWEST_WEIGHT = 0.1

/** Moving averages of the service times of a target and of their distance from the mean. */
export class ServiceTimes {
  private _count = 0
  /** Service times in the averages, those of earlier starts included. */
  private _recorded: number
  private _deviationMs: base.Millis = 0

  /** `_meanMs` is assumed before the first service time, and counts for `weight` of them after it. */
  constructor (private _meanMs: base.Millis, weight = 1 / NEWEST_WEIGHT) {
    this._recorded = weight
  }

  /** Service times recorded since the target has started. */
  public get count (): number {
    return this._count
  }

  public get meanMs (): base.Millis {
    return this._meanMs
  }

  /** Mean distance of the service times from the mean. */
  public get deviationMs (): base.Millis {
    return this._deviationMs
  }

  public record (serviceMs: base.Millis): void {
    const errorMs = serviceMs - this._meanMs
    this._count += 1
    this._recorded += 1
    const weight = Math.max(NEWEST_WEIGHT, 1 / this._recorded)
    this._meanMs += weight * errorMs
    this._deviationMs += NEWEST_WEIGHT * (Math.abs(errorMs) - this._deviationMs)
  }

  /** The target has started again, so its first answers may be slow. The averages stay as the best guess. */
  public handleRestart (): void {
    this._count = 0
  }
}
