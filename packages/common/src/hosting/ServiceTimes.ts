import type * as base from '../base/Types.js'

/** Weight of the newest service time in the moving averages. */
const NEWEST_WEIGHT = 0.1

/** Moving averages of the service times of a target and of their distance from the mean. */
export class ServiceTimes {
  private _count = 0
  /** Service times in the averages, including the initial weight and those from before a restart of the target. */
  private _averagedCount: number
  private _deviationMs: base.Millis = 0

  /** `_meanMs` is the mean before the first service time; it counts as much as `weight` service times. */
  constructor (private _meanMs: base.Millis, weight = 1 / NEWEST_WEIGHT) {
    this._averagedCount = weight
  }

  /** Service times recorded since the target last started. */
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
    this._averagedCount += 1
    const weight = Math.max(NEWEST_WEIGHT, 1 / this._averagedCount)
    this._meanMs += weight * errorMs
    this._deviationMs += NEWEST_WEIGHT * (Math.abs(errorMs) - this._deviationMs)
  }

  /** Handles a restart of the target, whose first answers may be slow. The averages stay as the best estimate. */
  public handleRestart (): void {
    this._count = 0
  }
}
