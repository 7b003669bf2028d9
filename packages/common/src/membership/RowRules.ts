/** Order and checks of member rows. */
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

const STATE_RANK: Readonly<Record<types.MemberState, number>> = {
  joining: 0,
  ready: 1,
  draining: 2,
  suspect: 3,
  left: 4,
  dead: 5
}

const MAX_TEXT_LENGTH = 256
/** A peer's clock may be ahead; an incarnation further ahead could never be refuted by a restart. */
const MAX_INCARNATION_AHEAD_MS = 86_400_000

/** Rank of a state among the states of one incarnation. */
export function stateRank (state: types.MemberState): number {
  return STATE_RANK[state]
}

/** Whether `a` takes precedence over `b`. */
export function isNewer (a: types.MemberRow, b: types.MemberRow): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  if (a.state !== b.state) return STATE_RANK[a.state] > STATE_RANK[b.state]
  return a.revision > b.revision
}

/** Whether the node of the row takes part in the mesh, as far as known. */
export function isLive (row: types.MemberRow): boolean {
  return row.state === 'joining' || row.state === 'ready' || row.state === 'draining'
}

/** Whether the row is probed. Suspects are probed too, so that they hear of the suspicion. */
export function isProbed (row: types.MemberRow): boolean {
  return isLive(row) || row.state === 'suspect'
}

/** Returns what is wrong with a row from a peer, or undefined. */
export function rowProblem (value: unknown, nowMs: base.Millis): string | undefined {
  if (value === null || typeof value !== 'object') return 'row is not a map'
  const row = value as Record<string, unknown>
  if (!isText(row['nodeId']) || row['nodeId'] === '') return 'nodeId of a row is not a text'
  if (!isText(row['peerAddress'])) return 'peerAddress of a row is not a text'
  if (!isText(row['callerAddress'])) return 'callerAddress of a row is not a text'
  if (!isText(row['adminAddress'])) return 'adminAddress of a row is not a text'
  if (!isText(row['zone']) || !isText(row['service'])) return 'zone or service of a row is not a text'
  if (!isText(row['successor'])) return 'successor of a row is not a text'
  if (typeof row['state'] !== 'string' || !Object.hasOwn(STATE_RANK, row['state'])) return 'state of a row is unknown'
  if (typeof row['targetReady'] !== 'boolean') return 'targetReady of a row is not a boolean'
  if (!isCount(row['targetReadySinceMs'])) return 'targetReadySinceMs of a row is not a time'
  if (!isCount(row['enforcedVersion'])) return 'enforcedVersion of a row is not a version'
  if (!isCount(row['revision'])) return 'revision of a row is not a count'
  if (!isCount(row['incarnation'])) return 'incarnation of a row is not a number'
  if (row['incarnation'] > nowMs + MAX_INCARNATION_AHEAD_MS) return 'incarnation of a row is too far in the future'
  return undefined
}

/** Whether the value is a whole number from 0 on. */
export function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}

function isText (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}
