/** Splits the body of a call off its frame before decoding, so that a size limit can apply to the rest of the frame. */

/**
 * Maximum size of a frame without the body of a call. The largest valid one is a configuration document of 1 MiB with
 * the ownership table of 5,000 services (2.6 MB). Empty maps are the MessagePack values that cost most to decode: they
 * block the event loop for 0.2 s per MiB, and 32 MiB of them for 6 to 7.5 s with up to 2.3 GB of memory.
 */
export const MAX_STRUCTURE_BYTES = 4 * 1024 * 1024

/** MessagePack: type byte of a binary value with a 32-bit length, and a complete empty binary value. */
const BINARY_32 = 0xc6
const BINARY_32_HEADER_BYTES = 5
const EMPTY_BINARY = Buffer.of(0xc4, 0)

/** A frame whose body is kept apart and replaced by an empty binary value in `rest`. */
export interface SplitFrame {
  readonly rest: Buffer
  readonly body: Buffer
  /** Offset in `rest` of the contents of the empty binary value. */
  readonly bodyOffset: number
}

/**
 * Splits off the bytes that may be the body of a call. Bytes of a string or of another value can look like a binary
 * value, so the result is valid only if `isPlaceholder` is true for the `body` of the decoded `rest`.
 */
export function split (frame: Buffer, maxRestBytes: number): SplitFrame | undefined {
  const at = findBinary(frame, maxRestBytes)
  if (at === undefined) return undefined
  const begin = at + BINARY_32_HEADER_BYTES
  const end = begin + frame.readUInt32BE(at + 1)
  const rest = Buffer.concat([frame.subarray(0, at), EMPTY_BINARY, frame.subarray(end)])
  return { rest, body: frame.subarray(begin, end), bodyOffset: at + EMPTY_BINARY.length }
}

/** Whether a decoded value is the empty value that `split` inserted: no other empty value can begin at this offset. */
export function isPlaceholder (value: unknown, { rest, bodyOffset }: SplitFrame): boolean {
  return value instanceof Uint8Array && value.length === 0 && value.buffer === rest.buffer && value.byteOffset === rest.byteOffset + bodyOffset
}

/** Offset of the longest binary value without which at most `maxRestBytes` of the frame remain. */
function findBinary (frame: Buffer, maxRestBytes: number): number | undefined {
  let found: number | undefined
  let longest = Math.max(-1, frame.length - maxRestBytes - 1)
  // Stops when the rest of the frame is too short for a longer value. Without this bound, a body full of such bytes took 0.2 s.
  for (let at = frame.indexOf(BINARY_32); at >= 0 && frame.length - at - BINARY_32_HEADER_BYTES > longest; at = frame.indexOf(BINARY_32, at + 1)) {
    const length = frame.readUInt32BE(at + 1)
    if (length <= longest || at + BINARY_32_HEADER_BYTES + length > frame.length) continue
    found = at
    longest = length
  }
  return found
}
