/** Documents of realistic size: 810 services for 6,900 nodes, fewer in proportion for smaller fleets. */
import type * as config from '@elmpost/common/config/Types.js'
import * as testDocuments from '@elmpost/common/config/TestDocuments.js'

const SERVICES_PER_NODE = 810 / 6_900

export function serviceCount (size: number): number {
  return Math.max(2, Math.round(size * SERVICES_PER_NODE))
}

/** Service of the node with this index. */
export function serviceOf (index: number, size: number): string {
  return serviceName(index % serviceCount(size))
}

/** The document of a version. It differs from the previous version in two numbers: a changed one and one set back to its default. */
export function benchDocument (size: number, zoneCount: number, version: number, preference: config.DistributionPreference): config.ConfigDocument {
  const names = Array.from({ length: serviceCount(size) }, (_, i) => serviceName(i))
  const zones = Array.from({ length: zoneCount }, (_, i) => `zone-${i}`)
  const changed = version % names.length
  return {
    institution: 'bench',
    services: names.map((name, i) => ({ name, slots: 15, connections: 120, coldStartMs: i === changed ? 1_000 + version : 1_000 })),
    targets: names.map(service => ({ service, zones })),
    routes: names.map(name => ({
      name: `route-${name}`,
      match: { method: 'POST', pathPrefix: `/${name}/call` },
      service: name,
      idempotent: false,
      timeoutMs: 2_000,
      retry: { maxAttempts: 1 },
      limits: { maxQueueMs: 500, maxBodyBytes: 65_536 }
    })),
    terms: { ...testDocuments.TEST_TERMS, distribution: { ...testDocuments.TEST_TERMS.distribution, preference } }
  }
}

function serviceName (index: number): string {
  return `service-${String(index).padStart(3, '0')}`
}
