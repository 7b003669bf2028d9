/** Validation of distribution messages from peers. */
import * as ownershipDecoder from '../hosting/OwnershipDecoder.js'
import * as rules from '../membership/RowRules.js'

const MAX_TEXT_LENGTH = 256
const MAX_PATCH_OPERATIONS = 65_536

/** Describes the first fault of a distribution message; undefined if it is valid. Documents and patches are checked by digest when used. */
export function messageProblem (value: unknown): string | undefined {
  if (!isMap(value)) return 'message is not a map'
  switch (value['kind']) {
    case 'push':
      return originProblem(value) ?? pushProblem(value) ?? payloadProblem(value)
    case 'push-ack':
      return originProblem(value) ?? ackProblem(value)
    case 'pull':
      return pullProblem(value)
    case 'state':
      return evidenceProblem(value) ?? payloadProblem(value)
    case 'busy':
      return evidenceProblem(value) ?? (rules.isCount(value['retryAfterMs']) ? undefined : 'retryAfterMs is not a duration')
    default:
      return 'kind is unknown'
  }
}

function originProblem (message: Record<string, unknown>): string | undefined {
  if (!isShortString(message['rootId']) || message['rootId'] === '') return `rootId is not a non-empty string of at most ${MAX_TEXT_LENGTH} characters`
  return rules.isCount(message['sequence']) ? undefined : 'sequence is not a non-negative integer'
}

function pushProblem (message: Record<string, unknown>): string | undefined {
  if (!isShortString(message['untilId'])) return `untilId is not a string of at most ${MAX_TEXT_LENGTH} characters`
  return logProblem(message)
}

function ackProblem (message: Record<string, unknown>): string | undefined {
  if (typeof message['final'] !== 'boolean') return 'final is not a boolean'
  const counts = [message['count'], message['firstAtMs'], message['lastAtMs']]
  return counts.every(rules.isCount) ? undefined : 'count, firstAtMs or lastAtMs is not a non-negative integer'
}

function pullProblem (message: Record<string, unknown>): string | undefined {
  if (!rules.isCount(message['haveVersion']) || !rules.isCount(message['haveOwnershipVersion'])) return 'haveVersion or haveOwnershipVersion is not a non-negative integer'
  if (!rules.isCount(message['haveOwnershipOffset'])) return 'haveOwnershipOffset is not a non-negative integer'
  return isShortString(message['haveDigest']) ? undefined : `haveDigest is not a string of at most ${MAX_TEXT_LENGTH} characters`
}

function evidenceProblem (message: Record<string, unknown>): string | undefined {
  if (!rules.isCount(message['recordedVersion'])) return 'recordedVersion is not a non-negative integer'
  return logProblem(message)
}

function logProblem (message: Record<string, unknown>): string | undefined {
  if (!rules.isCount(message['version'])) return 'version is not a non-negative integer'
  const agoMs = message['logCheckedAgoMs']
  return agoMs === -1 || rules.isCount(agoMs) ? undefined : 'logCheckedAgoMs is neither -1 nor a duration'
}

function payloadProblem (message: Record<string, unknown>): string | undefined {
  const { delta, state, ownership } = message
  if (delta !== undefined && state !== undefined) return 'both delta and state are present'
  if (delta !== undefined && !isDelta(delta)) return 'delta has an invalid field'
  if (state !== undefined && !isState(state)) return 'state has an invalid field'
  return ownership === undefined || ownershipDecoder.decodeUpdate(ownership).isOk() ? undefined : 'ownership has an invalid field'
}

function isDelta (value: unknown): boolean {
  return isMap(value) && rules.isCount(value['version']) && rules.isCount(value['rulesVersion']) &&
    rules.isCount(value['baseVersion']) && isShortString(value['baseDigest']) && isShortString(value['digest']) &&
    isOffset(value['asOfOffset']) && Array.isArray(value['patch']) && value['patch'].length <= MAX_PATCH_OPERATIONS
}

function isState (value: unknown): boolean {
  return isMap(value) && rules.isCount(value['version']) && rules.isCount(value['rulesVersion']) &&
    isShortString(value['digest']) && isOffset(value['asOfOffset']) && isMap(value['document'])
}

function isOffset (value: unknown): boolean {
  return value === undefined || rules.isCount(value)
}

function isMap (value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value)
}

function isShortString (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}
