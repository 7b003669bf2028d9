import type * as base from '../base/Types.js'
import * as keys from './Keys.js'
import type * as types from './Types.js'

export interface KeyTableOptions {
  /** Keys issued up to this time may have been run by an earlier process at this address. */
  readonly forgottenUntilMs: base.Millis
  /** Keys that are remembered at the same time; beyond it the oldest ones are forgotten, which is safe. */
  readonly maxKeys: number
  /** Bytes of stored answers; beyond it the oldest answers are dropped and their keys are kept. */
  readonly maxAnswerBytes: number
}

/** Keys take 270 bytes each (32 MB). At 319 calls/s they last for 10 minutes if up to 62 % of the calls are keyed. */
export const DEFAULT_LIMITS = { maxKeys: 120_000, maxAnswerBytes: 12 * 1024 * 1024 }

/** An answer with empty headers and body still takes some memory. */
const ANSWER_OVERHEAD_BYTES = 200

export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
}

export interface KeyEntry {
  readonly service: string
  readonly fingerprint: number
  readonly keyTimeMs: base.Millis
  readonly seenAtMs: base.Millis
  state: types.KeyState
  reason: types.OutcomeReason
  /** Valid while `running`. */
  runId: number
  answer: StoredAnswer | undefined
}

export interface Refusal {
  readonly fingerprint: number
  readonly service: string
  readonly keyTimeMs: base.Millis
  readonly reason: types.OutcomeReason
  readonly untilMs: base.Millis
}

/**
 * What the owner knows about each key.
 *
 * A key that is absent and was issued after `forgottenUntilMs` was never run under this table. Whenever a key is
 * forgotten, the mark rises to its time of issue, whatever the reason: retention, a lower retention in a new
 * configuration, or the bound on memory.
 */
export class KeyTable {
  private readonly _options: KeyTableOptions
  /** In the order in which the keys were seen. */
  private readonly _entries = new Map<string, KeyEntry>()
  /** In the order in which the refusals end. */
  private readonly _refusals = new Map<string, Refusal>()
  /** Keys with a stored answer, oldest first. */
  private readonly _answered = new Set<string>()
  // Kept between calls: a new iterator would pass over all entries deleted since the last rehash.
  private _oldestAnswers: Iterator<string> | undefined
  private _oldestEntries: Iterator<[string, KeyEntry]> | undefined
  private _answerBytes = 0
  private _service = ''
  private _forgottenUntilMs: base.Millis

  constructor (options: Pick<KeyTableOptions, 'forgottenUntilMs'> & Partial<KeyTableOptions>) {
    this._options = { ...DEFAULT_LIMITS, ...options }
    this._forgottenUntilMs = options.forgottenUntilMs
  }

  public get size (): number {
    return this._entries.size + this._refusals.size
  }

  public get answerBytes (): number {
    return this._answerBytes
  }

  public get forgottenUntilMs (): base.Millis {
    return this._forgottenUntilMs
  }

  public get (key: string): KeyEntry | undefined {
    return this._entries.get(key)
  }

  public refusal (key: string, nowMs: base.Millis): Refusal | undefined {
    const refusal = this._refusals.get(key)
    return refusal !== undefined && refusal.untilMs > nowMs ? refusal : undefined
  }

  public addRunning (key: string, entry: Pick<KeyEntry, 'service' | 'fingerprint' | 'keyTimeMs' | 'runId'>, nowMs: base.Millis): void {
    this._refusals.delete(key)
    // Calls bring their own copies of the name; remembered keys share one.
    if (entry.service !== this._service) this._service = entry.service
    this._entries.set(key, { ...entry, service: this._service, seenAtMs: nowMs, state: 'running', reason: 'running', answer: undefined })
    this._bound()
  }

  /** Refuses the key until `untilMs`. A running entry of the key is removed: it was certainly not run. */
  public refuse (key: string, refusal: Refusal): void {
    this._entries.delete(key)
    this._refusals.delete(key)
    this._refusals.set(key, refusal)
    this._bound()
  }

  public markAnswered (key: string, answer: StoredAnswer | undefined): void {
    const entry = this._entries.get(key)
    if (entry === undefined) return
    entry.state = 'answered'
    entry.reason = 'ok'
    if (answer === undefined) return
    const bytes = sizeOf(answer)
    if (bytes > this._options.maxAnswerBytes) return
    entry.answer = answer
    this._answered.add(key)
    this._answerBytes += bytes
    this._boundAnswers()
  }

  public markUnknown (key: string, reason: types.OutcomeReason): void {
    const entry = this._entries.get(key)
    if (entry === undefined) return
    entry.state = 'unknown'
    entry.reason = reason
  }

