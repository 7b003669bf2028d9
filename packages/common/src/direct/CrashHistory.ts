import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Crashes before a request is blocked. */
const BLOCKING_CRASHES = 3
/** Crashes before a request only runs in trials: alone on its target. */
const TRIAL_CRASHES = 2
/** Crashes in trials before a request is blocked: of one that has never been answered, and of one that has. */
const BLOCKING_TRIALS = { unknown: 1, known: 2 } as const
export const KEPT_MS = 3_600_000
export const MAX_REPORTS = 256
/** Requests of one report. A target runs fewer; the others are not blamed. */
export const MAX_REQUESTS = 48
const MAX_ANSWERED = 2_048
/** What a node is told that has just connected: what restricts requests, and crashes that are more recent than this. */
const RECENT_MS = 60_000
const MAX_TOLD = 64
/** A report that is told is older than its age says by its way to this node. */
const AGE_MARGIN_MS = 500

const ANSWERED_ORDER: readonly types.AnswerTime[] = ['never', 'before', 'after']

interface Suspicion {
  readonly report: Report
  readonly fingerprint: string
  isTrial: boolean
  answered: types.AnswerTime
}

interface Report {
  readonly id: string
  readonly service: string
  readonly atMs: base.Millis
  readonly suspicions: Map<string, Suspicion>
}

/** A request that has crashed targets, for operators. */
export interface RequestRecord {
  readonly fingerprint: string
  readonly service: string
  readonly standing: types.Standing
  readonly crashes: number
  readonly trials: number
  readonly isKnown: boolean
  /** Since the newest of its crashes. */
  readonly ageMs: base.Millis
}

/**
 * Crashes of targets anywhere in the fleet, and the requests that each was running. Any of them may have caused it, so a
 * request becomes suspect with the first crash, runs alone on its target from the second on (a trial), and is blocked
 * after the third if it crashed a target in a trial. Each answer clears it of the crashes before. A request that had
 * been answered before its crashes is more likely to be harmless, and is blocked after two trials only.
 *
 * Nodes pass reports on; merging them in any order, any number of times, has the same result.
 */
export class CrashHistory {
  private readonly _reports = new Map<string, Report>()
  private readonly _suspicions = new Map<string, Suspicion[]>()
  /** Requests with enough crashes to be restricted, if no answer clears them. */
  private readonly _repeated = new Set<string>()
  private readonly _heads = new Map<string, number>()
  /** When each request was last answered, the longest ago first. */
  private readonly _answeredAtMs = new Map<string, base.Millis>()
  private readonly _untold = new Set<Suspicion>()

  /** `headOf`: part of a fingerprint that is known without the content of the body. */
  constructor (private readonly _headOf: (fingerprint: string) => string) {}

  public get isEmpty (): boolean {
    return this._suspicions.size === 0
  }

  /** Whether a request whose fingerprint begins with this head is in a report. */
  public hasHead (head: string): boolean {
    return this._heads.has(head)
  }

  public standingOf (fingerprint: string): types.Standing {
    const { crashes, trials, isKnown } = this._countOf(fingerprint)
    if (crashes >= BLOCKING_CRASHES && trials >= BLOCKING_TRIALS[isKnown ? 'known' : 'unknown']) return 'blocked'
    if (crashes >= TRIAL_CRASHES) return 'trial'
    return crashes > 0 ? 'suspect' : 'free'
  }

  /** Time after which a blocked request is tried again. */
  public blockedForMs (fingerprint: string, nowMs: base.Millis): base.Millis {
    const atMs = this._counted(fingerprint).map(({ report }) => report.atMs).sort((one, other) => other - one)
    return Math.max(0, (atMs[BLOCKING_CRASHES - 1] ?? nowMs) + KEPT_MS - nowMs)
  }

  /** A target has answered the request without an error. Clears it of the crashes so far; returns whether there was any. */
  public recordAnswer (fingerprint: string, nowMs: base.Millis): boolean {
    this._answeredAtMs.delete(fingerprint)
    this._answeredAtMs.set(fingerprint, nowMs)
    if (this._answeredAtMs.size > MAX_ANSWERED) this._answeredAtMs.delete(this._answeredAtMs.keys().next().value ?? '')
    return this._clear(fingerprint)
  }

  /** Lifts the block of a request, on all nodes. False if nothing is held against it. */
  public lift (fingerprint: string): boolean {
    return this._clear(fingerprint)
  }

  /** Takes over a report, or what is new in it. Returns whether anything was. */
  public record ({ id, service, ageMs, requests }: types.CrashReport, nowMs: base.Millis): boolean {
    const atMs = nowMs - ageMs
    if (ageMs >= KEPT_MS) return false
    let report = this._reports.get(id)
    if (report === undefined) {
      report = { id, service, atMs, suspicions: new Map() }
      this._reports.set(id, report)
    }
    let isNew = false
    for (const request of requests) isNew = this._merge(report, request) || isNew
    if (this._reports.size > MAX_REPORTS) this._dropLeastUseful()
    return isNew
  }

  /** What other nodes have not been told yet. */
  public takeUntold (nowMs: base.Millis): types.CrashReport[] {
    const untold = [...this._untold]
    this._untold.clear()
    return reportsOf(untold, nowMs)
  }

  /** What a node needs that knows nothing yet. */
  public summary (nowMs: base.Millis): types.CrashReport[] {
    const reports = [...this._reports.values()].sort((one, other) => other.atMs - one.atMs)
    const needed = reports.flatMap(({ atMs, suspicions }) => [...suspicions.values()].filter(suspicion => isCounted(suspicion) &&
      (nowMs - atMs < RECENT_MS || this._counted(suspicion.fingerprint).length >= TRIAL_CRASHES)))
    return reportsOf(needed, nowMs).slice(0, MAX_TOLD)
  }

