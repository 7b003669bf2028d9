import * as emitter from '../base/Emitter.js'
import type * as base from '../base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Crashed targets on which a fingerprint was to blame before it is refused. */
const BLOCKING_CRASHES = 2

/** Crashed targets on which a fingerprint ran beside others before it is run apart from other suspects. */
const SUSPECT_CRASHES = 2

const NO_RECORDS: readonly types.CrashRecord[] = []

export interface CrashTableOptions {
  /** Time for which a record counts. */
  readonly blockMs: base.Millis
  /** How often `pending` hands out each record. */
  readonly gossipRepeats: number
  readonly maxRecords: number
}

export const DEFAULT_OPTIONS: CrashTableOptions = {
  blockMs: 600_000,
  // 3·log2(6,900) rounded up, the bound of membership updates.
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

/** Crashes that a fingerprint was part of, those before it was answered here, and those it is to blame for. */
interface Seen {
  /** In order of arrival. */
  readonly records: types.CrashRecord[]
  survived: number
  blames: number
}

/**
 * Crash records of this node and of its peers.
 *
 * A key is blocked after one crash: a keyed call runs once anyway. A fingerprint is blocked after it was to blame on two
 * crashed targets. It is to blame when it was alone on the target, or the only suspect there (see `isSuspect`); without
 * the second rule a request that always runs beside others would never be blocked. Popular requests become suspects
 * together with the one that crashes the targets. Suspects run one at a time per target, and a node clears one when it is
 * answered, so popular requests are slowed down for about one service time and are not blocked.
 *
 * A request that crashes every target costs at most 2 targets when it runs alone and at most 4 when it always runs beside
 * others (2 until it is a suspect, 2 as the only suspect), plus those that are lost before the record has reached them.
 */
export class CrashTable implements services.ICrashTable {
  private readonly _options: CrashTableOptions
  /** In order of arrival; the key names one run on one target. */
  private readonly _entries = new Map<string, Entry>()
  private readonly _keys = new Map<string, number>()
  private readonly _seen = new Map<string, Seen>()
  private readonly _recorded = new emitter.Emitter<types.CrashRecord>()

  constructor (options: Partial<CrashTableOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  public get onRecorded (): base.IEvent<types.CrashRecord> {
    return this._recorded.event
  }

  public isBlocked (key: string | undefined, fingerprint: string, _nowMs: base.Millis): boolean {
    if (key !== undefined && this.hasKey(key)) return true
    return (this._seen.get(fingerprint)?.blames ?? 0) >= BLOCKING_CRASHES
  }

  public hasKey (key: string): boolean {
    return this._keys.has(key)
  }

  public isSuspect (fingerprint: string, _nowMs: base.Millis): boolean {
    const seen = this._seen.get(fingerprint)
    return seen !== undefined && seen.records.length - seen.survived >= SUSPECT_CRASHES
  }

  public clearSuspicion (fingerprint: string): void {
    const seen = this._seen.get(fingerprint)
    if (seen !== undefined) seen.survived = seen.records.length
  }

  public record (record: types.CrashRecord, nowMs: base.Millis): boolean {
    const id = identity(record)
    if (this._entries.has(id) || record.atMs + this._options.blockMs <= nowMs) return false
    // A peer's clock that is ahead must not keep a record for longer.
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
    const seen = this._seen.get(fingerprint)
    if (seen === undefined) return NO_RECORDS
    const newestFirst = seen.records.toReversed()
    const blocking = newestFirst.filter(isToBlame)
    const others = newestFirst.filter(record => !isToBlame(record))
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
    if (record.key !== '') change(this._keys, record.key, -1)
    const seen = this._seen.get(record.fingerprint)
    if (seen === undefined) return
    seen.records.splice(seen.records.indexOf(record), 1)
    seen.survived = Math.min(seen.survived, seen.records.length)
    if (isToBlame(record)) seen.blames--
    if (seen.records.length === 0) this._seen.delete(record.fingerprint)
  }

  private _add (record: types.CrashRecord): void {
    if (record.key !== '') change(this._keys, record.key, 1)
    const seen = this._seen.get(record.fingerprint) ?? { records: [], survived: 0, blames: 0 }
    seen.records.push(record)
    if (isToBlame(record)) seen.blames++
    this._seen.set(record.fingerprint, seen)
  }
}

function isToBlame (record: types.CrashRecord): boolean {
  return record.concurrent === 1
}

function identity (record: types.CrashRecord): string {
  return `${record.nodeId} ${record.atMs} ${record.fingerprint} ${record.key}`
}

function change (counts: Map<string, number>, name: string, step: 1 | -1): void {
  const count = (counts.get(name) ?? 0) + step
  if (count === 0) counts.delete(name)
  else counts.set(name, count)
}
