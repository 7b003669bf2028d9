import * as blockBody from '../BlockBody.js'
import * as answerStatus from '@elmpost/common/direct/AnswerStatus.js'
import * as crashReports from './CrashReports.js'
import * as grantMessages from './GrantMessages.js'
import * as linkValues from './LinkValues.js'
import * as msgpackr from 'msgpackr'
import * as nodeRecords from './NodeRecords.js'
import * as rolloutReports from './RolloutReports.js'
import * as results from 'ts-results-es'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import type * as types from './Types.js'

const STATES: readonly direct.TargetState[] = ['ready', 'leaving', 'down', 'absent']
const REFUSALS: readonly direct.RefusalReason[] = ['no-target', 'busy', 'target-refused', 'deadline', 'stopping']
const FAILURES: readonly direct.FailureReason[] = ['timeout', 'peer-lost', 'target-lost', 'bad-answer']

/** A body of at least this length is sent as a part of its own. */
const MIN_PART_BYTES = 64 * 1024
/** MessagePack types with a length of 16 and of 32 bits. */
const ARRAY_16 = 0xdc
const BYTES_32 = 0xc6

/** Encodes an age that is not known. */
const UNKNOWN_AGE = -1
/** Encodes that there is no limit. */
const NO_LIMIT = -1
/** Encodes an era that is not known. */
const UNKNOWN_ERA = -1
/** Number of values that encode a load, without its limit. */
const LOAD_VALUES = 6
/** Number of values that encode a limit. */
const LIMIT_VALUES = 2

/** First value of each message, which identifies its kind. */
const KIND = { hello: 0, status: 1, call: 2, answered: 3, refused: 4, failed: 5, cancel: 6, alive: 7, rulesRequest: 8, rules: 9, nodesRequest: 10, nodes: 11, grantsRequest: 12, grants: 13, rollouts: 14, rolloutHealth: 15, takesOffers: 16, offer: 17, bodyRequest: 18, body: 19, bodyPart: 20 } as const

export interface HelloMessage {
  readonly kind: 'hello'
  readonly nodeId: string
  readonly zone: string
  readonly service: string
  readonly version: number
  /** Capacity of the VM's link, in Mbit/s. */
  readonly linkMbps: number
  /** What the sender knows of the target beside the receiver. A host that has restarted learns it before the first call. */
  readonly notice?: direct.KnownNotice | undefined
}

/** Tells that the sender lives, which version it enforces, and what it knows of the store. */
export interface AliveMessage {
  readonly kind: 'alive'
  readonly version: number
  /** When it was written, on the monotonic clock of the sender. Undefined from a node of an earlier version. */
  readonly sentAtMs?: base.Millis
  /** Since the store last answered the sender. Undefined if the message does not tell. */
  readonly storeAgeMs?: base.Millis
  /** Since the version is known to have been the newest one. Undefined if the message does not tell. */
  readonly confirmedAgeMs?: base.Millis
}

/** Passes records of nodes on, and crashes of targets, which nodes of an earlier version do not read. */
export interface NodesMessage {
  readonly kind: 'nodes'
  readonly nodes: readonly direct.NodeRecord[]
  readonly crashes?: readonly direct.CrashReport[] | undefined
  /** Number of records that the receiver has left out, because they are invalid. */
  readonly refused?: number
}

/** Messages between two nodes. The side that opened the link sends calls; the other side answers them. */
export type LinkMessage =
  | HelloMessage
  | { readonly kind: 'status', readonly status: direct.HostStatus }
  | { readonly kind: 'call', readonly call: types.CallMessage }
  | { readonly kind: 'result', readonly callId: number, readonly result: types.HostResult, readonly load: direct.TargetLoad }
  | { readonly kind: 'cancel', readonly callId: number }
  /** The host takes calls with long bodies as offers, and the bodies in parts. Nodes of earlier versions do not say so. */
  | { readonly kind: 'takes-offers', readonly takesParts: boolean }
  /** A call whose body, of this length, is sent when the host requests it. */
  | { readonly kind: 'offer', readonly call: types.CallMessage, readonly bodyBytes: number }
  | { readonly kind: 'body-request', readonly callId: number }
  | { readonly kind: 'body', readonly callId: number, readonly body: blockBody.Body }
  /** The next part of a body. */
  | { readonly kind: 'body-part', readonly callId: number, readonly part: Uint8Array }
  | AliveMessage
  | { readonly kind: 'rules-request' }
  | { readonly kind: 'rules', readonly bytes: Uint8Array }
  | { readonly kind: 'nodes-request' }
  | NodesMessage
  | grantMessages.GrantsRequestMessage
  | grantMessages.GrantsMessage
  | { readonly kind: 'rollouts', readonly rollouts: readonly rolloutReports.RolloutNews[] }
  | { readonly kind: 'rollout-health', readonly hosts: readonly rolloutTypes.HostHealth[] }

