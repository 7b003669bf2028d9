import type * as base from '../base/Types.js'
import type * as types from './RolloutTypes.js'

/** Ratio of the bounds of two neighbouring buckets of times. */
const BUCKET_RATIO = 1.25
/** The last bucket begins at about 10 s, which is longer than any call. */
export const BUCKETS = 42
/** Times above this multiple of the mean of the old version count as slow. Well above what a target takes when all its slots are in use. */
const SLOW_FACTOR = 2.2
/** Answers of the old version below which its rates are not used for comparison. */
const MIN_REFERENCE = 10
/** Least number of bad, or slow, answers that show a bad version. */
const MIN_EVIDENCE = 5
/** By how much the share of bad, or slow, answers has to exceed that of the old version. */
const EXCESS = { bad: 0.1, slow: 0.15 } as const
/** Standard deviations by which the number has to exceed the expected one. High, because a roll-out has many looks at each class. */
const DEVIATIONS = 5
/** Share of errors of the old version that is assumed if it has had no calls. */
const ASSUMED_ERRORS = 0.3
/** Answers without a finding after which a version counts as good. */
const GOOD_ANSWERS = 20
/** A version that turns bad late is judged by the answers of this time, among which the earlier ones do not count. */
const WINDOW_MS = 2_000
const SNAPSHOT_MS = 100
const MS_PER_S = 1000

export interface Finding {
  readonly verdict: types.HealthVerdict
  /** What shows that the version is bad: `errors` or `slow`, and the class of calls, or `all`. Empty for other verdicts. */
  readonly reason: string
}

interface Snapshot {
  readonly atMs: base.Millis
  readonly old: types.VersionSums
  readonly fresh: types.VersionSums
}

/** Deviations from the expectation by one kind of evidence. */
interface Evidence {
  observed: number
  expected: number
  answers: number
}

/** Compares the answers of a new version of a service with those of the old one, by class of calls and for all together. */
export class VersionHealth {
  private readonly _snapshots: Snapshot[] = []
  private _last: Snapshot | undefined

  /** Records the sums since the order. */
  public record (old: types.VersionSums, fresh: types.VersionSums, nowMs: base.Millis): void {
    this._last = { atMs: nowMs, old, fresh }
    const newest = this._snapshots.at(-1)
    if (newest === undefined || nowMs - newest.atMs >= SNAPSHOT_MS) this._snapshots.push(this._last)
    // Keeps one snapshot that is at least as old as the window.
    while ((this._snapshots[1]?.atMs ?? Infinity) <= nowMs - WINDOW_MS) this._snapshots.shift()
  }

  /** Answers of all targets a second, in the last window; 0 if it is not known. */
  public get answersPerS (): number {
    const [first] = this._snapshots
    if (first === undefined || this._last === undefined || this._last.atMs - first.atMs < SNAPSHOT_MS) return 0
    const count = ({ old, fresh }: Snapshot): number => answersOf(old) + answersOf(fresh)
    return Math.max(0, count(this._last) - count(first)) * MS_PER_S / (this._last.atMs - first.atMs)
  }

  public judge (): Finding {
    if (this._last === undefined) return { verdict: 'unknown', reason: '' }
    const { old, fresh } = this._last
    const [first] = this._snapshots
    const recent = first === undefined || first === this._last ? undefined : { old: difference(old, first.old), fresh: difference(fresh, first.fresh) }
    const reason = badReason(old, fresh) ?? (recent === undefined ? undefined : badReason(answersOf(recent.old) >= GOOD_ANSWERS ? recent.old : old, recent.fresh))
    if (reason !== undefined) return { verdict: 'bad', reason }
    return { verdict: answersOf(fresh) >= GOOD_ANSWERS ? 'good' : 'unknown', reason: '' }
  }
}

/** Bucket of a time in `ClassSums.times`. */
export function bucketOf (timeMs: base.Millis): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log(Math.max(1, timeMs)) / Math.log(BUCKET_RATIO))))
}

