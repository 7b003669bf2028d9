import * as versionHealth from '@elmpost/common/direct/VersionHealth.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import type * as types from './Types.js'

/** Targets are slow for some seconds after their start. Their times, and runs that are too late, do not count in this time. */
const COLD_MS = 3_000
const FIRST_ERROR_STATUS = 500

interface Counts {
  answers: number
  bad: number
  timeMs: base.Millis
  readonly times: number[]
}

/** Counts the answers of the target beside this node by class of calls, while its service is rolled out. */
export class RunCounter {
  private readonly _classes = new Map<string, Counts>()
  private _targetId: string | undefined
  private _sinceMs: base.Millis = -Infinity

  public get sums (): rolloutTypes.VersionSums {
    return new Map([...this._classes].map(([name, counts]) => [name, { ...counts, times: [...counts.times] }]))
  }

  public reset (): void {
    this._classes.clear()
  }

  /** Begins anew if the target is another one. */
  public setTarget (target: direct.ReportedTarget | undefined, nowMs: base.Millis): void {
    const id = target === undefined ? undefined : `${target.targetId} ${target.softwareVersion ?? ''}`
    if (id === this._targetId) return
    this._targetId = id
    this._sinceMs = nowMs
    this.reset()
  }

  /** Counts the end of a run. Returns whether it is evidence against the version. */
  public record (className: string, result: types.RunResult, tookMs: base.Millis, nowMs: base.Millis): boolean {
    if (result.kind !== 'answered' && result.kind !== 'failed') return false
    const isCold = nowMs - this._sinceMs < COLD_MS
    if (isCold && result.kind === 'failed' && result.reason === 'timeout') return false
    const isBad = result.kind === 'failed' || result.answer.status >= FIRST_ERROR_STATUS
    const counts = this._countsOf(className)
    counts.answers += 1
    if (isBad) counts.bad += 1
    else if (!isCold) addTime(counts, result.kind === 'answered' ? result.serviceMs : tookMs)
    return isBad
  }

  private _countsOf (className: string): Counts {
    let counts = this._classes.get(className)
    if (counts === undefined) {
      counts = { answers: 0, bad: 0, timeMs: 0, times: [] }
      this._classes.set(className, counts)
    }
    return counts
  }
}

function addTime (counts: Counts, timeMs: base.Millis): void {
  const bucket = versionHealth.bucketOf(timeMs)
  while (counts.times.length <= bucket) counts.times.push(0)
  counts.times[bucket] = (counts.times[bucket] ?? 0) + 1
  counts.timeMs += timeMs
}