type Values = readonly unknown[]

/** The message as it is true after it has waited for `delayMs` on its way. */
export function older (message: AliveMessage, delayMs: base.Millis): AliveMessage {
  const { storeAgeMs, confirmedAgeMs } = message
  if (storeAgeMs === undefined || confirmedAgeMs === undefined) return message
  return { ...message, storeAgeMs: storeAgeMs + delayMs, confirmedAgeMs: confirmedAgeMs + delayMs }
}

/** Encodes messages as arrays, because property names would add to the traffic between zones. Validates what it decodes. */
export class LinkCodec {
  private readonly _packr = new msgpackr.Packr({ useRecords: false })

  public encode (message: LinkMessage): Buffer {
    return this._packr.pack(valuesOf(message))
  }

  /**
   * Encodes a message in parts that are sent one after the other. A long body is a part of its own: encoding it with the
   * rest would copy it, and the encoder would keep the copy.
   */
  public encodeParts (message: LinkMessage): readonly Uint8Array[] {
    const values = valuesOf(message)
    const at = values.findIndex(value => (value instanceof Uint8Array && value.length >= MIN_PART_BYTES) || value instanceof blockBody.BlockBody)
    const body = values[at] as blockBody.Body | undefined
    if (body === undefined) return [this._packr.pack(values)]
    const before = Buffer.concat([arrayHead(values.length), ...values.slice(0, at).map(value => this._packr.pack(value)), bytesHead(body.length)])
    return [before, ...blockBody.blocksOf(body), Buffer.concat(values.slice(at + 1).map(value => this._packr.pack(value)))]
  }

  public decode (bytes: Uint8Array): results.Result<LinkMessage, Error> {
    try {
      const values: unknown = this._packr.unpack(bytes)
      const message = Array.isArray(values) ? messageOf(values) : undefined
      return message === undefined ? new results.Err(new Error('malformed message from another node; check that all nodes run compatible versions')) : new results.Ok(message)
    } catch (error) {
      return new results.Err(error instanceof Error ? error : new Error(String(error)))
    }
  }
}

/** Head of a MessagePack array. */
function arrayHead (length: number): Buffer {
  const head = Buffer.alloc(3)
  head.writeUInt8(ARRAY_16)
  head.writeUInt16BE(length, 1)
  return head
}

/** Head of MessagePack bytes. */
function bytesHead (lengthBytes: number): Buffer {
  const head = Buffer.alloc(5)
  head.writeUInt8(BYTES_32)
  head.writeUInt32BE(lengthBytes, 1)
  return head
}

function valuesOf (message: LinkMessage): Values {
  switch (message.kind) {
    case 'hello': return [KIND.hello, message.nodeId, message.zone, message.service, message.version, message.linkMbps, ...noticeValues(message.notice)]
    case 'status': return statusValues(message.status)
    case 'call': return callValues(message.call)
    case 'result': return resultValues(message.callId, message.result, message.load)
    case 'cancel': return [KIND.cancel, message.callId]
    case 'takes-offers': return message.takesParts ? [KIND.takesOffers, true] : [KIND.takesOffers]
    case 'offer': return [KIND.offer, message.bodyBytes, ...callValues(message.call)]
    case 'body-request': return [KIND.bodyRequest, message.callId]
    case 'body': return [KIND.body, message.callId, message.body]
    case 'body-part': return [KIND.bodyPart, message.callId, message.part]
    case 'alive': return aliveValues(message)
    case 'rules-request': return [KIND.rulesRequest]
    case 'rules': return [KIND.rules, message.bytes]
    case 'nodes-request': return [KIND.nodesRequest]
    case 'nodes': return [KIND.nodes, message.nodes.map(({ nodeId, zone, service, linkMbps }) => [nodeId, zone, service, linkMbps]), ...crashReports.valuesOf(message.crashes)]
    case 'grants-request': return [KIND.grantsRequest, ...grantMessages.requestValues(message)]
    case 'grants': return [KIND.grants, ...grantMessages.grantsValues(message)]
    case 'rollouts': return [KIND.rollouts, rolloutReports.newsValues(message.rollouts)]
    case 'rollout-health': return [KIND.rolloutHealth, rolloutReports.healthValues(message.hosts)]
  }
}

