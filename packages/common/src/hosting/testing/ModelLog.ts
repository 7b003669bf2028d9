import type * as messages from '../../node/Messages.js'

/** In-memory log service with outages and retention by age. */
export class ModelLog {
  private readonly _records: { readonly data: unknown, readonly atMs: number }[] = []
  private _firstOffset = 0
  public isUp = true

  constructor (public readonly retentionMs: number) {}

  public append (data: unknown, nowMs: number): number {
    this._records.push({ data: structuredClone(data), atMs: nowMs })
    return this._records.length - 1
  }

  public read (fromOffset: number, limit: number): messages.LogReadResult {
    const from = Math.max(fromOffset, this._firstOffset)
    const records = this._records.slice(from, from + limit).map(({ data }, i) => ({ offset: from + i, data }))
    const nextOffset = from + records.length
    return { stream: 'ownership', ok: this.isUp, records: this.isUp ? records : [], firstOffset: this._firstOffset, nextOffset, retentionMs: this.retentionMs }
  }

  public expire (nowMs: number): void {
    while ((this._records[this._firstOffset]?.atMs ?? Infinity) + this.retentionMs <= nowMs) this._firstOffset++
  }
}
