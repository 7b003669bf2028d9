/** Hashes of member rows for the bucketed comparison of tables. */
import * as digest from '../base/Digest.js'
import * as rules from './RowRules.js'
import type * as types from './Types.js'

export interface RowHashes {
  /** Chooses the bucket. */
  readonly bucketHash: number
  /** Covers the id and the fields that decide precedence: incarnation, state and revision. */
  readonly hash: number
}

/** Cache: rows are immutable, and each is hashed when it is merged and when it is replaced. */
const known = new WeakMap<types.MemberRow, RowHashes>()

export function rowHash (row: types.MemberRow): RowHashes {
  let hashes = known.get(row)
  if (hashes === undefined) {
    hashes = compute(row)
    known.set(row, hashes)
  }
  return hashes
}

function compute (row: types.MemberRow): RowHashes {
  const bucketHash = digest.placementHash(row.nodeId)
  let hash = mix(bucketHash ^ (row.incarnation | 0))
  hash = mix(hash ^ Math.floor(row.incarnation / 2 ** 32))
  hash = mix(hash ^ rules.stateRank(row.state))
  return { bucketHash, hash: mix(hash ^ row.revision) >>> 0 }
}

function mix (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return hash ^ (hash >>> 16)
}
