/** Decodes the records of the `config` stream. Anybody can append to the log, so nothing about a record is taken for granted. */
import * as configChecks from '../generated/ConfigRecordChecks.js'
import * as jsonText from './JsonText.js'
import * as recordSchemas from './RecordSchemas.js'
import * as ruleSets from './RuleSets.js'

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
  /** Only snapshots have one; -1 for proposals. */
  readonly asOfOffset: number
  /** Whether this software can check the document. If not, only kind, versions and base are meaningful. */
  readonly isSupported: boolean
  readonly document: unknown
  /** Canonical JSON of the document. */
  readonly documentText: string
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
  const documentText = jsonText.canonicalText(data['document'])
  if (documentText === undefined) return malformed(proposalId, 'The document is missing, is not JSON or is nested too deeply.')
  if (rulesVersion === ruleSets.CURRENT_RULES_VERSION) {
    const problem = envelopeProblem(kind, data)
    if (problem !== undefined) return malformed(proposalId, problem)
  }
  return decoded(kind, data, proposalId, rulesVersion, documentText)
}

function decoded (kind: 'proposal' | 'snapshot', data: Readonly<Record<string, unknown>>, proposalId: string | undefined, rulesVersion: number, documentText: string): DecodedRecord | MalformedRecord {
  const { version, baseVersion, baseDigest, digest, asOfOffset } = data
  if (!isIntegerIn(version, 1, recordSchemas.MAX_VERSION)) return malformed(proposalId, 'The version is not a positive integer.')
  if (kind === 'proposal' && (baseVersion !== version - 1 || typeof baseDigest !== 'string')) {
    return malformed(proposalId, 'The version is not baseVersion + 1, or the baseDigest is missing.')
  }
  if (kind === 'snapshot' && !isIntegerIn(asOfOffset, 0, Number.MAX_SAFE_INTEGER)) {
    return malformed(proposalId, 'The asOfOffset of the snapshot is not an offset.')
  }
  return {
    kind,
    proposalId,
    version,
    baseVersion: kind === 'proposal' ? version - 1 : version,
    baseDigest: typeof baseDigest === 'string' ? baseDigest : '',
    digest: typeof digest === 'string' ? digest : '',
    rulesVersion,
    asOfOffset: kind === 'snapshot' ? asOfOffset as number : -1,
    isSupported: rulesVersion === ruleSets.CURRENT_RULES_VERSION,
    document: data['document'],
    documentText
  }
}

function envelopeProblem (kind: 'proposal' | 'snapshot', data: unknown): string | undefined {
  const matches = configChecks.CHECKS[kind]
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
