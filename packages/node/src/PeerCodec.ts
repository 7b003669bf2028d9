import * as errors from './Errors.js'
import * as frameBody from './FrameBody.js'
import * as frameCompression from './FrameCompression.js'
import * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import * as messageChecks from './generated/MessageChecks.js'
import * as msgpackr from 'msgpackr'
import * as results from 'ts-results-es'
import type * as messages from '@elmpost/common/node/Messages.js'

const MAX_DETAIL_CHARS = 200
/** Messages with whole states or pages of tables. Bodies of calls are not compressed, because that would add latency. */
const COMPRESSED_KINDS: ReadonlySet<string> = new Set<messages.PeerMessage['kind']>(['state', 'push', 'table-rows'])

const TOO_LARGE = `it is larger than ${frameBody.MAX_STRUCTURE_BYTES} bytes without the body of a call`
/** First bytes of a frame with a handover: the size of the map, the key `kind` and its value. */
const HANDOVER_START = Buffer.concat([Buffer.of(0xde, 0, 2), msgpackr.pack('kind'), msgpackr.pack('handover')])

/** Encodes messages between nodes and decodes them defensively. */
export class PeerCodec {
  private readonly _packr = new msgpackr.Packr({ useRecords: false })

  /** Encodes a message; large ones are compressed if the receiver accepts that. */
  public encode (message: messages.PeerMessage, acceptsCompression = false): Buffer {
    const packed = this._packr.pack(message)
    return acceptsCompression && COMPRESSED_KINDS.has(message.kind) ? frameCompression.compress(packed) : packed
  }

  /** `mayHandOver` tells whether the sender may send a handover, which can be larger than other messages. */
  public decode (bytes: Uint8Array, mayHandOver: () => boolean = () => false): results.Result<messages.PeerMessage, errors.PeerMessageError> {
    let decoded: unknown
    try {
      decoded = this._unpack(bytes, mayHandOver)
    } catch (error) {
      return refuse(error instanceof Error ? error.message : String(error))
    }
    return checked(decoded)
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

/** Nodes of all versions send the kind first. Another order only means that a large handover is refused. */
function isHandover (frame: Buffer): boolean {
  return frame.subarray(0, HANDOVER_START.length).equals(HANDOVER_START)
}

function checked (decoded: unknown): results.Result<messages.PeerMessage, errors.PeerMessageError> {
  const kind = kindOf(decoded)
  if (kind === undefined) return refuse('it is not a map with a known kind')
  const check: jsonSchema.Check = messageChecks.CHECKS[kind]
  if (check(decoded)) return new results.Ok(decoded as messages.PeerMessage)
  return refuse(`${kind}: ${jsonSchema.describe(check)}`)
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
