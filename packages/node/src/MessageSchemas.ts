/** JSON Schemas of the messages between nodes. `isBytes` is a keyword of `SchemaCompiler`. After a change run `npm run generate`. */
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'

/** A JSON Schema for values of type `T`, so that a change of a message without its schema does not compile. */
type Schema<T> = Readonly<Record<string, unknown>> & { readonly valueType?: T }

/** Schemas of the fields of `T` without `kind`. */
type Fields<T> = { readonly [K in Exclude<keyof T, 'kind'>]-?: Schema<Exclude<T[K], undefined>> }

/** Fields of `T` that may be absent. */
type OptionalField<T> = { [K in keyof T]-?: undefined extends T[K] ? K : never }[keyof T]

type MessageOf<K extends messages.PeerMessage['kind']> = Extract<messages.PeerMessage, { readonly kind: K }>

const TEXT: Schema<string> = { type: 'string', maxLength: 4096 }
const PATH: Schema<string> = { type: 'string', maxLength: 65_536 }
const COUNT: Schema<number> = { type: 'integer', minimum: 0 }
const INTEGER: Schema<number> = { type: 'integer' }
const NUMBER: Schema<number> = { type: 'number' }
const FLAG: Schema<boolean> = { type: 'boolean' }
const BYTES: Schema<Uint8Array> = { isBytes: true }
const HEADERS: Schema<Readonly<Record<string, string>>> = { type: 'object', additionalProperties: { type: 'string' } }
const OUTCOME: Schema<hosting.Outcome> = { enum: ['answered', 'not-run', 'unknown'] }
const HANDOVER_REFUSAL: Schema<hosting.HandoverRefusal> = { enum: ['stopping', 'other-process', 'returned'] }
const KEY_STATE: Schema<hosting.KeyState> = { enum: ['running', 'answered', 'refused', 'unknown'] }
/** Not an enumeration, because newer versions may add reasons. */
const REASON: Schema<hosting.OutcomeReason> = { type: 'string', maxLength: 64 }
/** Membership and distribution validate these messages themselves, before they change any state. */
const CHECKED_BY_CORE: Schema<never> = { type: 'object' }

const CRASH = object<hosting.CrashRecord>({ key: TEXT, fingerprint: TEXT, nodeId: TEXT, atMs: COUNT, concurrent: COUNT })
const CRASHES: Schema<readonly hosting.CrashRecord[]> = { ...list(CRASH), maxItems: 64 }
const LOAD = object<hosting.LoadReport>({ inFlight: COUNT, queued: COUNT, slots: COUNT })
const OWNER = object<hosting.PartitionOwner>({ nodeId: TEXT, incarnation: COUNT })
const WINDOW_FIELDS: Fields<hosting.InheritedWindows> = { from: OWNER, released: FLAG, atMs: NUMBER, forgottenUntilMs: NUMBER }
const HANDOVER_KEY = object<hosting.HandoverKey>({
  key: TEXT,
  service: TEXT,
  fingerprint: COUNT,
  state: KEY_STATE,
  reason: REASON,
  status: COUNT,
  headers: HEADERS,
  body: BYTES
}, ['body'])
const HANDOVER = object<hosting.Handover>({
  ...WINDOW_FIELDS,
  to: OWNER,
  inherited: list(object<hosting.InheritedWindows>(WINDOW_FIELDS)),
  keys: list(HANDOVER_KEY)
})

export const MESSAGE_SCHEMAS: { readonly [K in messages.PeerMessage['kind']]: Schema<MessageOf<K>> } = {
  hello: object<messages.HelloMessage>({ nodeId: TEXT, incarnation: COUNT, zone: TEXT, version: COUNT, sentAtMs: NUMBER, encodings: list(TEXT) }, ['encodings']),
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
  handover: object<messages.HandoverMessage>({ handover: HANDOVER }),
  'handover-ack': object<messages.HandoverAckMessage>({ fromNodeId: TEXT, incarnation: COUNT, released: FLAG }),
  'handover-refusal': object<messages.HandoverRefusalMessage>({ fromNodeId: TEXT, incarnation: COUNT, reason: HANDOVER_REFUSAL }),
  call: object<messages.CallMessage>({
    callId: INTEGER,
    route: TEXT,
    service: TEXT,
    version: COUNT,
    method: TEXT,
    path: PATH,
    headers: HEADERS,
    body: BYTES,
    remainingMs: NUMBER,
    sentAtMs: NUMBER,
    key: TEXT,
    fingerprint: TEXT,
    depth: COUNT,
    attempt: COUNT,
    delegatedBy: TEXT,
    crashes: CRASHES
  }, ['body', 'key', 'delegatedBy', 'crashes']),
  cancel: object<messages.CancelMessage>({ callId: INTEGER }),
  answer: object<messages.AnswerMessage>({
    callId: INTEGER,
    outcome: OUTCOME,
    reason: REASON,
    status: COUNT,
    headers: HEADERS,
    body: BYTES,
    last: FLAG,
    retryAfterMs: NUMBER,
    load: LOAD,
    targetMs: NUMBER,
    successor: TEXT,
    crashes: CRASHES
  }, ['body', 'targetMs', 'successor', 'crashes']),
  chunk: object<messages.ChunkMessage>({ callId: INTEGER, sequence: COUNT, body: BYTES, last: FLAG, failed: FLAG }, ['body']),
  'chunk-credit': object<messages.ChunkCreditMessage>({ callId: INTEGER, sequence: COUNT })
}

function list<T> (items: Schema<T>): Schema<readonly T[]> {
  return { type: 'array', items }
}

/** Unknown fields are allowed, so that newer versions of elmpost can add fields. */
function object<T> (fields: Fields<T>, optional: readonly OptionalField<T>[] = []): Schema<T> {
  const absent = new Set<PropertyKey>(optional)
  return { type: 'object', required: Object.keys(fields).filter(name => !absent.has(name)), properties: fields }
}