/** Adds up sums by class. */
export function total (list: Iterable<types.VersionSums>): types.VersionSums {
  const sums = new Map<string, types.ClassSums>()
  for (const part of list) for (const [name, added] of part) sums.set(name, combine(sums.get(name), added, 1))
  return sums
}

export function answersOf (sums: types.VersionSums): number {
  let answers = 0
  for (const part of sums.values()) answers += part.answers
  return answers
}

export function badOf (sums: types.VersionSums): number {
  let bad = 0
  for (const part of sums.values()) bad += part.bad
  return bad
}

/** Sums since earlier ones. Those of a host that has restarted are lower than before and count as none. */
function difference (now: types.VersionSums, before: types.VersionSums): types.VersionSums {
  return new Map([...now].map(([name, sums]) => [name, before.has(name) ? combine(sums, before.get(name) as types.ClassSums, -1) : sums]))
}

function combine (one: types.ClassSums | undefined, other: types.ClassSums, sign: 1 | -1): types.ClassSums {
  if (one === undefined) return other
  const add = (left: number, right: number): number => Math.max(0, left + sign * right)
  const length = Math.max(one.times.length, other.times.length)
  return {
    answers: add(one.answers, other.answers),
    bad: add(one.bad, other.bad),
    timeMs: add(one.timeMs, other.timeMs),
    times: Array.from({ length }, (_, index) => add(one.times[index] ?? 0, other.times[index] ?? 0))
  }
}

/** Undefined if nothing shows that the version is bad. */
function badReason (old: types.VersionSums, fresh: types.VersionSums): string | undefined {
  const all = { bad: noEvidence(), slow: noEvidence() }
  const oldAnswers = answersOf(old)
  const usualErrors = oldAnswers < MIN_REFERENCE ? ASSUMED_ERRORS : badOf(old) / oldAnswers
  for (const [name, sums] of fresh) {
    const reference = old.get(name)
    const errorShare = reference === undefined || reference.answers < MIN_REFERENCE ? usualErrors : reference.bad / reference.answers
    const bad = { observed: sums.bad, expected: errorShare * sums.answers, answers: sums.answers }
    const slow = slownessOf(sums, reference)
    if (exceeds(bad, EXCESS.bad)) return `errors ${name}`
    if (exceeds(slow, EXCESS.slow)) return `slow ${name}`
    addTo(all.bad, bad)
    addTo(all.slow, slow)
  }
  if (exceeds(all.bad, EXCESS.bad)) return 'errors all'
  return exceeds(all.slow, EXCESS.slow) ? 'slow all' : undefined
}

/** A part of the answers may be slow, which the mean would not show. */
function slownessOf ({ times }: types.ClassSums, reference: types.ClassSums | undefined): Evidence {
  const known = countOf(reference?.times ?? [])
  if (reference === undefined || known < MIN_REFERENCE) return noEvidence()
  const from = Math.ceil(Math.log(Math.max(1, SLOW_FACTOR * reference.timeMs / known)) / Math.log(BUCKET_RATIO))
  const answers = countOf(times)
  return { observed: countOf(times.slice(from)), expected: answers * countOf(reference.times.slice(from)) / known, answers }
}

function exceeds ({ observed, expected, answers }: Evidence, excess: number): boolean {
  return observed >= MIN_EVIDENCE && observed - expected > excess * answers && observed > expected + DEVIATIONS * Math.sqrt(expected + 1)
}

function addTo (sum: Evidence, { observed, expected, answers }: Evidence): void {
  sum.observed += observed
  sum.expected += expected
  sum.answers += answers
}

function noEvidence (): Evidence {
  return { observed: 0, expected: 0, answers: 0 }
}

function countOf (times: readonly number[]): number {
  return times.reduce((sum, count) => sum + count, 0)
}
