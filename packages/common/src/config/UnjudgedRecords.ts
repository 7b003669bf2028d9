import type * as recordDecoder from './RecordDecoder.js'

/** Within the 64 MB that a node has for control work. Snapshots lag behind the log by far less than this. */
const MAX_CHARACTERS = 8 * 1024 * 1024

export interface UnjudgedRecord {
  readonly offset: number
  readonly record: recordDecoder.DecodedRecord
}

/** Bounded buffer of the latest records that could not be judged yet. Drops the oldest first. */
export class UnjudgedRecords {
  private _records: UnjudgedRecord[] = []
  private _characters = 0
  private _startOffset = 0

  constructor (private readonly _capacity: number = MAX_CHARACTERS) {}

  /** The buffer holds every record from this offset on. */
  public get startOffset (): number {
    return this._startOffset
  }

  public restart (startOffset: number): void {
    this._records = []
    this._characters = 0
    this._startOffset = startOffset
  }

  public add (offset: number, record: recordDecoder.DecodedRecord): void {
    this._records.push({ offset, record })
    this._characters += record.contentText.length
    while (this._characters > this._capacity) this._dropOldest()
  }

  public recordsAfter (offset: number): readonly UnjudgedRecord[] {
    return this._records.filter(entry => entry.offset > offset)
  }

  private _dropOldest (): void {
    const oldest = this._records.shift()
    if (oldest === undefined) return
    this._characters -= oldest.record.contentText.length
    this._startOffset = oldest.offset + 1
  }
}
