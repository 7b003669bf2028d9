import * as errors from './Errors.js'
import * as frameCompression from './FrameCompression.js'
import * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import * as messageChecks from './generated/MessageChecks.js'
import * as msgpackr from 'msgpackr'
import * as results from 'ts-results-es'
import type * as messages from '@elmpost/common/node/Messages.js'

const MAX_DETAIL_CHARS = 200
/** Messages with whole states or pages of tables. Bodies of calls are not compressed, because that would add latency. */
const COMPRESSED_KINDS: ReadonlySet<string> = new Set<messages.PeerMessage['kind']>(['state', 'push', 'table-rows'])

/** Encodes messages between nodes and decodes them defensively. */
export class PeerCodec {
  private readonly _packr = new msgpackr.Packr({ useRecords: false })

  /** Encodes a message; large ones are compressed if the receiver accepts that. */
  public encode (message: messages.PeerMessage, acceptsCompression = false): Buffer {
    const packed = this._packr.pack(message)
    return acceptsCompression && COMPRESSED_KINDS.has(message.kind) ? frameCompression.compress(packed) : packed
  }

  public decode (bytes: Uint8Array): results.Result<messages.PeerMessage, errors.PeerMessageError> {
    let decoded: unknown
    try {
      decoded = this._packr.unpack(frameCompression.decompress(bytes))
    } catch (error) {
      return refuse(error instanceof Error ? error.message : String(error))
    }
    return checked(decoded)
  }
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
