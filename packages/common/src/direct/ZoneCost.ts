import type * as base from '../base/Types.js'

/** Round trip to another zone. */
const ROUND_TRIP_MS = 4
/**
 * For each KB that would pass between zones, a call waits in its own zone for this share of the mean time on a target, so
 * that calls with few bytes leave first. The wait is relative to that time because targets of a service of slow calls
 * differ by more, and with an absolute wait calls would change zones for differences that are small for the service.
 */
const SHARE_PER_KB = 0.5
const BYTES_PER_KB = 1024

/** Cost of a call to another zone, as the wait in the own zone that is preferred to it. `usualMs`: mean time of a call on a target of the service. */
export function otherZoneCostMs (bytes: number, usualMs: base.Millis): base.Millis {
  return ROUND_TRIP_MS + SHARE_PER_KB * usualMs * bytes / BYTES_PER_KB
}
