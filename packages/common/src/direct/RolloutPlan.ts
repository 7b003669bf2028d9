/** Decides on the phases of a roll-out, and combines what nodes know of it. */
import type * as base from '../base/Types.js'
import * as rolloutTypes from './RolloutTypes.js'
import type * as types from './RolloutTypes.js'

/** Time before the end of the ramp at which the end is to be written: it covers the delay with which the order was read, and one retry. */
const WRITE_MARGIN_MS = 1_000
/** Time for the last phase to become known on all nodes, beyond which calls that began before it run for their timeout. */
const SPREAD_MS = 400
/** Parts of the time before `all` after which a larger share than that of `canary` is tried. They are late and short, because a version may turn bad under load. */
const QUARTER_AT = 0.88
const HALF_AT = 0.95
/** Shares as multiples of the share that a bad version may get. */
const SHARE_FACTOR = { quarter: 2, half: 5 } as const
/** Share of the canary: a part of the allowed share, and so many calls a second that services with few calls are judged too. */
const CANARY_FACTOR = 0.2
const CANARY_CALLS_PER_S = 3
const MAX_CANARY_FACTOR = 2.5
/** Share of the canary if the rate of calls is not known, as a part of the allowed share. */
const BLIND_CANARY_FACTOR = 0.3
/** Time after the order in which hosts report the rate of calls, from which the share of the canary follows. */
const RATE_MS = 700
/** Shortest time in each phase, within which a bad version shows. */
const MIN_CANARY_MS = 1_000
const MIN_STEP_MS = 250
/** Slots of the new targets, as a share of those of the old ones, that suffice for any load, since old targets in overload seem to need all of theirs. */
const ENOUGH_SLOT_SHARE = 0.8
const MS_PER_S = 1000
/** A version that has lost all of its targets for this time, while most calls depend on it, is bad. */
const LOST_MS = 1_000
/** If an old host does not confirm the last phase, its target is given up this long before the end of the ramp, which began up to 300 ms before the order was read. */
const UNCONFIRMED_MARGIN_MS = 900

/** What the driver of a roll-out knows when it decides. */
export interface RolloutView {
  readonly state: types.RolloutState
  readonly nowMs: base.Millis
  /** Since when this node knows the phase. */
  readonly phaseSinceMs: base.Millis
  readonly exposureShare: number
  readonly verdict: types.HealthVerdict
  /** Calls for the service a second; 0 if it is not known. */
  readonly callsPerS: number
  /** Longest timeout of a route of the service. */
  readonly longestTimeoutMs: base.Millis
  readonly newSlots: number
  readonly oldSlots: number
  /** Mean time of a call on an old target; 0 if it is not known. */
  readonly serviceMs: base.Millis
  /** Since when no target of the version has been ready; undefined if one is. */
  readonly lostSinceMs: base.Millis | undefined
  /** All hosts of old targets that report enforce the phase and run no call. */
  readonly isConfirmed: boolean
}

export type RolloutStep =
  | { readonly kind: 'stay' | 'complete' | 'roll-back' }
  | { readonly kind: 'phase', readonly phase: types.RolloutPhase, readonly share: number }

const STAY: RolloutStep = { kind: 'stay' }

/** Text that is the same for one order on all nodes that know its offset, or on all that do not. */
export function keyOf ({ targetVersion, offset, digest }: types.RolloutOrder): string {
  return `${targetVersion} ${offset ?? digest}`
}

/** Whether both are the same order. The offset decides if both have one. */
export function isSameOrder (one: types.RolloutOrder, other: types.RolloutOrder): boolean {
  if (one.service !== other.service || one.targetVersion !== other.targetVersion) return false
  return one.offset === undefined || other.offset === undefined ? one.digest === other.digest : one.offset === other.offset
}

export function isFinal (phase: types.RolloutPhase): boolean {
  return phase === 'done' || phase === 'rolled-back'
}

/** Whether the calls of the service may be sent to one of both kinds of targets only: `new`, `old` or, if to both, undefined. */
export function onlySide ({ phase, isBad }: types.RolloutState): 'new' | 'old' | undefined {
  if (phase === 'done') return 'new'
  if (isBad || phase === 'rolled-back') return 'old'
  return phase === 'all' ? 'new' : undefined
}

