/** Decodes the records of the `config` stream. They are untrusted, because any client can append to the log. */
import * as configChecks from '../generated/ConfigRecordChecks.js'
import * as jsonText from './JsonText.js'
import * as recordSchemas from './RecordSchemas.js'
import * as ruleSets from './RuleSets.js'
import type * as documentPatch from './DocumentPatch.js'

/** Base of the first proposal: no document is in force. */
export const GENESIS_VERSION = recordSchemas.GENESIS_VERSION
export const GENESIS_DIGEST = ''

const MAX_RULES_VERSION = 1_000_000

/** A well-formed envelope. The document in it is not yet checked. */
export interface DecodedRecord {
  readonly kind: 'proposal' | 'snapshot'
  readonly proposalId: string | undefined
  readonly version: number
  /** For a snapshot, the version itself. */
  readonly baseVersion: number
  readonly baseDigest: string
  readonly digest: string
  readonly rulesVersion: number
  /** -1 for proposals, which have no such offset. */
  readonly asOfOffset: number
  /** Rule set of the document; it differs from `rulesVersion` for a proposal that holds a patch. */
  readonly documentRulesVersion: number
  /** Whether this software can check the document. If false, only kind, versions and base are meaningful. */
  readonly isSupported: boolean
  /** Not meaningful if there is a patch. */
  readonly document: unknown
  /** JSON Patch from the document of the base to the proposed one; undefined if the record holds the whole document. */
  readonly patch: readonly documentPatch.Operation[] | undefined
  /** Canonical JSON of the document or of the patch. */
  readonly contentText: string
}

export interface MalformedRecord {
  readonly kind: 'malformed'
  readonly proposalId: string | undefined
  readonly reason: string
}

/** Decodes the data of one log record. Never throws. */
export function decodeRecord (data: unknown): DecodedRecord | MalformedRecord {
  if (!jsonText.isObject(data)) return malformed(undefined, 'The record is not an object.')
  const proposalId = typeof data['proposalId'] === 'string' ? data['proposalId'].slice(0, 64) : undefined
  const kind = data['kind']
  if (kind !== 'proposal' && kind !== 'snapshot') return malformed(proposalId, 'The record is neither a proposal nor a snapshot.')
  const rulesVersion = data['rulesVersion']
  if (!isIntegerIn(rulesVersion, 1, MAX_RULES_VERSION)) return malformed(proposalId, 'The rulesVersion is not a positive integer.')
  const content = rulesVersion === ruleSets.DELTA_RULES_VERSION ? 'patch' : 'document'
  const contentText = jsonText.canonicalText(data[content])
  if (contentText === undefined) return malformed(proposalId, `The ${content} is missing, is not JSON or is nested too deeply.`)
  const problem = findEnvelopeProblem(kind, rulesVersion, data)
  if (problem !== undefined) return malformed(proposalId, problem)
  return decodeEnvelope(kind, data, proposalId, rulesVersion, contentText)
}

function decodeEnvelope (kind: 'proposal' | 'snapshot', data: Readonly<Record<string, unknown>>, proposalId: string | undefined, rulesVersion: number, contentText: string): DecodedRecord | MalformedRecord {
  const { version, baseVersion, baseDigest, digest, asOfOffset } = data
  if (!isIntegerIn(version, 1, recordSchemas.MAX_VERSION)) return malformed(proposalId, 'The version is not a positive integer.')
  if (kind === 'proposal' && (baseVersion !== version - 1 || typeof baseDigest !== 'string')) {
    return malformed(proposalId, 'The version is not baseVersion + 1, or the baseDigest is missing.')
  }
  if (kind === 'snapshot' && !isIntegerIn(asOfOffset, 0, Number.MAX_SAFE_INTEGER)) {
    return malformed(proposalId, 'The asOfOffset of the snapshot is not an offset.')
  }
  const isDelta = rulesVersion === ruleSets.DELTA_RULES_VERSION
  return {
    kind,
    proposalId,
    version,
    baseVersion: kind === 'proposal' ? version - 1 : version,
    baseDigest: typeof baseDigest === 'string' ? baseDigest : '',
    digest: typeof digest === 'string' ? digest : '',
    rulesVersion,
    asOfOffset: kind === 'snapshot' ? asOfOffset as number : -1,
    documentRulesVersion: isDelta ? ruleSets.CURRENT_RULES_VERSION : rulesVersion,
    isSupported: isDelta || rulesVersion === ruleSets.CURRENT_RULES_VERSION,
    document: data['document'],
    patch: isDelta ? data['patch'] as readonly documentPatch.Operation[] : undefined,
    contentText
  }
}

/** Describes the first fault of an envelope. Envelopes of unknown rule sets are not checked. */
function findEnvelopeProblem (kind: 'proposal' | 'snapshot', rulesVersion: number, data: unknown): string | undefined {
  if (rulesVersion > ruleSets.DELTA_RULES_VERSION) return undefined
  const isDelta = rulesVersion === ruleSets.DELTA_RULES_VERSION
  if (isDelta && kind === 'snapshot') return `A snapshot cannot have rule set ${rulesVersion}, which is for proposals that hold a patch.`
  const matches = configChecks.CHECKS[isDelta ? 'delta' : kind]
  if (matches(data)) return undefined
  const error = matches.errors?.[0]
  return `The ${kind} is malformed: ${error?.instancePath ?? ''} ${error?.message ?? 'unknown problem'}.`
}

function isIntegerIn (value: unknown, minimum: number, maximum: number): value is number {
  return Number.isSafeInteger(value) && Number(value) >= minimum && Number(value) <= maximum
}

function malformed (proposalId: string | undefined, reason: string): MalformedRecord {
  return { kind: 'malformed', proposalId, reason }
}
