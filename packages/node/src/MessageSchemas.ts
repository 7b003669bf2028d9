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
/** Membership and distribution check their messages themselves, without a change of state. */
const CHECKED_BY_CORE: Schema = { type: 'object' }
const HEADERS: Schema = { type: 'object', additionalProperties: { type: 'string' } }
const OUTCOME: Schema = { enum: ['answered', 'not-run', 'unknown'] }

const LOAD = object({ inFlight: COUNT, queued: COUNT, slots: COUNT })

const OWNER = object({ nodeId: TEXT, incarnation: COUNT })

const HANDOVER_KEY = object({
  key: TEXT,
  service: TEXT,
  fingerprint: COUNT,
  state: { enum: ['running', 'answered', 'refused', 'unknown'] },
  reason: TEXT,
  status: COUNT,
  headers: HEADERS
}, { body: BYTES })
const INHERITED_FIELDS = { from: OWNER, released: FLAG, atMs: NUMBER, forgottenUntilMs: NUMBER }
const HANDOVER = object({
  ...INHERITED_FIELDS,
  to: OWNER,
  inherited: { type: 'array', items: object(INHERITED_FIELDS) },
  keys: { type: 'array', items: HANDOVER_KEY }
})

export const MESSAGE_SCHEMAS: Readonly<Record<messages.PeerMessage['kind'], Schema>> = {
  hello: object({ nodeId: TEXT, incarnation: COUNT, zone: TEXT, version: COUNT, sentAtMs: NUMBER }),
  join: CHECKED_BY_CORE,
  gossip: CHECKED_BY_CORE,
  probe: CHECKED_BY_CORE,
  'probe-request': CHECKED_BY_CORE,
  'probe-ack': CHECKED_BY_CORE,
  'table-digest': CHECKED_BY_CORE,
  'table-rows': CHECKED_BY_CORE,
  push: CHECKED_BY_CORE,
  'push-ack': CHECKED_BY_CORE,
  pull: CHECKED_BY_CORE,
  state: CHECKED_BY_CORE,
  busy: CHECKED_BY_CORE,
  handover: object({ handover: HANDOVER }),
  'handover-ack': object({ fromNodeId: TEXT, incarnation: COUNT, released: FLAG }),
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
  }, { body: BYTES, targetMs: NUMBER, successor: TEXT }),
  chunk: object({ callId: INTEGER, sequence: COUNT, last: FLAG, failed: FLAG }, { body: BYTES }),
  'chunk-credit': object({ callId: INTEGER, sequence: COUNT })
}

/** Unknown fields are allowed, so that a newer version of elmpost can add some. */
function object (required: Readonly<Record<string, Schema>>, optional: Readonly<Record<string, Schema>> = {}): Schema {
  return { type: 'object', required: Object.keys(required), properties: { ...required, ...optional } }
}