function statusValues ({ state, load, version, storeAgeMs, fleetStoreAgeMs, storeEra = UNKNOWN_ERA, target }: direct.HostStatus): Values {
  const values = [KIND.status, STATES.indexOf(state), version, ageValue(storeAgeMs), ...loadValues(load), ageValue(fleetStoreAgeMs)]
  if (target !== undefined) return [...values, storeEra, ...limitValues(load.limit), target.targetId, target.startedAtMs, target.isLeaving, ...(target.softwareVersion === undefined ? [] : [target.softwareVersion])]
  if (load.limit !== undefined) return [...values, storeEra, ...limitValues(load.limit)]
  return storeEra === UNKNOWN_ERA ? values : [...values, storeEra]
}

function noticeValues (notice: direct.KnownNotice | undefined): Values {
  return notice === undefined ? [] : [notice.targetId, notice.startedAtMs, limitValue(notice.maxCallsPerS), notice.isLeaving]
}

function limitValues (limit: direct.CallLimit | undefined): number[] {
  return [limitValue(limit?.maxCallsPerS), limit?.permits ?? 0]
}

function limitValue (maxCallsPerS = Infinity): number {
  return Number.isFinite(maxCallsPerS) ? maxCallsPerS : NO_LIMIT
}

/** A time that may be missing, as the last value of a message. */
function optional (timeMs: base.Millis | undefined): number[] {
  return timeMs === undefined ? [] : [Math.round(timeMs)]
}

function ageValue (ageMs: base.Millis): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : UNKNOWN_AGE
}

function ageOf (value: number): base.Millis {
  return value < 0 ? Infinity : value
}

function callValues (call: types.CallMessage): Values {
  return [KIND.call, call.callId, call.service, call.isIdempotent, call.priority, Math.round(call.remainingMs), Math.round(call.objectiveMs),
    Math.round(call.elapsedMs), call.requestId, call.method, call.path, call.headers, call.body ?? null, call.isRetry, ...optional(call.sentAtMs), ...(call.sentAtMs === undefined ? [] : crashReports.valuesOf(call.crashes))]
}

function resultValues (callId: number, result: types.HostResult, load: direct.TargetLoad): Values {
  switch (result.kind) {
    case 'answered': {
      const { status, headers, body, isUnframed } = result.answer
      return [KIND.answered, callId, status, headers, body ?? null, isUnframed, ...loadAndLimitValues(load)]
    }
    case 'refused': {
      const { reason, reachedTarget, waitMs } = result.refusal
      return [KIND.refused, callId, REFUSALS.indexOf(reason), reachedTarget, Math.round(waitMs), ...loadAndLimitValues(load)]
    }
    case 'failed': return [KIND.failed, callId, FAILURES.indexOf(result.reason), ...loadAndLimitValues(load)]
  }
}

function loadAndLimitValues (load: direct.TargetLoad): number[] {
  return load.limit === undefined ? loadValues(load) : [...loadValues(load), ...limitValues(load.limit)]
}

function loadValues ({ running, queued, urgentQueued, leastUrgent, slots, serviceMs }: direct.TargetLoad): number[] {
  return [running, queued, urgentQueued, leastUrgent, slots, Math.round(serviceMs)]
}

function messageOf (values: Values): LinkMessage | undefined {
  switch (values[0]) {
    case KIND.hello: return helloOf(values)
    case KIND.status: return statusOf(values)
    case KIND.call: return callOf(values)
    case KIND.answered: return answeredOf(values)
    case KIND.refused: return refusedOf(values)
    case KIND.failed: return failedOf(values)
    case KIND.cancel: return linkValues.isNumber(values[1]) ? { kind: 'cancel', callId: values[1] } : undefined
    case KIND.takesOffers: return values[1] === undefined || values[1] === true ? { kind: 'takes-offers', takesParts: values[1] === true } : undefined
    case KIND.offer: return offerOf(values)
    case KIND.bodyRequest: return linkValues.isNumber(values[1]) ? { kind: 'body-request', callId: values[1] } : undefined
    case KIND.body: return linkValues.isNumber(values[1]) && values[2] instanceof Uint8Array ? { kind: 'body', callId: values[1], body: values[2] } : undefined
    case KIND.bodyPart: return linkValues.isNumber(values[1]) && values[2] instanceof Uint8Array ? { kind: 'body-part', callId: values[1], part: values[2] } : undefined
    case KIND.alive: return aliveOf(values)
    case KIND.rulesRequest: return { kind: 'rules-request' }
    case KIND.rules: return values[1] instanceof Uint8Array ? { kind: 'rules', bytes: values[1] } : undefined
    case KIND.nodesRequest: return { kind: 'nodes-request' }
    case KIND.nodes: return nodesOf(values[1], values[2])
    case KIND.grantsRequest: return grantMessages.requestOf(values.slice(1))
    case KIND.grants: return grantMessages.grantsOf(values.slice(1))
    case KIND.rollouts: {
      const rollouts = rolloutReports.newsOf(values[1])
      return rollouts === undefined ? undefined : { kind: 'rollouts', rollouts }
    }
    case KIND.rolloutHealth: {
      const hosts = rolloutReports.healthOf(values[1])
      return hosts === undefined ? undefined : { kind: 'rollout-health', hosts }
    }
    default: return undefined
  }
}

