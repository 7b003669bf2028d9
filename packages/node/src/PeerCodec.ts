import * as errors from './Errors.js'
import * as frameBody from './FrameBody.js'
import * as frameCompression from './FrameCompression.js'
import * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import * as messageChecks from './generated/MessageChecks.js'
import * as msgpackr from 'msgpackr'
import * as results from 'ts-results-es'
import type * as messages from '@elmpost/common/node/Messages.js'

const MAX_DETAIL_CHARS = 200
/** Messages with complete states or pages of tables. Bodies of calls are not compressed, because that would add latency. */
const COMPRESSED_KINDS: ReadonlySet<string> = new Set<messages.PeerMessage['kind']>(['state', 'push', 'table-rows'])

const TOO_LARGE = `it is larger than ${frameBody.MAX_STRUCTURE_BYTES} bytes without the body of a call`
/** First bytes of a handover frame: the size of the map, the key `kind` and its value. */
const HANDOVER_PREFIX = Buffer.concat([Buffer.of(0xde, 0, 2), msgpackr.pack('kind'), msgpackr.pack('handover')])

/** Encodes messages between nodes. Decoding checks sizes and schemas, and never throws. */
export class PeerCodec {
  private readonly _packr = new msgpackr.Packr({ useRecords: false })

  /** Encodes a message. Large messages of some kinds are compressed if the receiver accepts that. */
  public encode (message: messages.PeerMessage, acceptsCompression = false): Buffer {
    const packed = this._packr.pack(message)
    return acceptsCompression && COMPRESSED_KINDS.has(message.kind) ? frameCompression.compress(packed) : packed
  }

  /** Decodes a frame. `mayHandOver` returns whether the sender may send a handover larger than the limit of other messages. */
  public decode (bytes: Uint8Array, mayHandOver: () => boolean = () => false): results.Result<messages.PeerMessage, errors.PeerMessageError> {
    let decoded: unknown
    try {
      decoded = this._unpack(bytes, mayHandOver)
    } catch (error) {
      return refuse(error instanceof Error ? error.message : String(error))
    }
    return validate(decoded)
  }

  private _unpack (bytes: Uint8Array, mayHandOver: () => boolean): unknown {
    const packed = frameCompression.decompress(bytes)
    if (packed.length <= frameBody.MAX_STRUCTURE_BYTES) return this._packr.unpack(packed)
    const frame = Buffer.from(packed.buffer, packed.byteOffset, packed.length)
    return isHandover(frame) && mayHandOver() ? this._packr.unpack(frame) : this._unpackWithBody(frame)
  }

  private _unpackWithBody (frame: Buffer): unknown {
    const parts = frameBody.split(frame, frameBody.MAX_STRUCTURE_BYTES)
    if (parts === undefined) throw new RangeError(TOO_LARGE)
    const decoded: unknown = this._packr.unpack(parts.rest)
    const isBody = decoded !== null && typeof decoded === 'object' && frameBody.isPlaceholder((decoded as { body?: unknown }).body, parts)
    if (!isBody) throw new RangeError(TOO_LARGE)
    return { ...decoded, body: parts.body }
  }
}

/** Relies on `kind` being the first field, as nodes of all versions send it. In another order, a large handover is refused. */
function isHandover (frame: Buffer): boolean {
  return frame.subarray(0, HANDOVER_PREFIX.length).equals(HANDOVER_PREFIX)
}

function validate (decoded: unknown): results.Result<messages.PeerMessage, errors.PeerMessageError> {
  const kind = kindOf(decoded)
  if (kind === undefined) return refuse('it is not a map with a known kind')
  const check: jsonSchema.Check = messageChecks.CHECKS[kind]
  if (check(decoded)) return new results.Ok(decoded as messages.PeerMessage)
  return refuse(`${kind}: ${jsonSchema.describeErrors(check)}`)
}

function kindOf (decoded: unknown): messages.PeerMessage['kind'] | undefined {
  if (decoded === null || typeof decoded !== 'object') return undefined
  const kind = (decoded as { kind?: unknown }).kind
  if (typeof kind !== 'string' || !Object.hasOwn(messageChecks.CHECKS, kind)) return undefined
  return kind as messages.PeerMessage['kind']
}

function refuse (detail: string): results.Err<errors.PeerMessageError> {
  return new results.Err(new errors.PeerMessageError(detail.slice(0, MAX_DETAIL_CHARS)))
}
