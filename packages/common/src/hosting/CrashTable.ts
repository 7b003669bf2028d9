import * as emitter from '../base/Emitter.js'
import type * as base from '../base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Crashes attributed to a fingerprint before it is refused. */
const BLOCKING_CRASHES = 2

/** Crashes during runs of a fingerprint, since its last answer here, before it is a suspect and runs apart from others. */
const SUSPECT_CRASHES = 2

const NO_RECORDS: readonly types.CrashRecord[] = []

export interface CrashTableOptions {
  /** Time for which a record is kept. */
  readonly blockMs: base.Millis
  /** How often `pending` returns each record. */
  readonly gossipRepeats: number
  readonly maxRecords: number
}

export const DEFAULT_OPTIONS: CrashTableOptions = {
  blockMs: 600_000,
  // 3·log2(6,900) rounded up, as for membership updates.
  gossipRepeats: 39,
  maxRecords: 4_096
}

interface Entry {
  readonly record: types.CrashRecord
  readonly untilMs: base.Millis
  repeatsLeft: number
}

/** Records of a fingerprint that a peer needs in order to block it, or to run it apart from other suspects. */
const RECORDS_OF_CALL = BLOCKING_CRASHES + SUSPECT_CRASHES

/** Crashes during runs of a fingerprint, how many of them precede its last answer here, and how many are attributed to it. */
interface History {
  /** In order of arrival. */
  readonly records: types.CrashRecord[]
  clearedCount: number
  attributedCount: number
}

/**
 * Crash records of this node and of its peers.
 *
 * A key is blocked after one crash, because a keyed call runs only once anyway. A fingerprint is blocked after two
 * crashes that are attributed to it. A crash is attributed to a fingerprint that was alone on the target, or the only
 * suspect there (see `isSuspect`); without the second rule a request that always runs beside others would never be
 * blocked. Popular requests become suspects together with the one that crashes the targets. Suspects run one at a time
 * per target, and a node clears a suspect when it is answered, so popular requests are delayed by about one service time
 * and are not blocked.
 *
 * A request that crashes every target costs at most 2 targets when it runs alone and at most 4 when it always runs beside
 * others (2 until it is a suspect, 2 as the only suspect), plus those lost before the record has reached their nodes.
 */
export class CrashTable implements services.ICrashTable {
  private readonly _options: CrashTableOptions
  /** In order of arrival, by the identity of the record: one run on one target. */
  private readonly _entries = new Map<string, Entry>()
  private readonly _keys = new Map<string, number>()
  private readonly _histories = new Map<string, History>()
  private readonly _recorded = new emitter.Emitter<types.CrashRecord>()

  constructor (options: Partial<CrashTableOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  public get onRecorded (): base.IEvent<types.CrashRecord> {
    return this._recorded.event
  }

  public isBlocked (key: string | undefined, fingerprint: string, _nowMs: base.Millis): boolean {
    if (key !== undefined && this.hasKey(key)) return true
    return (this._histories.get(fingerprint)?.attributedCount ?? 0) >= BLOCKING_CRASHES
  }

  public hasKey (key: string): boolean {
    return this._keys.has(key)
  }

  public isSuspect (fingerprint: string, _nowMs: base.Millis): boolean {
    const history = this._histories.get(fingerprint)
    return history !== undefined && history.records.length - history.clearedCount >= SUSPECT_CRASHES
  }

  public clearSuspicion (fingerprint: string): void {
    const history = this._histories.get(fingerprint)
    if (history !== undefined) history.clearedCount = history.records.length
  }

  public record (record: types.CrashRecord, nowMs: base.Millis): boolean {
    const id = identity(record)
    if (this._entries.has(id) || record.atMs + this._options.blockMs <= nowMs) return false
    // A record from a peer whose clock is ahead is not kept for longer.
    const untilMs = Math.min(record.atMs, nowMs) + this._options.blockMs
    this._entries.set(id, { record, untilMs, repeatsLeft: this._options.gossipRepeats })
    this._add(record)
    if (this._entries.size > this._options.maxRecords) this._dropOldest()
    this._recorded.fire(record)
    return true
  }

  public recordAll (records: readonly types.CrashRecord[] | undefined, nowMs: base.Millis): void {
    for (const record of records ?? []) this.record(record, nowMs)
  }

  public recordsOf (fingerprint: string): readonly types.CrashRecord[] {
    const history = this._histories.get(fingerprint)
    if (history === undefined) return NO_RECORDS
    const newestFirst = history.records.toReversed()
    const blocking = newestFirst.filter(isAttributed)
    const others = newestFirst.filter(record => !isAttributed(record))
    return [...blocking, ...others].slice(0, RECORDS_OF_CALL)
  }

  public pending (limit: number): readonly types.CrashRecord[] {
    const records: types.CrashRecord[] = []
    for (const entry of this._entries.values()) {
      if (records.length >= limit) break
      if (entry.repeatsLeft <= 0) continue
      entry.repeatsLeft--
      records.push(entry.record)
    }
    return records
  }

  public tick (nowMs: base.Millis): void {
    for (const [id, { record, untilMs }] of this._entries) {
      if (untilMs <= nowMs) this._drop(id, record)
    }
  }

  private _dropOldest (): void {
    const oldest = this._entries.entries().next().value
    if (oldest !== undefined) this._drop(oldest[0], oldest[1].record)
  }

  private _drop (id: string, record: types.CrashRecord): void {
    this._entries.delete(id)
    if (record.key !== '') adjustCount(this._keys, record.key, -1)
    const history = this._histories.get(record.fingerprint)
    if (history === undefined) return
    history.records.splice(history.records.indexOf(record), 1)
    history.clearedCount = Math.min(history.clearedCount, history.records.length)
    if (isAttributed(record)) history.attributedCount--
    if (history.records.length === 0) this._histories.delete(record.fingerprint)
  }

  private _add (record: types.CrashRecord): void {
    if (record.key !== '') adjustCount(this._keys, record.key, 1)
    const history = this._histories.get(record.fingerprint) ?? { records: [], clearedCount: 0, attributedCount: 0 }
    history.records.push(record)
    if (isAttributed(record)) history.attributedCount++
    this._histories.set(record.fingerprint, history)
  }
}

function isAttributed (record: types.CrashRecord): boolean {
  return record.concurrent === 1
}

function identity (record: types.CrashRecord): string {
  return `${record.nodeId} ${record.atMs} ${record.fingerprint} ${record.key}`
}

function adjustCount (counts: Map<string, number>, name: string, step: 1 | -1): void {
  const count = (counts.get(name) ?? 0) + step
  if (count === 0) counts.delete(name)
  else counts.set(name, count)
}
