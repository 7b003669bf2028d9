import * as results from 'ts-results-es'
import * as uuid from 'uuid'
import type * as base from '../base/Types.js'
import * as digest from '../base/Digest.js'
import * as errors from './KeyError.js'

/** Partitions of each service. */
export const PARTITIONS = 64

/** Owners refuse keys issued further ahead of their clock; a restarted process relies on this bound. */
export const MAX_KEY_AHEAD_MS = 2_000

const UUID_VERSION = 7
const TIMESTAMP_HEX_DIGITS = 12

/** Whether the text is a UUIDv7. */
export function isKey (text: string): boolean {
  return uuid.validate(text) && uuid.version(text) === UUID_VERSION
}

/** Time of issue of a UUIDv7 key. */
export function keyTimeMs (key: string): results.Result<base.Millis, errors.KeyError> {
  if (!isKey(key)) {
    return results.Err(new errors.KeyError(key))
  }
  return results.Ok(parseInt(key.replace('-', '').slice(0, TIMESTAMP_HEX_DIGITS), 16))
}

/** UUIDs compare without regard to case, so the partition and the key table use the lower-case form. */
export function normalizeKey (key: string): string {
  return key.toLowerCase()
}

/** The low bits of the hash; 64 divides 2^32, so the partitions are equally likely. */
export function partitionOf (key: string): number {
  return digest.placementHash(normalizeKey(key)) % PARTITIONS
}
