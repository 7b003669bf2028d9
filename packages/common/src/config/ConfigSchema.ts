/** JSON Schema of rule set 1. It is published as `docs/config.schema.json`. After a change run `npm run generate`. */

/** Maximum size of the canonical JSON of a document. It leaves room below the 2 MiB record limit of the log. */
export const MAX_DOCUMENT_BYTES = 1024 * 1024

/** Maximum number of entries of each list. */
export const MAX_ENTRIES = { services: 5_000, targets: 5_000, routes: 20_000 } as const

const MAX_CALL_MS = 600_000
const MAX_TERM_MS = 3_600_000
const DAY_MS = 86_400_000

/** Names are DNS labels, so that they can be used in host names, metric labels and file names. */
const nameSchema = { type: 'string', minLength: 1, maxLength: 63, pattern: '^[a-z0-9]([a-z0-9-]*[a-z0-9])?$' }

function integer (minimum: number, maximum: number, description: string): object {
  return { type: 'integer', minimum, maximum, description }
}

function record (description: string, properties: Record<string, object>): object {
  return { type: 'object', description, additionalProperties: false, required: Object.keys(properties), properties }
}

function list (description: string, minItems: number, maxItems: number, items: object): object {
  return { type: 'array', description, minItems, maxItems, items }
}

const service = record('A service and the limits of each of its targets.', {
  name: nameSchema,
  slots: integer(1, 10_000, 'Calls that one target runs at the same time.'),
  connections: integer(1, 100_000, 'Connections that one target accepts.'),
  coldStartMs: integer(0, MAX_CALL_MS, 'Time over which the share of a target that has just started rises to its full value, in ms.')
})

const target = record('States in which zones a service may be offered.', {
  service: nameSchema,
  zones: { ...list('Zones in which targets of the service may announce themselves.', 1, 64, nameSchema), uniqueItems: true }
})

const match = record('Calls that the route takes.', {
  method: { type: 'string', enum: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', '*'], description: 'HTTP method, or * for every method.' },
  pathPrefix: { type: 'string', minLength: 1, maxLength: 1024, pattern: "^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$", description: 'Start of the path, without query.' }
})

const route = record('Sends matching calls to a service.', {
  name: nameSchema,
  match,
  service: nameSchema,
  idempotent: { type: 'boolean', description: 'Whether running a call twice does no harm.' },
  timeoutMs: integer(1, MAX_CALL_MS, 'Longest time from the arrival of a call to its answer, in ms.'),
  retry: record('Retries by the mesh.', {
    maxAttempts: integer(1, 10, 'Attempts including the first; 1 on routes that are not idempotent.')
  }),
  limits: record('Limits of each call.', {
    maxQueueMs: integer(0, MAX_CALL_MS, 'Longest wait for a slot, in ms.'),
    maxBodyBytes: integer(0, 67_108_864, 'Largest request body, in bytes.')
  })
})

const distribution = record('How configuration reaches the nodes.', {
  preference: { type: 'string', enum: ['convergence-time', 'control-bytes'], description: 'What to favour when the two are in conflict.' },
  pushFanout: integer(1, 64, 'Children of each node in the push tree.'),
  gossipIntervalMs: integer(100, 60_000, 'Time between two probes of a node, in ms.')
})

const terms = record('Terms of the institution.', {
  drainMs: integer(0, MAX_TERM_MS, 'Longest graceful shutdown, in ms; at least the largest timeoutMs.'),
  retryBudgetRatio: { type: 'number', minimum: 0, maximum: 1, description: 'Retries allowed per first attempt.' },
  zonePreference: { type: 'string', enum: ['local-first', 'any'], description: 'Whether targets of the own zone come first.' },
  ownershipHorizonMs: integer(5_000, MAX_TERM_MS, 'Time for which the owners of idempotency keys are fixed in advance, in ms.'),
  keyRetentionMs: integer(1_000, DAY_MS, 'Time for which the outcome of an idempotency key is kept, in ms.'),
  distribution
})

export const CONFIG_SCHEMA: Readonly<Record<string, unknown>> = {
  $schema: 'http://json-schema.org/draft-07/schema#',
  title: 'elmpost configuration',
  ...record('Configuration of one institution, rule set 1. Operators apply it as a whole.', {
    institution: nameSchema,
    services: list('Services of the institution.', 1, MAX_ENTRIES.services, service),
    targets: list('One rule for each service.', 1, MAX_ENTRIES.targets, target),
    routes: list('Routes of calls to services.', 1, MAX_ENTRIES.routes, route),
    terms
  })
}
