import type * as config from '@elmpost/common/config/Types.js'
import * as sizes from '../harness/institutions.js'
import type * as types from './Types.js'
import * as testDocuments from '@elmpost/common/config/TestDocuments.js'

/** Mean service time and share of idempotent calls of a service; both are assumptions of the benchmark. */
interface ServiceAssumption {
  readonly meanServiceMs: number
  readonly idempotentShare: number
}

const assumptions: Readonly<Record<string, ServiceAssumption>> = {
  till: { meanServiceMs: 40, idempotentShare: 0.5 },
  vault: { meanServiceMs: 25, idempotentShare: 0.8 },
  booking: { meanServiceMs: 60, idempotentShare: 0.6 },
  'tutor-svc': { meanServiceMs: 50, idempotentShare: 0.7 }
}

/** The two institutions of the design page, with the sizes and delays given there. */
export const institutions: Readonly<Record<types.InstitutionName, types.BenchInstitution>> = {
  kartuli: {
    name: 'kartuli',
    zones: sizes.KARTULI.zones,
    zoneDelayMs: 1,
    clientDelayMs: 1,
    deadlineMs: 500,
    maxQueueMs: 125,
    services: sizes.KARTULI.services.map(serviceOf)
  },
  lakeshore: {
    name: 'lakeshore',
    zones: sizes.LAKESHORE.zones,
    zoneDelayMs: 1.5,
    clientDelayMs: 8,
    deadlineMs: 1_000,
    maxQueueMs: 250,
    services: sizes.LAKESHORE.services.map(serviceOf)
  }
}

function serviceOf (spec: sizes.ServiceSpec): types.BenchService {
  const assumption = assumptions[spec.name]
  if (assumption === undefined) throw new Error(`Service ${spec.name} has no mean service time; add it to the assumptions.`)
  const { name } = spec
  return {
    ...spec,
    meanServiceMs: assumption.meanServiceMs,
    routes: [
      { method: 'GET', path: `/${name}/read`, idempotent: true, share: assumption.idempotentShare },
      { method: 'POST', path: `/${name}/write`, idempotent: false, share: 1 - assumption.idempotentShare }
    ]
  }
}

/** The configuration document of an institution, as its operators would write it. */
export function documentOf (institution: types.BenchInstitution): config.ConfigDocument {
  return {
    institution: institution.name,
    services: institution.services.map(({ name, slots, connections }) => ({ name, slots, connections, coldStartMs: 1_000 })),
    targets: institution.services.map(({ name }) => ({ service: name, zones: institution.zones })),
    routes: institution.services.flatMap(({ name, routes }) => routes.map(route => ({
      name: `${name} ${route.method}`,
      match: { method: route.method, pathPrefix: route.path },
      service: name,
      idempotent: route.idempotent,
      timeoutMs: institution.deadlineMs,
      retry: { maxAttempts: route.idempotent ? 3 : 1 },
      limits: { maxQueueMs: institution.maxQueueMs, maxBodyBytes: 65_536 }
    }))),
    terms: testDocuments.TEST_TERMS
  }
}
