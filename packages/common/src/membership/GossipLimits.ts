/** Limits of rows per message and of members per change. */
import type * as config from '../config/Types.js'

/** Rows on one heartbeat. */
export const PIGGYBACK_ROWS = 8
/** Rows on one heartbeat while the backlog exceeds `BURST_BACKLOG`, as in a mass event. */
export const PIGGYBACK_ROWS_BURST = 16
export const BURST_BACKLOG = 64
export const CRASHES_PER_MESSAGE = 8
/** Rows in one message that is sent ahead of the heartbeats. */
export const URGENT_ROWS = 32
/** In a mass event each change is sent to fewer members ahead of the heartbeats; the table repair, which sends no duplicates, spreads it further. */
export const MASS_EVENT_FANOUT = 2
/** More urgent rows than this in one message count as a mass event. */
export const MASS_EVENT_ROWS = 8
/** Members to which a change is sent ahead of the heartbeats. With 4, it reaches about 98 % of the members before heartbeats spread it further. */
export const URGENT_FANOUT: Readonly<Record<config.DistributionPreference, number>> = { 'convergence-time': 4, 'control-bytes': 2 }
/** Rows of a larger page are already known to many members, so they are not gossiped. */
export const MAX_GOSSIPED_PAGE_ROWS = 16