/** Combines what is known with what was heard. Returns `known` itself if nothing is new. */
export function merge (known: types.RolloutState, heard: types.RolloutState): types.RolloutState {
  if (!isSameOrder(known.order, heard.order)) return isNewer(heard, known) ? heard : known
  const isFurther = !isFinal(known.phase) && rankOf(heard.phase) > rankOf(known.phase)
  const { phase, share } = isFurther ? heard : known
  const merged: types.RolloutState = {
    order: known.order.offset === undefined && heard.order.offset !== undefined ? heard.order : known.order,
    phase,
    share,
    isBad: phase !== 'done' && (known.isBad || heard.isBad),
    isRecorded: known.isRecorded || heard.isRecorded,
    isPast: known.isPast && heard.isPast,
    orderedAtMs: known.isPast && !heard.isPast ? heard.orderedAtMs : known.orderedAtMs
  }
  const isChanged = merged.order !== known.order || isFurther || merged.isBad !== known.isBad || merged.isRecorded !== known.isRecorded || merged.isPast !== known.isPast
  return isChanged ? merged : known
}

/** The next step of an order that has not ended. */
export function next (view: RolloutView): RolloutStep {
  const { state: { order, phase, orderedAtMs, isBad }, nowMs, phaseSinceMs, verdict, longestTimeoutMs, newSlots, oldSlots, lostSinceMs } = view
  if (isFinal(phase)) return STAY
  if (isBad || (phase !== 'waiting' && verdict === 'bad')) return { kind: 'roll-back' }
  const isDependent = phase === 'half' || phase === 'all'
  if (isDependent && lostSinceMs !== undefined && nowMs - lostSinceMs > LOST_MS) return { kind: 'roll-back' }
  const ageMs = nowMs - orderedAtMs
  const inPhaseMs = nowMs - phaseSinceMs
  const settleMs = longestTimeoutMs + SPREAD_MS
  const allAtMs = Math.max(0, order.rampMs - WRITE_MARGIN_MS - settleMs)
  const share = shareOf(phase, view)
  // The slots that are in use on average. Some targets of the version may be missing, which must not hold it up for nothing.
  const hasCapacity = newSlots > 0 && newSlots >= Math.min(view.callsPerS * view.serviceMs / MS_PER_S, ENOUGH_SLOT_SHARE * oldSlots)
  switch (phase) {
    case 'waiting':
      return newSlots > 0 && ageMs >= RATE_MS ? { kind: 'phase', phase: 'canary', share } : STAY
    case 'canary':
      return hasCapacity && ageMs >= allAtMs * QUARTER_AT && inPhaseMs >= MIN_CANARY_MS ? { kind: 'phase', phase: 'quarter', share } : STAY
    case 'quarter':
      return hasCapacity && ageMs >= allAtMs * HALF_AT && inPhaseMs >= MIN_STEP_MS ? { kind: 'phase', phase: 'half', share } : STAY
    case 'half':
      return hasCapacity && ageMs >= allAtMs && inPhaseMs >= MIN_STEP_MS ? { kind: 'phase', phase: 'all', share } : STAY
    case 'all':
      if (newSlots === 0 || inPhaseMs <= settleMs) return STAY
      return view.isConfirmed || ageMs >= order.rampMs - UNCONFIRMED_MARGIN_MS ? { kind: 'complete' } : STAY
    default:
      return STAY
  }
}

/** Share of the phase after this one. */
function shareOf (phase: types.RolloutPhase, { exposureShare, callsPerS }: RolloutView): number {
  switch (phase) {
    case 'waiting': {
      if (callsPerS === 0) return Math.min(1, exposureShare * BLIND_CANARY_FACTOR)
      return Math.min(1, exposureShare * MAX_CANARY_FACTOR, exposureShare * CANARY_FACTOR + CANARY_CALLS_PER_S / callsPerS)
    }
    case 'canary': return Math.min(1, exposureShare * SHARE_FACTOR.quarter)
    case 'quarter': return Math.min(1, exposureShare * SHARE_FACTOR.half)
    default: return 1
  }
}

function rankOf (phase: types.RolloutPhase): number {
  return rolloutTypes.PHASES.indexOf(phase)
}

function isNewer (one: types.RolloutState, other: types.RolloutState): boolean {
  if (one.order.offset !== undefined && other.order.offset !== undefined) return one.order.offset > other.order.offset
  // An order of the past is read again after each restart of a reader.
  if (one.isPast !== other.isPast) return other.isPast
  return one.orderedAtMs > other.orderedAtMs
}