  /** Forgets keys seen longer than the retention ago, and refusals that have ended. */
  public tick (nowMs: base.Millis, retentionMs: base.Millis): void {
    for (const [key, refusal] of this._refusals) {
      if (refusal.untilMs > nowMs) break
      this._refusals.delete(key)
    }
    for (const [key, entry] of this._entries) {
      if (Math.max(entry.seenAtMs, entry.keyTimeMs) + retentionMs > nowMs) break
      if (entry.state !== 'running') this._forget(key, entry)
    }
  }

  /** Contents for the successor. A key that is still running is passed on as `unknown`. */
  public export (nowMs: base.Millis): readonly types.HandoverKey[] {
    const handed: types.HandoverKey[] = []
    for (const [key, entry] of this._entries) handed.push(toHandoverKey(key, entry))
    for (const [key, { service, fingerprint, reason, untilMs }] of this._refusals) {
      if (untilMs <= nowMs) continue
      handed.push({ key, service, fingerprint, state: 'refused', reason, status: 0, headers: {}, body: undefined })
    }
    return handed
  }

  /** Takes what `export` returned. */
  public importAll (handed: readonly types.HandoverKey[], nowMs: base.Millis, refusedUntilMs: base.Millis): void {
    for (const key of handed) {
      const keyTimeMs = keys.keyTimeMs(key.key).unwrapOr(undefined)
      if (keyTimeMs !== undefined) this.import(key, keyTimeMs, nowMs, refusedUntilMs)
    }
  }

  /** Takes an entry of `export`; a refusal holds until `refusedUntilMs`. What this table knows itself stands. */
  public import (handed: types.HandoverKey, keyTimeMs: base.Millis, nowMs: base.Millis, refusedUntilMs: base.Millis): void {
    if (this._entries.has(handed.key)) return
    const { key, service, fingerprint, reason, status, headers, body } = handed
    if (handed.state === 'refused') {
      this.refuse(key, { fingerprint, service, keyTimeMs, reason, untilMs: refusedUntilMs })
      return
    }
    this.addRunning(key, { service, fingerprint, keyTimeMs, runId: 0 }, nowMs)
    if (handed.state !== 'answered') this.markUnknown(key, reason)
    else this.markAnswered(key, status === 0 ? undefined : { status, headers, body })
  }

  private _forget (key: string, entry: KeyEntry): void {
    this._entries.delete(key)
    this._dropAnswer(key, entry)
    this._forgottenUntilMs = Math.max(this._forgottenUntilMs, entry.keyTimeMs)
  }

  private _dropAnswer (key: string, entry: KeyEntry): void {
    if (entry.answer === undefined) return
    this._answerBytes -= sizeOf(entry.answer)
    this._answered.delete(key)
    entry.answer = undefined
  }

  private _boundAnswers (): void {
    while (this._answerBytes > this._options.maxAnswerBytes) {
      this._oldestAnswers ??= this._answered.values()
      const next = this._oldestAnswers.next()
      if (next.done === true) {
        this._oldestAnswers = undefined
        continue
      }
      const entry = this._entries.get(next.value)
      if (entry !== undefined) this._dropAnswer(next.value, entry)
    }
  }

  private _bound (): void {
    if (this.size <= this._options.maxKeys) return
    if (this._forgetOldestEntry()) return
    const oldest = this._refusals.entries().next().value
    if (oldest === undefined) return
    this._refusals.delete(oldest[0])
    this._forgottenUntilMs = Math.max(this._forgottenUntilMs, oldest[1].keyTimeMs)
  }

  /** A key that runs is passed over; it is looked at again when the iterator starts anew. */
  private _forgetOldestEntry (): boolean {
    for (let starts = 0; starts < 2;) {
      this._oldestEntries ??= this._entries.entries()
      const next = this._oldestEntries.next()
      if (next.done === true) {
        this._oldestEntries = undefined
        starts++
      } else if (next.value[1].state !== 'running') {
        this._forget(...next.value)
        return true
      }
    }
    return false
  }
}

function toHandoverKey (key: string, entry: KeyEntry): types.HandoverKey {
  const { service, fingerprint, answer } = entry
  const running = entry.state === 'running'
  return {
    key,
    service,
    fingerprint,
    state: running ? 'unknown' : entry.state,
    reason: running ? 'peer-lost' : entry.reason,
    status: answer?.status ?? 0,
    headers: answer?.headers ?? {},
    body: answer?.body
  }
}

function sizeOf (answer: StoredAnswer): number {
  let bytes = ANSWER_OVERHEAD_BYTES + (answer.body?.byteLength ?? 0)
  for (const [name, value] of Object.entries(answer.headers)) bytes += name.length + value.length
  return bytes
}
