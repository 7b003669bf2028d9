import type * as base from '../base/Types.js'

/** Way to another zone and back. */
const WAY_MS = 4
/** A call waits at home for this long for each KB that would pass between zones, so that the ones with few bytes leave first. */
const MS_PER_KB = 40
const BYTES_PER_KB = 1024

/** Cost of a call to another zone, as the wait at home that it is worth. */
export function otherZoneCostMs (bytes: number): base.Millis {
  return WAY_MS + MS_PER_KB * bytes / BYTES_PER_KB
}