function helloOf ([, nodeId, zone, service, version, linkMbps, ...rest]: Values): LinkMessage | undefined {
  if (!linkValues.isText(nodeId) || !nodeRecords.isAddress(nodeId) || !nodeRecords.isName(zone) || !nodeRecords.isName(service) || !linkValues.isWhole(version) || !nodeRecords.isLinkMbps(linkMbps)) return undefined
  const hello = { kind: 'hello', nodeId, zone, service, version, linkMbps } as const
  // Earlier versions do not send the last values.
  if (rest.length === 0) return hello
  const notice = noticeOf(rest)
  return notice === undefined ? undefined : { ...hello, notice }
}

function noticeOf ([targetId, startedAtMs, limit, isLeaving]: Values): direct.KnownNotice | undefined {
  if (!linkValues.isText(targetId) || !linkValues.isNumber(startedAtMs) || !linkValues.isNumber(limit) || typeof isLeaving !== 'boolean') return undefined
  return { targetId, startedAtMs, maxCallsPerS: limit < 0 ? Infinity : limit, isLeaving }
}

function statusOf ([, stateCode, version, storeAgeMs, ...rest]: Values): LinkMessage | undefined {
  const state = linkValues.isNumber(stateCode) ? STATES[stateCode] : undefined
  // Earlier versions do not send the last values.
  const [fleetStoreAgeMs = UNKNOWN_AGE, era = UNKNOWN_ERA, ...last] = rest.slice(LOAD_VALUES)
  const load = loadOf([...rest.slice(0, LOAD_VALUES), ...last.slice(0, LIMIT_VALUES)])
  const [targetId, startedAtMs, isLeaving, softwareVersion] = last.slice(LIMIT_VALUES)
  if (state === undefined || !linkValues.isWhole(version) || !linkValues.isNumber(storeAgeMs) || !linkValues.isNumber(fleetStoreAgeMs) || !linkValues.isNumber(era) || !Number.isSafeInteger(era) || load === undefined) return undefined
  const known = { state, version, storeAgeMs: ageOf(storeAgeMs), fleetStoreAgeMs: ageOf(fleetStoreAgeMs), load }
  const status = era < 0 ? known : { ...known, storeEra: era }
  if (targetId === undefined) return { kind: 'status', status }
  if (!linkValues.isText(targetId) || !linkValues.isNumber(startedAtMs) || typeof isLeaving !== 'boolean' || (softwareVersion !== undefined && !linkValues.isText(softwareVersion))) return undefined
  return { kind: 'status', status: { ...status, target: { targetId, startedAtMs, isLeaving, ...(nodeRecords.isName(softwareVersion) ? { softwareVersion } : {}) } } }
}

function callOf (values: Values): LinkMessage | undefined {
  const [, callId, service, isIdempotent, priority, remainingMs, objectiveMs, elapsedMs, requestId, method, path, headers, body, isRetry = false, sentAtMs, crashes] = values
  if (!linkValues.isNumber(callId) || !linkValues.isText(service) || typeof isIdempotent !== 'boolean' || !linkValues.isNumber(priority) || !linkValues.isNumber(remainingMs)) return undefined
  if (!linkValues.isNumber(objectiveMs) || !linkValues.isNumber(elapsedMs) || !linkValues.isText(requestId) || !linkValues.isText(method) || !linkValues.isText(path)) return undefined
  // Earlier versions do not send the last values.
  const crashField = crashReports.fieldOf(crashes)
  if (!linkValues.isHeaders(headers) || !linkValues.isBody(body) || typeof isRetry !== 'boolean' || !linkValues.isOptionalNumber(sentAtMs) || crashField === undefined) return undefined
  const call = {
    callId,
    service,
    isIdempotent,
    priority,
    remainingMs,
    objectiveMs,
    elapsedMs,
    requestId,
    method,
    path,
    headers,
    body: body ?? undefined,
    isRetry,
    ...(sentAtMs === undefined ? {} : { sentAtMs }),
    ...crashField
  }
  return { kind: 'call', call }
}

