/** Format of what nodes tell each other of roll-outs. An invalid entry does not cost the others. */
import * as linkValues from './LinkValues.js'
import * as nodeRecords from './NodeRecords.js'
import * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import * as versionHealth from '@elmpost/common/direct/VersionHealth.js'
import type * as base from '@elmpost/common/base/Types.js'

/** State of a roll-out, with the time since its order in place of the time of the order. */
export interface RolloutNews extends Omit<rolloutTypes.RolloutState, 'orderedAtMs'> {
  readonly ageMs: base.Millis
}

const MAX_ENTRIES = 512
const MAX_CLASSES = 256
const MAX_DIGEST_LENGTH = 64
const UNKNOWN_OFFSET = -1
const FLAG = { isBad: 1, isRecorded: 2, isPast: 4 } as const
const ALL_FLAGS = 7

type Values = readonly unknown[]

export function newsOfState ({ order, phase, share, isBad, isRecorded, isPast, orderedAtMs }: rolloutTypes.RolloutState, nowMs: base.Millis): RolloutNews {
  return { order, phase, share, isBad, isRecorded, isPast, ageMs: nowMs - orderedAtMs }
}

export function stateOfNews ({ order, phase, share, isBad, isRecorded, isPast, ageMs }: RolloutNews, nowMs: base.Millis): rolloutTypes.RolloutState {
  return { order, phase, share, isBad, isRecorded, isPast, orderedAtMs: nowMs - ageMs }
}

export function newsValues (news: readonly RolloutNews[]): Values {
  return news.map(({ order, phase, share, isBad, isRecorded, isPast, ageMs }) => [
    order.service, order.targetVersion, Math.round(order.rampMs), order.offset ?? UNKNOWN_OFFSET, order.digest, rolloutTypes.PHASES.indexOf(phase), share,
    (isBad ? FLAG.isBad : 0) + (isRecorded ? FLAG.isRecorded : 0) + (isPast ? FLAG.isPast : 0), Math.max(0, Math.round(ageMs))
  ])
}

/** Undefined if the value is no list. */
export function newsOf (value: unknown): RolloutNews[] | undefined {
  return listOf(value, MAX_ENTRIES, ([service, targetVersion, rampMs, offset, digest, phaseCode, share, flags, ageMs]) => {
    const phase = phaseOf(phaseCode)
    if (!nodeRecords.isName(service) || !nodeRecords.isName(targetVersion) || !linkValues.isWhole(rampMs) || !isDigest(digest) || phase === undefined) return undefined
    if (!Number.isSafeInteger(offset) || !linkValues.isWhole(flags) || flags > ALL_FLAGS || !linkValues.isWhole(ageMs)) return undefined
    if (typeof share !== 'number' || !(share >= 0 && share <= 1)) return undefined
    const order = { service, targetVersion, rampMs, digest, ...((offset as number) < 0 ? {} : { offset: offset as number }) }
    return { order, phase, share, isBad: (flags & FLAG.isBad) > 0, isRecorded: (flags & FLAG.isRecorded) > 0, isPast: (flags & FLAG.isPast) > 0, ageMs }
  })
}

export function healthValues (hosts: readonly rolloutTypes.HostHealth[]): Values {
  return hosts.map(({ nodeId, service, orderKey, sequence, softwareVersion = '', phase, running, sums }) => [
    nodeId, service, orderKey, sequence, softwareVersion, rolloutTypes.PHASES.indexOf(phase), running,
    [...sums].map(([name, { answers, bad, timeMs, times }]) => [name, answers, bad, Math.round(timeMs), ...timeValues(times)])
  ])
}

/** Undefined if the value is no list. */
export function healthOf (value: unknown): rolloutTypes.HostHealth[] | undefined {
  return listOf(value, MAX_ENTRIES, ([nodeId, service, orderKey, sequence, softwareVersion, phaseCode, running, classes]) => {
    const phase = phaseOf(phaseCode)
    const sums = listOf(classes, MAX_CLASSES, classOf)
    if (typeof nodeId !== 'string' || !nodeRecords.isAddress(nodeId) || !nodeRecords.isName(service) || typeof orderKey !== 'string' || !linkValues.isWhole(sequence)) return undefined
    if ((softwareVersion !== '' && !nodeRecords.isName(softwareVersion)) || phase === undefined || !linkValues.isWhole(running) || sums === undefined) return undefined
    return { nodeId, service, orderKey, sequence, ...(softwareVersion === '' ? {} : { softwareVersion }), phase, running, sums: new Map(sums) }
  })
}

/** Leaves out the empty buckets before the first answer. */
function timeValues (times: readonly number[]): number[] {
  const first = Math.max(0, times.findIndex(count => count > 0))
  return [first, ...times.slice(first)]
}

function classOf ([name, answers, bad, timeMs, first, ...counts]: Values): [string, rolloutTypes.ClassSums] | undefined {
  if (!nodeRecords.isName(name) || !linkValues.isWhole(answers) || !linkValues.isWhole(bad) || !linkValues.isWhole(timeMs) || !linkValues.isWhole(first) || !counts.every(linkValues.isWhole)) return undefined
  if (first + counts.length > versionHealth.BUCKETS) return undefined
  return [name, { answers, bad, timeMs, times: [...Array.from({ length: first }, () => 0), ...counts] }]
}

function phaseOf (code: unknown): rolloutTypes.RolloutPhase | undefined {
  return linkValues.isWhole(code) ? rolloutTypes.PHASES[code] : undefined
}

function listOf<T> (value: unknown, most: number, itemOf: (values: Values) => T | undefined): T[] | undefined {
  if (!Array.isArray(value)) return undefined
  return (value as unknown[]).slice(0, most).flatMap(entry => {
    const item = Array.isArray(entry) ? itemOf(entry as Values) : undefined
    return item === undefined ? [] : [item]
  })
}

function isDigest (value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= MAX_DIGEST_LENGTH
}
