/** JSON Schemas of the messages between nodes. `isBytes` is a keyword of `PeerCodec`. */
import type * as messages from '@elmpost/common/node/Messages.js'

type Schema = Readonly<Record<string, unknown>>

const TEXT: Schema = { type: 'string', maxLength: 4096 }
const PATH: Schema = { type: 'string', maxLength: 65_536 }
const COUNT: Schema = { type: 'integer', minimum: 0 }
const INTEGER: Schema = { type: 'integer' }
const NUMBER: Schema = { type: 'number' }
const FLAG: Schema = { type: 'boolean' }
const BYTES: Schema = { isBytes: true }
const OBJECT: Schema = { type: 'object' }
const HEADERS: Schema = { type: 'object', additionalProperties: { type: 'string' } }
const OUTCOME: Schema = { enum: ['answered', 'not-run', 'unknown'] }

const LOAD = object({ inFlight: COUNT, queued: COUNT, slots: COUNT })

/** Fields in the order of `WireRow`. */
const ROW: Schema = {
  type: 'array',
  items: [
    TEXT, COUNT, { enum: ['joining', 'ready', 'draining', 'left', 'suspect', 'dead'] }, TEXT, TEXT, TEXT, TEXT, TEXT,
    FLAG, NUMBER, COUNT, COUNT, TEXT
  ],
  minItems: 13,
  maxItems: 13
}
const ROWS: Schema = { type: 'array', items: ROW }

const CRASH = object({ key: TEXT, fingerprint: TEXT, nodeId: TEXT, atMs: NUMBER, concurrent: COUNT })
const CRASHES: Schema = { type: 'array', items: CRASH }

const STATE = object({ version: COUNT, digest: TEXT, rulesVersion: COUNT, document: OBJECT })
const DELTA = object({
  version: COUNT,
  rulesVersion: COUNT,
  baseVersion: COUNT,
  baseDigest: TEXT,
  digest: TEXT,
  patch: { type: 'array', items: OBJECT }
})

const OWNER = object({ nodeId: TEXT, incarnation: COUNT })
/** Checked by the decoder of ownership updates. */
const OWNERSHIP = OBJECT

const HANDOVER_KEY = object({
  key: TEXT,
  service: TEXT,
  fingerprint: TEXT,
  state: { enum: ['running', 'answered', 'refused', 'unknown'] },
  reason: TEXT,
  status: COUNT,
  headers: HEADERS
}, { body: BYTES })
const HANDOVER = object({ from: OWNER, to: OWNER, released: FLAG, atMs: NUMBER, forgottenUntilMs: NUMBER, keys: { type: 'array', items: HANDOVER_KEY } })

const NEWS_FIELDS = { version: COUNT, ownershipOffset: COUNT, updates: ROWS, crashes: CRASHES }
const EVIDENCE_FIELDS = { version: COUNT, recordedVersion: COUNT, logCheckedAgoMs: NUMBER }

export const MESSAGE_SCHEMAS: Readonly<Record<messages.PeerMessage['kind'], Schema>> = {
  hello: object({ nodeId: TEXT, incarnation: COUNT, zone: TEXT, version: COUNT, sentAtMs: NUMBER }),
  join: object({ row: ROW, wantsRows: FLAG }),
  gossip: object(NEWS_FIELDS),
  probe: object({ ...NEWS_FIELDS, sequence: COUNT }),
  'probe-request': object({ sequence: COUNT, target: TEXT }),
  'probe-ack': object({ ...NEWS_FIELDS, sequence: COUNT, target: TEXT }),
  'table-digest': object({ buckets: { type: 'array', items: INTEGER } }),
  'table-rows': object({ rows: ROWS, wantedBuckets: { type: 'array', items: COUNT }, bucketCount: COUNT }),
  push: object({ version: COUNT, rootId: TEXT, sequence: COUNT, untilId: TEXT, logCheckedAgoMs: NUMBER }, { delta: DELTA, state: STATE, ownership: OWNERSHIP }),
  'push-ack': object({ rootId: TEXT, sequence: COUNT, final: FLAG, count: COUNT, firstAtMs: NUMBER, lastAtMs: NUMBER }),
  pull: object({ haveVersion: COUNT, haveDigest: TEXT, haveOwnershipVersion: COUNT, haveOwnershipOffset: COUNT }),
  state: object(EVIDENCE_FIELDS, { delta: DELTA, state: STATE, ownership: OWNERSHIP }),
  busy: object({ ...EVIDENCE_FIELDS, retryAfterMs: NUMBER }),
  handover: object({ handover: HANDOVER }),
  'handover-ack': object({ fromNodeId: TEXT, incarnation: COUNT }),
  call: object({
    callId: INTEGER,
    route: TEXT,
    service: TEXT,
    version: COUNT,
    method: TEXT,
    path: PATH,
    headers: HEADERS,
    remainingMs: NUMBER,
    sentAtMs: NUMBER,
    fingerprint: TEXT,
    depth: COUNT,
    attempt: COUNT
  }, { body: BYTES, key: TEXT, delegatedBy: TEXT }),
  cancel: object({ callId: INTEGER }),
  answer: object({
    callId: INTEGER,
    outcome: OUTCOME,
    reason: TEXT,
    status: COUNT,
    headers: HEADERS,
    last: FLAG,
    retryAfterMs: NUMBER,
    load: LOAD
  }, { body: BYTES, targetMs: NUMBER }),
  chunk: object({ callId: INTEGER, sequence: COUNT, last: FLAG, failed: FLAG }, { body: BYTES }),
  'chunk-credit': object({ callId: INTEGER, sequence: COUNT })
}

/** Unknown fields are allowed, so that a newer version of elmpost can add some. */
function object (required: Readonly<Record<string, Schema>>, optional: Readonly<Record<string, Schema>> = {}): Schema {
  return { type: 'object', required: Object.keys(required), properties: { ...required, ...optional } }
}
