import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as msgpackr from 'msgpackr'

const SHARED_PARTS = ['updates', 'rows', 'row', 'delta', 'state', 'ownership'] as const

/** Counts the bytes that each node sends and receives, as encoded by msgpackr. Frame and TCP headers are not included. */
export class MessageMeter {
  public sentBytes = new Map<base.NodeId, number>()
  public receivedBytes = new Map<base.NodeId, number>()
  public byKind = new Map<string, { count: number, bytes: number }>()
  private readonly _packr = new msgpackr.Packr({ useRecords: false })
  /** Cached sizes of rows, deltas and states, because many messages share them. */
  private readonly _sizes = new WeakMap<object, number>()

  public reset (): void {
    this.sentBytes.clear()
    this.receivedBytes.clear()
    this.byKind.clear()
  }

  /** Bytes that the node has sent and received. */
  public totalOf (nodeId: base.NodeId): number {
    return (this.sentBytes.get(nodeId) ?? 0) + (this.receivedBytes.get(nodeId) ?? 0)
  }

  public count (from: base.NodeId, to: base.NodeId, message: messages.ControlMessage): void {
    const bytes = this.sizeOf(message)
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes)
    this.receivedBytes.set(to, (this.receivedBytes.get(to) ?? 0) + bytes)
    const kind = this.byKind.get(message.kind)
    if (kind === undefined) this.byKind.set(message.kind, { count: 1, bytes })
    else {
      kind.count++
      kind.bytes += bytes
    }
  }

  /** Size of the message. Large parts are encoded once per object. */
  public sizeOf (message: messages.ControlMessage): number {
    const shell: Record<string, unknown> = { ...message }
    let bytes = 0
    for (const part of SHARED_PARTS) {
      const value = shell[part]
      if (value === undefined) continue
      if (Array.isArray(value) && part !== 'row') {
        for (const row of value) bytes += this._partSize(row as object)
        shell[part] = []
        if (value.length > 15) bytes += 2
      } else {
        bytes += this._partSize(value as object) - 1
        shell[part] = 0
      }
    }
    return bytes + this._packr.pack(shell).length
  }

  private _partSize (part: object): number {
    const known = this._sizes.get(part)
    if (known !== undefined) return known
    const bytes = this._packr.pack(part).length
    this._sizes.set(part, bytes)
    return bytes
  }
}
