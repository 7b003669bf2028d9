import * as hdr from 'hdr-histogram-js'
import type * as types from './Types.js'

/** Latencies are recorded in steps of 10 microseconds. */
const STEPS_PER_MS = 100

export interface TallySummary {
  readonly offeredPerS: number
  readonly goodputPerS: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly latePercent: number
  readonly failedPercent: number
  readonly refusedPercent: number
  readonly unknownPercent: number
  readonly refusalP99Ms: number
  readonly sendsPerCall: number
  readonly duplicateRuns: number
}

/** Counts the calls that began in the measured part of a run. */
export class Tally {
  private readonly _accepted = hdr.build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 100_000_000 })
  private readonly _refusals = hdr.build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 100_000_000 })
  private readonly _ends = { answered: 0, failed: 0, refused: 0, unknown: 0 }
  private readonly _deadlineMs: number
  private _calls = 0
  private _onTime = 0
  private _late = 0
  private _sends = 0
  private _duplicateRuns = 0

  constructor (deadlineMs: number) {
    this._deadlineMs = deadlineMs
  }

  public recordEnd (call: types.ClientCall, end: types.CallEnd, nowMs: number): void {
    const latencyMs = nowMs - call.startedAtMs
    this._calls += 1
    this._ends[end] += 1
    if (end === 'refused') this._refusals.recordValue(Math.round(latencyMs * STEPS_PER_MS))
    if (end !== 'answered') return
    this._accepted.recordValue(Math.round(latencyMs * STEPS_PER_MS))
    if (latencyMs <= this._deadlineMs) this._onTime += 1
    else this._late += 1
  }

  /** Adds the sends and duplicate runs of a call, which are complete only after the run. */
  public addTotals (call: types.ClientCall): void {
    this._sends += call.sends
    if (!call.route.idempotent) this._duplicateRuns += Math.max(0, call.runs - 1)
  }

  public summary (measureMs: number): TallySummary {
    const percent = (count: number): number => 100 * count / Math.max(1, this._calls)
    const seconds = measureMs / 1_000
    return {
      offeredPerS: this._calls / seconds,
      goodputPerS: this._onTime / seconds,
      p50Ms: this._accepted.getValueAtPercentile(50) / STEPS_PER_MS,
      p99Ms: this._accepted.getValueAtPercentile(99) / STEPS_PER_MS,
      latePercent: percent(this._late),
      failedPercent: percent(this._ends.failed),
      refusedPercent: percent(this._ends.refused),
      unknownPercent: percent(this._ends.unknown),
      refusalP99Ms: this._refusals.getValueAtPercentile(99) / STEPS_PER_MS,
      sendsPerCall: this._sends / Math.max(1, this._calls),
      duplicateRuns: this._duplicateRuns
    }
  }
}
