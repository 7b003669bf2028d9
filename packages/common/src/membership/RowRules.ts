/** Precedence and validation of member rows. */
import type * as types from './Types.js'

const STATE_RANK: Readonly<Record<types.MemberState, number>> = {
  joining: 0,
  ready: 1,
  draining: 2,
  suspect: 3,
  left: 4,
  dead: 5
}

/** Precedence of a state among the states of one incarnation. */
export function stateRank (state: types.MemberState): number {
  return STATE_RANK[state]
}

/** Whether `a` takes precedence over `b`. */
export function isNewer (a: types.MemberRow, b: types.MemberRow): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  if (a.state !== b.state) return STATE_RANK[a.state] > STATE_RANK[b.state]
  return a.revision > b.revision
}

/** Whether the node is considered to take part in the mesh. */
export function isLive (row: types.MemberRow): boolean {
  return row.state === 'joining' || row.state === 'ready' || row.state === 'draining'
}

/** Whether the node is probed. Suspects are probed too, so that they learn of the suspicion. */
export function isProbed (row: types.MemberRow): boolean {
  return isLive(row) || row.state === 'suspect'
}

/** Whether the value is a non-negative safe integer. */
export function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}

export function isState (value: unknown): value is types.MemberState {
  return typeof value === 'string' && Object.hasOwn(STATE_RANK, value)
}
