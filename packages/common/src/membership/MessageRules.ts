/** Validation of membership messages from peers. */
import type * as base from '../base/Types.js'
import * as tables from './MemberTable.js'
import * as rules from './RowRules.js'
import * as wires from './WireRow.js'

/** Maximum number of rows in one message. */
export const MAX_ROWS = 256
const MAX_CRASHES = 64
const MAX_TEXT_LENGTH = 256

/** Describes the first fault of a membership message; undefined if it is valid. */
export function messageProblem (value: unknown, nowMs: base.Millis): string | undefined {
  if (value === null || typeof value !== 'object') return 'message is not a map'
  const message = value as Record<string, unknown>
  switch (message['kind']) {
    case 'join':
      return typeof message['wantsRows'] === 'boolean' ? wires.wireProblem(message['row'], nowMs) : 'wantsRows is not a boolean'
    case 'gossip':
      return heartbeatProblem(message, nowMs)
    case 'probe':
      return sequenceProblem(message) ?? heartbeatProblem(message, nowMs)
    case 'probe-request':
      return sequenceProblem(message) ?? targetProblem(message)
    case 'probe-ack':
      return sequenceProblem(message) ?? targetProblem(message) ?? heartbeatProblem(message, nowMs)
    case 'table-digest':
      return bucketsProblem(message['buckets'])
    case 'table-rows':
      return rowsProblem(message['rows'], nowMs) ?? wantedProblem(message)
    default:
      return 'kind is unknown'
  }
}

function sequenceProblem (message: Record<string, unknown>): string | undefined {
  return rules.isCount(message['sequence']) ? undefined : 'sequence is not a non-negative integer'
}

function targetProblem (message: Record<string, unknown>): string | undefined {
  return isShortString(message['target']) ? undefined : `target is not a string of at most ${MAX_TEXT_LENGTH} characters`
}

function heartbeatProblem (message: Record<string, unknown>, nowMs: base.Millis): string | undefined {
  if (!rules.isCount(message['version']) || !rules.isCount(message['ownershipOffset'])) return 'version or ownershipOffset is not a non-negative integer'
  return rowsProblem(message['updates'], nowMs) ?? crashesProblem(message['crashes'])
}

function rowsProblem (rows: unknown, nowMs: base.Millis): string | undefined {
  if (!Array.isArray(rows)) return 'rows are not an array'
  if (rows.length > MAX_ROWS) return `more than ${MAX_ROWS} rows`
  for (const row of rows) {
    const problem = wires.wireProblem(row, nowMs)
    if (problem !== undefined) return problem
  }
  return undefined
}

function crashesProblem (crashes: unknown): string | undefined {
  if (!Array.isArray(crashes) || crashes.length > MAX_CRASHES) return `crashes are not an array of at most ${MAX_CRASHES} records`
  return crashes.every(isCrash) ? undefined : 'a crash record has an invalid field'
}

function isCrash (value: unknown): boolean {
  if (value === null || typeof value !== 'object') return false
  const crash = value as Record<string, unknown>
  return isShortString(crash['key']) && isShortString(crash['fingerprint']) && isShortString(crash['nodeId']) &&
    rules.isCount(crash['atMs']) && rules.isCount(crash['concurrent'])
}

function bucketsProblem (buckets: unknown): string | undefined {
  if (!Array.isArray(buckets) || !isBucketCount(buckets.length)) return `number of buckets is not a power of two from 1 to ${tables.MAX_BUCKETS}`
  return buckets.every(rules.isCount) ? undefined : 'a bucket hash is not a non-negative integer'
}

function wantedProblem (message: Record<string, unknown>): string | undefined {
  const wanted = message['wantedBuckets']
  const count = message['bucketCount']
  if (!Array.isArray(wanted) || !rules.isCount(count)) return 'wantedBuckets is not an array or bucketCount is not a non-negative integer'
  if (wanted.length === 0) return undefined
  if (!isBucketCount(count) || wanted.length > count) return 'bucketCount is out of range'
  return wanted.every(bucket => rules.isCount(bucket) && bucket < count) ? undefined : 'a wanted bucket is out of range'
}

function isBucketCount (count: number): boolean {
  return count >= 1 && count <= tables.MAX_BUCKETS && (count & (count - 1)) === 0
}

function isShortString (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}
