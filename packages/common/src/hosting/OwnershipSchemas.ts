/** JSON Schemas of ownership records and updates. Run `npm run generate` after a change. */
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

export const OWNERSHIP_SCHEMAS = { record: RECORD, update: object(UPDATE_FIELDS) }

function object (properties: Record<string, object>): Readonly<Record<string, unknown>> {
  return { type: 'object', properties, required: Object.keys(properties) }
}
