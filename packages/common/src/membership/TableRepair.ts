import type * as base from '../base/Types.js'
import type * as messages from '../node/Messages.js'
import * as tables from './MemberTable.js'
import * as messageRules from './MessageRules.js'
import * as rules from './RowRules.js'
import type * as types from './Types.js'
import * as wires from './WireRow.js'

const REPAIR_INTERVAL_MS = 10_000
/**
 * Interval after a page with many new rows, so that a node that has just joined completes its table within seconds.
 * It doubles with each comparison until a page has many new rows again.
 */
const CATCH_UP_INTERVAL_MS = 200
/** This many rows of unknown nodes in one page mean that the table is far from complete. */
const MANY_NEW_ROWS = 8
/** Pages served per second; a peer that gets no answer asks another one. */
const MAX_PAGES_PER_SECOND = 8
const ROWS_PER_BUCKET = 8
const MIN_BUCKETS = 8
const PAGE_ROWS = messageRules.MAX_ROWS

/** Compares bucket hashes of the member table with peers and exchanges the rows that differ. */
export class TableRepair {
  private _nextAtMs: base.Millis | undefined
  private _intervalMs = REPAIR_INTERVAL_MS
  private _windowStartMs = 0
  private _servedInWindow = 0

  constructor (
    private readonly _table: tables.MemberTable,
    private readonly _random: base.IRandom
  ) {}

  /** Digest to send to a random peer now; undefined if none is due. */
  public due (nowMs: base.Millis): messages.TableDigestMessage | undefined {
    this._nextAtMs ??= nowMs + this._random.nextInt(REPAIR_INTERVAL_MS)
    if (nowMs < this._nextAtMs) return undefined
    this._nextAtMs = nowMs + this._intervalMs
    this._intervalMs = Math.min(REPAIR_INTERVAL_MS, this._intervalMs * 2)
    return { kind: 'table-digest', buckets: this._table.bucketHashes(this._bucketCount()) }
  }

  /** Handles a merged page of rows, `newRows` of which were of unknown nodes. */
  public handlePage (newRows: number, nowMs: base.Millis): void {
    if (newRows >= MANY_NEW_ROWS) this.scheduleSoon(nowMs)
  }

  /** Schedules the next comparison within `CATCH_UP_INTERVAL_MS`. */
  public scheduleSoon (nowMs: base.Millis): void {
    this._nextAtMs = nowMs + this._random.nextInt(CATCH_UP_INTERVAL_MS)
    this._intervalMs = CATCH_UP_INTERVAL_MS
  }

  /** Rows of the buckets that differ; undefined if none differ or the limit of pages per second is reached. */
  public answerDigest (buckets: readonly number[], nowMs: base.Millis): messages.TableRowsMessage | undefined {
    const own = this._table.bucketHashes(buckets.length)
    const different: number[] = []
    for (let i = 0; i < own.length; i++) if (own[i] !== buckets[i]) different.push(i)
    if (different.length === 0 || !this._mayServe(nowMs)) return undefined
    const page = this._page(different, buckets.length, () => true)
    return { kind: 'table-rows', rows: page.rows.map(row => this._table.toWire(row)), wantedBuckets: page.buckets, bucketCount: buckets.length }
  }

  /** Rows of the wanted buckets that are missing or older in the peer's page. */
  public answerRows (message: messages.TableRowsMessage): messages.TableRowsMessage | undefined {
    if (message.wantedBuckets.length === 0) return undefined
    const theirs = new Map(message.rows.map(wire => [wire[0], wires.fromWire(wire)]))
    const page = this._page(message.wantedBuckets, message.bucketCount, row => {
      const known = theirs.get(row.nodeId)
      return known === undefined || rules.isNewer(row, known)
    })
    if (page.rows.length === 0) return undefined
    return { kind: 'table-rows', rows: page.rows.map(row => this._table.toWire(row)), wantedBuckets: [], bucketCount: 0 }
  }

  /** A page of rows for a joining node, starting at a random bucket. */
  public joinPage (nowMs: base.Millis): types.MemberRow[] {
    if (!this._mayServe(nowMs)) return []
    const all = Array.from({ length: tables.MAX_BUCKETS }, (_, bucket) => bucket)
    return this._page(all, tables.MAX_BUCKETS, rules.isProbed).rows
  }

  /** Fills a page with whole buckets, starting at a random one so that repeated exchanges cover all of them. */
  private _page (buckets: readonly number[], count: number, wants: (row: types.MemberRow) => boolean): { rows: types.MemberRow[], buckets: number[] } {
    const rows: types.MemberRow[] = []
    const covered: number[] = []
    const start = this._random.nextInt(buckets.length)
    for (let i = 0; i < buckets.length; i++) {
      const bucket = buckets[(start + i) % buckets.length] ?? 0
      const found = this._table.rowsInBucket(bucket, count).filter(wants)
      if (rows.length + found.length > PAGE_ROWS && rows.length > 0) break
      rows.push(...found.slice(0, PAGE_ROWS))
      covered.push(bucket)
    }
    return { rows, buckets: covered }
  }

  private _mayServe (nowMs: base.Millis): boolean {
    if (nowMs - this._windowStartMs >= 1_000 || nowMs < this._windowStartMs) {
      this._windowStartMs = nowMs
      this._servedInWindow = 0
    }
    this._servedInWindow++
    return this._servedInWindow <= MAX_PAGES_PER_SECOND
  }

  private _bucketCount (): number {
    let count = MIN_BUCKETS
    while (count < tables.MAX_BUCKETS && count * ROWS_PER_BUCKET < this._table.size) count *= 2
    return count
  }
}
