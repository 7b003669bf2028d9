import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as types from './convergenceTypes.js'

/** Counts the bytes that are appended to and read from the stream `config`, as JSON without HTTP headers. */
export class LogMeter {
  /** Cached sizes, because many nodes read the same record. */
  private readonly _sizes = new WeakMap<object, number>()
  private readonly _bytesRead = new Map<base.NodeId, number>()
  private readonly _readers = new Set<base.NodeId>()
  private _appends = 0
  private _bytesAppended = 0

  public reset (): void {
    this._bytesRead.clear()
    this._readers.clear()
    this._appends = 0
    this._bytesAppended = 0
  }

  public countAppend (record: object): void {
    this._appends++
    this._bytesAppended += this._sizeOf(record)
  }

  public countRead (nodeId: base.NodeId, result: messages.LogReadResult): void {
    if (result.stream !== 'config') return
    const { records, firstOffset, nextOffset, retentionMs } = result
    const envelope = JSON.stringify({ records: records.map(({ offset }) => ({ offset, data: 0 })), firstOffset, nextOffset, retentionMs })
    const contents = records.reduce((sum, record) => sum + this._sizeOf(record.data as object) - 1, 0)
    this._bytesRead.set(nodeId, (this._bytesRead.get(nodeId) ?? 0) + envelope.length + contents)
    if (records.length > 0) this._readers.add(nodeId)
  }

  public figures (seconds: number): types.LogFigures {
    const bytes = [...this._readers].reduce((sum, nodeId) => sum + (this._bytesRead.get(nodeId) ?? 0), 0)
    return {
      bytesPerChange: this._bytesAppended / this._appends,
      readers: this._readers.size,
      bytesPerReaderS: bytes / this._readers.size / seconds
    }
  }

  private _sizeOf (record: object): number {
    const known = this._sizes.get(record)
    if (known !== undefined) return known
    const size = Buffer.byteLength(JSON.stringify(record))
    this._sizes.set(record, size)
    return size
  }
}