  /** What is held against one request. */
  public of (fingerprint: string, nowMs: base.Millis): types.CrashReport[] {
    return reportsOf(this._counted(fingerprint), nowMs)
  }

  /** The requests that run in trials only or are blocked. */
  public restricted (nowMs: base.Millis): RequestRecord[] {
    const records: RequestRecord[] = []
    for (const fingerprint of this._repeated) {
      const { crashes, trials, isKnown } = this._countOf(fingerprint)
      if (crashes < TRIAL_CRASHES) continue
      const newest = this._counted(fingerprint).reduce((one, other) => other.report.atMs > one.report.atMs ? other : one)
      records.push({ fingerprint, service: newest.report.service, standing: this.standingOf(fingerprint), crashes, trials, isKnown, ageMs: nowMs - newest.report.atMs })
    }
    return records
  }

  public tick (nowMs: base.Millis): void {
    for (const report of this._reports.values()) if (nowMs - report.atMs >= KEPT_MS) this._drop(report)
  }

  private _merge (report: Report, { fingerprint, isTrial, answered }: types.CrashedRequest): boolean {
    const known = report.suspicions.get(fingerprint)
    if (known !== undefined) {
      const isNew = (isTrial && !known.isTrial) || isLater(answered, known.answered)
      if (!isNew) return false
      known.isTrial ||= isTrial
      if (isLater(answered, known.answered)) known.answered = answered
      this._tell(known)
      return true
    }
    if (report.suspicions.size >= MAX_REQUESTS) return false
    const suspicion: Suspicion = { report, fingerprint, isTrial, answered }
    const ownAnswer = this._answerBeside(suspicion)
    if (isLater(ownAnswer, suspicion.answered)) suspicion.answered = ownAnswer
    report.suspicions.set(fingerprint, suspicion)
    const all = this._suspicions.get(fingerprint) ?? []
    all.push(suspicion)
    this._suspicions.set(fingerprint, all)
    const head = this._headOf(fingerprint)
    this._heads.set(head, (this._heads.get(head) ?? 0) + 1)
    this._untold.add(suspicion)
    // What is known of a single crash restricts nobody, and is not worth a message.
    if (all.length === TRIAL_CRASHES) {
      this._repeated.add(fingerprint)
      for (const earlier of all) if (earlier.answered !== 'never') this._untold.add(earlier)
    }
    return true
  }

  private _answerBeside ({ report, fingerprint }: Suspicion): types.AnswerTime {
    const answeredAtMs = this._answeredAtMs.get(fingerprint)
    if (answeredAtMs === undefined) return 'never'
    return answeredAtMs > report.atMs + AGE_MARGIN_MS ? 'after' : 'before'
  }

  private _clear (fingerprint: string): boolean {
    const counted = this._counted(fingerprint)
    for (const suspicion of counted) {
      suspicion.answered = 'after'
      this._tell(suspicion)
    }
    return counted.length > 0
  }

  private _tell (suspicion: Suspicion): void {
    if ((this._suspicions.get(suspicion.fingerprint)?.length ?? 0) >= TRIAL_CRASHES) this._untold.add(suspicion)
  }

  /** Crashes that the request has not been answered after. */
  private _counted (fingerprint: string): readonly Suspicion[] {
    return this._suspicions.get(fingerprint)?.filter(isCounted) ?? []
  }

  private _countOf (fingerprint: string): { readonly crashes: number, readonly trials: number, readonly isKnown: boolean } {
    const counted = this._counted(fingerprint)
    return { crashes: counted.length, trials: counted.filter(({ isTrial }) => isTrial).length, isKnown: counted.some(({ answered }) => answered === 'before') }
  }

  /** The oldest report that restricts no request, or else the oldest one. */
  private _dropLeastUseful (): void {
    const reports = [...this._reports.values()].sort((one, other) => one.atMs - other.atMs)
    const isUseless = ({ suspicions }: Report): boolean => ![...suspicions.keys()].some(fingerprint => this._counted(fingerprint).length >= TRIAL_CRASHES)
    const dropped = reports.find(isUseless) ?? reports[0]
    if (dropped !== undefined) this._drop(dropped)
  }

  private _drop (report: Report): void {
    this._reports.delete(report.id)
    for (const [fingerprint, suspicion] of report.suspicions) {
      this._untold.delete(suspicion)
      const rest = this._suspicions.get(fingerprint)?.filter(other => other !== suspicion) ?? []
      if (rest.length < TRIAL_CRASHES) this._repeated.delete(fingerprint)
      if (rest.length === 0) this._suspicions.delete(fingerprint)
      else this._suspicions.set(fingerprint, rest)
      const head = this._headOf(fingerprint)
      const count = (this._heads.get(head) ?? 0) - 1
      if (count <= 0) this._heads.delete(head)
      else this._heads.set(head, count)
    }
  }
}

function isCounted ({ answered }: Suspicion): boolean {
  return answered !== 'after'
}

function isLater (one: types.AnswerTime, other: types.AnswerTime): boolean {
  return ANSWERED_ORDER.indexOf(one) > ANSWERED_ORDER.indexOf(other)
}

function reportsOf (suspicions: readonly Suspicion[], nowMs: base.Millis): types.CrashReport[] {
  const requestsOf = new Map<Report, types.CrashedRequest[]>()
  for (const { report, fingerprint, isTrial, answered } of suspicions) {
    const requests = requestsOf.get(report) ?? []
    requests.push({ fingerprint, isTrial, answered })
    requestsOf.set(report, requests)
  }
  return [...requestsOf].map(([{ id, service, atMs }, requests]) => ({ id, service, ageMs: nowMs - atMs, requests }))
}
