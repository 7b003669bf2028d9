/** Wire form of member rows: arrays, because field names would be more than half of the bytes. */
import type * as base from '../base/Types.js'
import * as rules from './RowRules.js'
import type * as types from './Types.js'

const FIELD_COUNT = 13
const MAX_TEXT_LENGTH = 256
/** Allows for a peer's clock that is ahead. A restarted node could never refute an incarnation further in the future. */
const MAX_INCARNATION_AHEAD_MS = 86_400_000

/** Caches: a row is sent many times, and nodes in one process (tests, benchmarks) pass the same object to each other. */
const wireOfRow = new WeakMap<types.MemberRow, types.WireRow>()
const rowOfWire = new WeakMap<object, types.MemberRow>()

export function toWire (row: types.MemberRow): types.WireRow {
  return toWireWithVersion(row, row.enforcedVersion)
}

/** The row with a version that was learned after the row itself. */
export function toWireWithVersion (row: types.MemberRow, version: number): types.WireRow {
  const known = wireOfRow.get(row)
  if (known !== undefined && known[10] === version) return known
  const wire: types.WireRow = [
    row.nodeId, row.incarnation, row.state, row.peerAddress, row.callerAddress, row.adminAddress, row.zone, row.service,
    row.targetReady, row.targetReadySinceMs, version, row.revision, row.successor
  ]
  wireOfRow.set(row, wire)
  if (version === row.enforcedVersion) rowOfWire.set(wire, row)
  return wire
}

/** Decodes a row whose fields `wireProblem` has already validated. */
export function fromWire (wire: types.WireRow): types.MemberRow {
  const known = rowOfWire.get(wire)
  if (known !== undefined) return known
  const [
    nodeId, incarnation, state, peerAddress, callerAddress, adminAddress, zone, service,
    targetReady, targetReadySinceMs, enforcedVersion, revision, successor
  ] = wire
  const row: types.MemberRow = {
    nodeId,
    incarnation,
    state,
    peerAddress,
    callerAddress,
    zone,
    service,
    targetReady,
    targetReadySinceMs,
    enforcedVersion,
    adminAddress,
    revision,
    successor
  }
  rowOfWire.set(wire, row)
  return row
}

/** Describes the first fault of a row from a peer; undefined if it is valid. */
export function wireProblem (value: unknown, nowMs: base.Millis): string | undefined {
  if (!Array.isArray(value) || value.length !== FIELD_COUNT) return `a row is not an array of ${FIELD_COUNT} fields`
  const fields = value as unknown[]
  const incarnation = fields[1]
  if (!rules.isCount(incarnation)) return 'incarnation of a row is not a non-negative integer'
  if (incarnation > nowMs + MAX_INCARNATION_AHEAD_MS) return 'incarnation of a row is too far in the future'
  return rowOfWire.has(value) ? undefined : fieldsProblem(fields)
}

function fieldsProblem (fields: readonly unknown[]): string | undefined {
  const strings = [fields[0], fields[3], fields[4], fields[5], fields[6], fields[7], fields[12]]
  if (!strings.every(isShortString) || fields[0] === '') return 'an id, address, zone, service or successor of a row is not a valid string'
  if (!rules.isState(fields[2])) return 'state of a row is unknown'
  if (typeof fields[8] !== 'boolean') return 'targetReady of a row is not a boolean'
  const counts = [fields[9], fields[10], fields[11]]
  return counts.every(rules.isCount) ? undefined : 'a time, version or revision of a row is not a non-negative integer'
}

function isShortString (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}