function offerOf ([, bodyBytes, ...values]: Values): LinkMessage | undefined {
  const message = callOf(values)
  if (values[0] !== KIND.call || message?.kind !== 'call' || message.call.body !== undefined || !linkValues.isWhole(bodyBytes) || bodyBytes === 0) return undefined
  return { kind: 'offer', call: message.call, bodyBytes }
}

function aliveValues ({ version, sentAtMs, storeAgeMs, confirmedAgeMs }: AliveMessage): Values {
  const values = [KIND.alive, version, ...optional(sentAtMs)]
  return storeAgeMs === undefined || confirmedAgeMs === undefined ? values : [...values, ageValue(storeAgeMs), ageValue(confirmedAgeMs)]
}

function aliveOf ([, version, sentAtMs, storeAgeMs, confirmedAgeMs]: Values): LinkMessage | undefined {
  if (!linkValues.isWhole(version) || !linkValues.isOptionalNumber(sentAtMs) || !linkValues.isOptionalNumber(storeAgeMs) || !linkValues.isOptionalNumber(confirmedAgeMs)) return undefined
  if (sentAtMs === undefined) return { kind: 'alive', version }
  const alive = { kind: 'alive', version, sentAtMs } as const
  return storeAgeMs === undefined || confirmedAgeMs === undefined ? alive : { ...alive, storeAgeMs: ageOf(storeAgeMs), confirmedAgeMs: ageOf(confirmedAgeMs) }
}

function answeredOf ([, callId, status, headers, body, isUnframed, ...rest]: Values): LinkMessage | undefined {
  const load = loadOf(rest)
  if (!linkValues.isNumber(callId) || !linkValues.isNumber(status) || !answerStatus.isFinal(status) || !linkValues.isHeaders(headers) || !linkValues.isBody(body) || typeof isUnframed !== 'boolean' || load === undefined) return undefined
  return { kind: 'result', callId, result: { kind: 'answered', answer: { status, headers, body: body ?? undefined, isUnframed } }, load }
}

function refusedOf ([, callId, code, reachedTarget, waitMs, ...rest]: Values): LinkMessage | undefined {
  const reason = linkValues.isNumber(code) ? REFUSALS[code] : undefined
  const load = loadOf(rest)
  if (!linkValues.isNumber(callId) || reason === undefined || typeof reachedTarget !== 'boolean' || !linkValues.isNumber(waitMs) || load === undefined) return undefined
  return { kind: 'result', callId, result: { kind: 'refused', refusal: { reason, reachedTarget, waitMs } }, load }
}

function failedOf ([, callId, code, ...rest]: Values): LinkMessage | undefined {
  const reason = linkValues.isNumber(code) ? FAILURES[code] : undefined
  const load = loadOf(rest)
  if (!linkValues.isNumber(callId) || reason === undefined || load === undefined) return undefined
  return { kind: 'result', callId, result: { kind: 'failed', reason }, load }
}

/** An invalid record does not cost the others. */
function nodesOf (list: unknown, crashes: unknown): LinkMessage | undefined {
  const crashField = crashReports.fieldOf(crashes)
  if (!Array.isArray(list) || crashField === undefined) return undefined
  const nodes: direct.NodeRecord[] = []
  for (const entry of list as unknown[]) {
    const [nodeId, zone, service, linkMbps] = Array.isArray(entry) ? entry as Values : []
    const record = nodeRecords.check({ nodeId, zone, service, linkMbps })
    if (!(record instanceof Error)) nodes.push(record)
  }
  const message = { kind: 'nodes', nodes, ...crashField } as const
  return nodes.length === list.length ? message : { ...message, refused: list.length - nodes.length }
}

function loadOf ([running, queued, urgentQueued, leastUrgent, slots, serviceMs, maxCallsPerS = NO_LIMIT, permits = 0]: Values): direct.TargetLoad | undefined {
  if (!linkValues.isNumber(running) || !linkValues.isNumber(queued) || !linkValues.isNumber(urgentQueued) || !linkValues.isNumber(leastUrgent)) return undefined
  if (!linkValues.isNumber(slots) || !linkValues.isNumber(serviceMs) || slots < 1 || slots > nodeRecords.MAX_SLOTS || !linkValues.isNumber(maxCallsPerS) || !linkValues.isNumber(permits)) return undefined
  const load = { running, queued, urgentQueued, leastUrgent, slots, serviceMs }
  return maxCallsPerS <= 0 ? load : { ...load, limit: { maxCallsPerS, permits } }
}
