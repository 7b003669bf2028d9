/** Format of crash reports on links and in the store. An invalid report does not cost the others. */
import * as crashHistory from '@elmpost/common/direct/CrashHistory.js'
import type * as direct from '@elmpost/common/direct/Types.js'

const ANSWERED: readonly direct.AnswerTime[] = ['never', 'before', 'after']
/** Added to the code of the answer for a request that ran alone. */
const TRIAL = 4
const MAX_ID_LENGTH = 64
const MAX_NAME_LENGTH = 256
/** Latest time of day that is taken for one: year 2200. */
const MAX_AT_MS = 7_258_118_400_000

type Values = readonly unknown[]

/** The reports as the last value of a message; no value if there are none. */
export function valuesOf (reports: readonly direct.CrashReport[] = []): Values {
  if (reports.length === 0) return []
  return [reports.map(({ id, service, ageMs, requests }) => [id, service, Math.round(ageMs), requests.map(requestValues)])]
}

/** The field of a decoded message; no field if the message has no valid report. Undefined if the value is no list. */
export function fieldOf (value: unknown): { readonly crashes?: readonly direct.CrashReport[] } | undefined {
  if (value === undefined) return {}
  if (!Array.isArray(value)) return undefined
  const crashes = listOf(value, crashHistory.MAX_REPORTS, reportOf)
  return crashes.length === 0 ? {} : { crashes }
}

/** The field of a node's record in the store; no field if it has no valid crash. */
export function storedFieldOf (value: unknown): { readonly crashes?: readonly direct.StoredCrash[] } {
  const crashes = Array.isArray(value) ? (value as unknown[]).slice(0, crashHistory.MAX_REPORTS).flatMap(entry => storedOf(entry) ?? []) : []
  return crashes.length === 0 ? {} : { crashes }
}

function storedOf (value: unknown): direct.StoredCrash | undefined {
  if (value === null || typeof value !== 'object') return undefined
  const { id, atMs, requests } = value as { readonly [name in keyof direct.StoredCrash]?: unknown }
  if (!isId(id) || !isWhole(atMs, MAX_AT_MS) || !Array.isArray(requests)) return undefined
  const valid = (requests as unknown[]).slice(0, crashHistory.MAX_REQUESTS).flatMap(request => storedRequestOf(request) ?? [])
  return { id, atMs, requests: valid }
}

function storedRequestOf (value: unknown): direct.CrashedRequest | undefined {
  if (value === null || typeof value !== 'object') return undefined
  const { fingerprint, isTrial, answered } = value as { readonly [name in keyof direct.CrashedRequest]?: unknown }
  const known = ANSWERED.find(time => time === answered)
  return isId(fingerprint) && typeof isTrial === 'boolean' && known !== undefined ? { fingerprint, isTrial, answered: known } : undefined
}

function requestValues ({ fingerprint, isTrial, answered }: direct.CrashedRequest): Values {
  return [fingerprint, ANSWERED.indexOf(answered) + (isTrial ? TRIAL : 0)]
}

function reportOf ([id, service, ageMs, requests]: Values): direct.CrashReport | undefined {
  if (!isId(id) || typeof service !== 'string' || service.length > MAX_NAME_LENGTH || !isWhole(ageMs, crashHistory.KEPT_MS)) return undefined
  return { id, service, ageMs, requests: requestsOf(requests) }
}

function requestsOf (value: unknown): direct.CrashedRequest[] {
  return listOf(value, crashHistory.MAX_REQUESTS, ([fingerprint, code]) => {
    const answered = isWhole(code, 2 * TRIAL) ? ANSWERED[code % TRIAL] : undefined
    return isId(fingerprint) && answered !== undefined ? { fingerprint, isTrial: Number(code) >= TRIAL, answered } : undefined
  })
}

function listOf<T> (value: unknown, most: number, itemOf: (values: Values) => T | undefined): T[] {
  if (!Array.isArray(value)) return []
  return (value as unknown[]).slice(0, most).flatMap(entry => {
    const item = Array.isArray(entry) ? itemOf(entry as Values) : undefined
    return item === undefined ? [] : [item]
  })
}

function isId (value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= MAX_ID_LENGTH
}

function isWhole (value: unknown, most: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= most
}
