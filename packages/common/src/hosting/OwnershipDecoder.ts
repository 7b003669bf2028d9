import * as ajv from 'ajv'
import * as results from 'ts-results-es'
import type * as types from './Types.js'

const NUMBER = { type: 'number', minimum: 0 }
const INTEGER = { type: 'integer', minimum: 0 }
const OWNER = object({ nodeId: { type: 'string', minLength: 1 }, incarnation: NUMBER })
const RELEASE = { owner: OWNER, successor: OWNER }
const SERVICES = {
  type: 'array',
  items: object({
    service: { type: 'string' },
    owners: { type: 'array', items: OWNER },
    groups: { type: 'array', items: object({ startsAtMs: NUMBER, pairs: { type: 'array', items: INTEGER } }) }
  })
}
const UPDATE_FIELDS = {
  asOfOffset: INTEGER,
  tableVersion: INTEGER,
  horizonMs: NUMBER,
  floorMs: NUMBER,
  lastChangeMs: NUMBER,
  lastChangeOffset: INTEGER,
  released: { type: 'array', items: object(RELEASE) },
  sinceVersion: INTEGER,
  services: SERVICES
}
const RECORD = {
  oneOf: [
    object({ kind: { const: 'horizon' }, untilMs: NUMBER }),
    object({ kind: { const: 'partitions' }, baseTableVersion: INTEGER, startsAtMs: NUMBER, services: SERVICES }),
    object({ kind: { const: 'release' }, ...RELEASE }),
    object({ kind: { const: 'table-snapshot' }, ...UPDATE_FIELDS }),
    object({ kind: { const: 'table-reset' }, asOfOffset: INTEGER, floorMs: NUMBER })
  ]
}

const compiler = new ajv.Ajv()
const isRecord = compiler.compile<types.OwnershipRecord>(RECORD)
const isUpdate = compiler.compile<types.OwnershipUpdate>(object(UPDATE_FIELDS))

/** A record or a message about ownership does not have the expected form. */
export class OwnershipDecodeError extends Error {
  public readonly kind = 'bad-ownership'

  constructor (detail: string) {
    super(`Ownership data from the log or a peer has an unknown form (${detail}) and is ignored. Check that all nodes run the same software version.`)
    this.name = 'OwnershipDecodeError'
  }
}

export function decodeRecord (data: unknown): results.Result<types.OwnershipRecord, OwnershipDecodeError> {
  if (isRecord(data)) return results.Ok(data)
  return results.Err(new OwnershipDecodeError(compiler.errorsText(isRecord.errors)))
}

export function decodeUpdate (data: unknown): results.Result<types.OwnershipUpdate, OwnershipDecodeError> {
  if (isUpdate(data)) return results.Ok(data)
  return results.Err(new OwnershipDecodeError(compiler.errorsText(isUpdate.errors)))
}

function object (properties: Record<string, object>): object {
  return { type: 'object', properties, required: Object.keys(properties) }
}
