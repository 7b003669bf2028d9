/** Decodes the records of the `config` stream. Anybody can append to the log, so nothing about a record is taken for granted. */
import * as ajv from 'ajv'
import * as jsonText from './JsonText.js'
import * as ruleSets from './RuleSets.js'
import type * as documentPatch from './DocumentPatch.js'

/** Base of the first proposal: no document is in force. */
export const GENESIS_VERSION = 0
export const GENESIS_DIGEST = ''

/** Leaves room for one more version, so that `version + 1` stays exact. */
const MAX_VERSION = Number.MAX_SAFE_INTEGER - 1
const MAX_RULES_VERSION = 1_000_000
const MAX_TIME_MS = 8.64e15

/** Bounds the time of a patch: each operation can move all entries of a list. A larger change is a whole document. */
export const MAX_PATCH_OPERATIONS = 10_000

/**
 * Paths that a patch between documents needs. Special paths (the root, `-`, escapes, prototype names, indices with
 * leading zeros) are refused, so that the verdict does not depend on how a JSON Patch library treats them.
 */
const PATCH_PATH = '^(/([A-Za-z]{1,64}|0|[1-9][0-9]{0,8})){1,8}$'

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
  /** Rule set of the document; it differs from `rulesVersion` for a proposal that holds a patch. */
  readonly documentRulesVersion: number
  /** Whether this software can check the document. If not, only kind, versions and base are meaningful. */
  readonly isSupported: boolean
  /** Meaningless if there is a patch. */
  readonly document: unknown
  /** The patch that makes the document from that of the base, for a proposal that holds one. */
  readonly patch: readonly documentPatch.Operation[] | undefined
  /** Canonical JSON of the document or of the patch. */
  readonly contentText: string
}

export interface MalformedRecord {
  readonly kind: 'malformed'
  readonly proposalId: string | undefined
  readonly reason: string
}

interface EnvelopeSchemas {
  readonly proposal: ajv.ValidateFunction
  readonly delta: ajv.ValidateFunction
  readonly snapshot: ajv.ValidateFunction
}

type EnvelopeKind = keyof EnvelopeSchemas

let compiled: EnvelopeSchemas | undefined

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
  const problem = envelopeProblem(kind, rulesVersion, data)
  if (problem !== undefined) return malformed(proposalId, problem)
  return decoded(kind, data, proposalId, rulesVersion, contentText)
}

function decoded (kind: 'proposal' | 'snapshot', data: Readonly<Record<string, unknown>>, proposalId: string | undefined, rulesVersion: number, contentText: string): DecodedRecord | MalformedRecord {
  const { version, baseVersion, baseDigest, digest, asOfOffset } = data
  if (!isIntegerIn(version, 1, MAX_VERSION)) return malformed(proposalId, 'The version is not a positive integer.')
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

/** Envelopes of unknown rule sets are not checked. */
function envelopeProblem (kind: 'proposal' | 'snapshot', rulesVersion: number, data: unknown): string | undefined {
  if (rulesVersion > ruleSets.DELTA_RULES_VERSION) return undefined
  const isDelta = rulesVersion === ruleSets.DELTA_RULES_VERSION
  if (isDelta && kind === 'snapshot') return `A snapshot cannot have rule set ${rulesVersion}, which is for proposals that hold a patch.`
  compiled ??= compileEnvelopes()
  const envelopeKind: EnvelopeKind = isDelta ? 'delta' : kind
  const matches = compiled[envelopeKind]
  if (matches(data)) return undefined
  const error = matches.errors?.[0]
  return `The ${kind} is malformed: ${error?.instancePath ?? ''} ${error?.message ?? 'unknown problem'}.`
}

function compileEnvelopes (): EnvelopeSchemas {
  const digest = { type: 'string', pattern: '^[0-9a-f]{64}$' }
  const version = { type: 'integer', minimum: 1, maximum: MAX_VERSION }
  const common = { version, digest, rulesVersion: { type: 'integer' }, document: true }
  const proposal = {
    ...common,
    kind: { const: 'proposal' },
    proposalId: { type: 'string', pattern: '^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$' },
    baseVersion: { type: 'integer', minimum: GENESIS_VERSION, maximum: MAX_VERSION - 1 },
    baseDigest: { type: 'string', pattern: '^([0-9a-f]{64})?$' },
    // One line of visible text, because it is printed on terminals.
    author: { type: 'string', maxLength: 128, pattern: '^[^\\s\\p{C}]([^\\p{C}]*[^\\s\\p{C}])?$' },
    proposedAtMs: { type: 'integer', minimum: 0, maximum: MAX_TIME_MS }
  }
  const schemas = new ajv.Ajv({ strict: true, validateSchema: false })
  return {
    proposal: schemas.compile(envelope(proposal)),
    delta: schemas.compile(envelope({
      ...proposal,
      baseVersion: { type: 'integer', minimum: GENESIS_VERSION + 1, maximum: MAX_VERSION - 1 },
      baseDigest: digest,
      document: { type: 'null' },
      patch: patchSchema()
    })),
    snapshot: schemas.compile(envelope({
      ...common,
      kind: { const: 'snapshot' },
      asOfOffset: { type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER }
    }))
  }
}

function patchSchema (): object {
  const path = { type: 'string', pattern: PATCH_PATH }
  const operation = { oneOf: [envelope({ op: { enum: ['add', 'replace'] }, path, value: true }), envelope({ op: { const: 'remove' }, path })] }
  return { type: 'array', maxItems: MAX_PATCH_OPERATIONS, items: operation }
}

function envelope (properties: Readonly<Record<string, unknown>>): object {
  return { type: 'object', additionalProperties: false, required: Object.keys(properties), properties }
}

function isIntegerIn (value: unknown, minimum: number, maximum: number): value is number {
  return Number.isSafeInteger(value) && Number(value) >= minimum && Number(value) <= maximum
}

function malformed (proposalId: string | undefined, reason: string): MalformedRecord {
  return { kind: 'malformed', proposalId, reason }
}
