/** JSON Schemas of the records of the `config` stream. After a change run `npm run generate`. */

/** Version of the base of the first proposal. */
export const GENESIS_VERSION = 0
/** One below the largest safe integer, so that `version + 1` stays exact. */
export const MAX_VERSION = Number.MAX_SAFE_INTEGER - 1
const MAX_TIME_MS = 8.64e15

/** Bounds the time to apply a patch: each operation can shift all entries of a list. Larger changes use a whole document. */
export const MAX_PATCH_OPERATIONS = 10_000

/**
 * Paths that a patch between documents needs. Special paths (the root, `-`, escapes, prototype names, indices with
 * leading zeros) are refused, so that the verdict does not depend on how a JSON Patch library handles them.
 */
const PATCH_PATH = '^(/([A-Za-z]{1,64}|0|[1-9][0-9]{0,8})){1,8}$'

const digest = { type: 'string', pattern: '^[0-9a-f]{64}$' }
const version = { type: 'integer', minimum: 1, maximum: MAX_VERSION }
const common = { version, digest, rulesVersion: { type: 'integer' }, document: true }

const proposal = {
  ...common,
  kind: { const: 'proposal' },
  proposalId: { type: 'string', pattern: '^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$' },
  baseVersion: { type: 'integer', minimum: GENESIS_VERSION, maximum: MAX_VERSION - 1 },
  baseDigest: { type: 'string', pattern: '^([0-9a-f]{64})?$' },
  // Restricted to one line of visible text, because it is printed on terminals.
  author: { type: 'string', maxLength: 128, pattern: '^[^\\s\\p{C}]([^\\p{C}]*[^\\s\\p{C}])?$' },
  proposedAtMs: { type: 'integer', minimum: 0, maximum: MAX_TIME_MS }
}

const path = { type: 'string', pattern: PATCH_PATH }
const operation = { oneOf: [envelope({ op: { enum: ['add', 'replace'] }, path, value: true }), envelope({ op: { const: 'remove' }, path })] }

export const RECORD_SCHEMAS = {
  proposal: envelope(proposal),
  delta: envelope({
    ...proposal,
    baseVersion: { type: 'integer', minimum: GENESIS_VERSION + 1, maximum: MAX_VERSION - 1 },
    baseDigest: digest,
    document: { type: 'null' },
    patch: { type: 'array', maxItems: MAX_PATCH_OPERATIONS, items: operation }
  }),
  snapshot: envelope({
    ...common,
    kind: { const: 'snapshot' },
    asOfOffset: { type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER }
  })
}

function envelope (properties: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  return { type: 'object', additionalProperties: false, required: Object.keys(properties), properties }
}
