/** How many rows and members one message or change reaches. */
import type * as config from '../config/Types.js'

/** Rows on one heartbeat. */
export const PIGGYBACK_ROWS = 8
/** Rows on one heartbeat while a mass event is being told. */
export const PIGGYBACK_ROWS_BURST = 16
export const BURST_BACKLOG = 64
export const CRASHES_PER_MESSAGE = 8
/** Rows in one message to members that are told of changes at once. */
export const URGENT_ROWS = 32
/** In a mass event each change is told to fewer members at once; the table repair, which sends no duplicates, does the rest. */
export const MASS_FANOUT = 2
export const MASS_ROWS = 8
/** Members told at once of a change. With 4, a rumour reaches about 98 % of the members before heartbeats carry it on. */
export const URGENT_FANOUT: Readonly<Record<config.DistributionPreference, number>> = { 'convergence-time': 4, 'control-bytes': 2 }
/** Rows of a larger page are known to many members, so they are not gossiped on. */
export const MAX_GOSSIPED_PAGE = 16
