import * as zlib from 'node:zlib'

/** Name of the encoding in `hello`. A node sends compressed frames only to peers that have named it. */
export const ENCODING = 'deflate-raw'
/** First byte of a compressed frame. MessagePack never uses it, so a node without compression refuses such a frame. */
const MARK = 0xc1
/** Below this size compression saves less than two TCP segments and takes about as long as packing and unpacking. */
export const MIN_COMPRESSED_BYTES = 4 * 1024
/**
 * Largest message in a compressed frame: a document of 1 MiB with the ownership table of 810 services (420 KB). 2 MiB
 * of the most expensive MessagePack (empty maps) hold up the event loop for 0.6 s and take 180 MB, so more is not
 * accepted from a frame of a few KB.
 */
export const MAX_INFLATED_BYTES = 2 * 1024 * 1024
/** Whole configurations shrink 20-fold; data that shrinks far more than any of them is taken for an attack. */
export const MAX_RATIO = 64
/** Level 6 took 2 to 3 times as long on a whole configuration and made it 1 % smaller. */
const LEVEL = 1

/** Frame with the packed message, compressed if that makes it smaller and the receiver's bounds allow it. */
export function compress (packed: Buffer): Buffer {
  if (packed.length < MIN_COMPRESSED_BYTES || packed.length > MAX_INFLATED_BYTES) return packed
  const deflated = zlib.deflateRawSync(packed, { level: LEVEL })
  const isUseful = deflated.length + 1 < packed.length && packed.length <= maxInflatedBytes(deflated.length)
  return isUseful ? Buffer.concat([Buffer.of(MARK), deflated]) : packed
}

/** Packed message of a frame. Throws if the frame is corrupt, or before it exceeds a bound. */
export function decompress (frame: Uint8Array): Uint8Array {
  if (frame[0] !== MARK) return frame
  const deflated = frame.subarray(1)
  return zlib.inflateRawSync(deflated, { maxOutputLength: Math.max(1, maxInflatedBytes(deflated.length)) })
}

function maxInflatedBytes (deflatedBytes: number): number {
  return Math.min(MAX_INFLATED_BYTES, MAX_RATIO * deflatedBytes)
}
