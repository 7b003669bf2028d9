import * as zlib from 'node:zlib'

/** Name of the encoding in `hello`. A node sends compressed frames only to peers whose `hello` lists it. */
export const ENCODING = 'deflate-raw'
/** First byte of a compressed frame. MessagePack reserves it, so a node without compression refuses such a frame. */
const COMPRESSED_MARKER = 0xc1
/** Below this size, compression saves less than two TCP segments and takes about as long as encoding and decoding. */
export const MIN_COMPRESSED_BYTES = 4 * 1024
/**
 * Maximum size of a message in a compressed frame. It holds a configuration document of 1 MiB with the ownership table
 * of 810 services (420 KB). 2 MiB of empty maps, the MessagePack values that cost most to decode, block the event loop
 * for 0.6 s and take 180 MB, so a frame of a few KB must not expand further.
 */
export const MAX_INFLATED_BYTES = 2 * 1024 * 1024
/** Maximum ratio of inflated to deflated bytes. Complete configurations reach about 20; a far higher ratio is treated as an attack. */
export const MAX_COMPRESSION_RATIO = 64
/** Level 6 takes 2 to 3 times as long on a complete configuration and makes it only 1 % smaller. */
const DEFLATE_LEVEL = 1

/** Returns the frame of an encoded message, compressed if that makes it smaller and keeps within the receiver's limits. */
export function compress (encoded: Buffer): Buffer {
  if (encoded.length < MIN_COMPRESSED_BYTES || encoded.length > MAX_INFLATED_BYTES) return encoded
  const deflated = zlib.deflateRawSync(encoded, { level: DEFLATE_LEVEL })
  const isUseful = deflated.length + 1 < encoded.length && encoded.length <= maxInflatedBytes(deflated.length)
  return isUseful ? Buffer.concat([Buffer.of(COMPRESSED_MARKER), deflated]) : encoded
}

/** Returns the encoded message of a frame. Throws if the frame is corrupt or would inflate beyond a limit. */
export function decompress (frame: Uint8Array): Uint8Array {
  if (frame[0] !== COMPRESSED_MARKER) return frame
  const deflated = frame.subarray(1)
  return zlib.inflateRawSync(deflated, { maxOutputLength: Math.max(1, maxInflatedBytes(deflated.length)) })
}

function maxInflatedBytes (deflatedBytes: number): number {
  return Math.min(MAX_INFLATED_BYTES, MAX_COMPRESSION_RATIO * deflatedBytes)
}
