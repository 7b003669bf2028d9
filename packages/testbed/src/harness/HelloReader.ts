import * as msgpackr from 'msgpackr'

const HEAD_END = '\r\n\r\n'
const FRAME_HEAD_BYTES = 2
const MASK_BYTES = 4
const LENGTH_BITS = 0x7f
const LENGTH_IN_TWO_BYTES = 126

/** What was read from one chunk of a connection. */
export interface HelloPart {
  /** HTTP upgrade request when this chunk completes it, otherwise empty. */
  readonly head: Buffer
  /** Node that has opened the connection; undefined until its first message is complete. */
  readonly nodeId: string | undefined
}

/** Reads the upgrade request and the `hello` message with which a node opens a connection (RFC 6455, masked frames). */
export class HelloReader {
  /** Bytes received after the upgrade request. */
  public rest: Buffer = Buffer.alloc(0)
  private _isHeadRead = false

  public read (part: Buffer): HelloPart {
    this.rest = Buffer.concat([this.rest, part])
    const head = this._isHeadRead ? Buffer.alloc(0) : this._takeHead()
    return { head, nodeId: this._isHeadRead ? this._parseNodeId() : undefined }
  }

  private _takeHead (): Buffer {
    const endsAt = this.rest.indexOf(HEAD_END)
    if (endsAt < 0) return Buffer.alloc(0)
    const head = this.rest.subarray(0, endsAt + HEAD_END.length)
    this.rest = this.rest.subarray(head.length)
    this._isHeadRead = true
    return head
  }

  private _parseNodeId (): string | undefined {
    if (this.rest.length < FRAME_HEAD_BYTES) return undefined
    const shortLength = this.rest.readUInt8(1) & LENGTH_BITS
    const isLong = shortLength === LENGTH_IN_TWO_BYTES
    const maskAt = isLong ? FRAME_HEAD_BYTES + 2 : FRAME_HEAD_BYTES
    if (this.rest.length < maskAt) return undefined
    const length = isLong ? this.rest.readUInt16BE(FRAME_HEAD_BYTES) : shortLength
    const mask = this.rest.subarray(maskAt, maskAt + MASK_BYTES)
    const body = this.rest.subarray(maskAt + MASK_BYTES, maskAt + MASK_BYTES + length)
    if (body.length < length) return undefined
    const hello = msgpackr.unpack(body.map((byte, index) => byte ^ (mask[index % MASK_BYTES] ?? 0))) as { nodeId: string }
    return hello.nodeId
  }
}
