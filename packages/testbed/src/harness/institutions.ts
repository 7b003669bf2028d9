/** Sizes of the two institutions, as given in the design page. */
import * as url from 'node:url'
import type * as loadGenerator from './LoadGenerator.js'

export interface ServiceSpec {
  readonly name: string
  readonly workers: number
  readonly slots: number
  readonly connections: number
}

export interface InstitutionSpec {
  readonly name: string
  readonly zones: readonly string[]
  readonly services: readonly ServiceSpec[]
  /** Configuration file that operators apply. */
  readonly configFile: string
}

const EXAMPLES = new URL('../../../../examples/', import.meta.url)

export const KARTULI: InstitutionSpec = {
  name: 'kartuli',
  zones: ['vake', 'saburtalo', 'didube'],
  services: [
    { name: 'till', workers: 5, slots: 15, connections: 120 },
    { name: 'vault', workers: 5, slots: 15, connections: 120 }
  ],
  configFile: url.fileURLToPath(new URL('kartuli.json', EXAMPLES))
}

export const LAKESHORE: InstitutionSpec = {
  name: 'lakeshore',
  zones: ['ann', 'tol', 'det'],
  services: [
    { name: 'booking', workers: 5, slots: 6, connections: 110 },
    { name: 'tutor-svc', workers: 4, slots: 6, connections: 110 }
  ],
  configFile: url.fileURLToPath(new URL('lakeshore.json', EXAMPLES))
}

/** Calls that the callers of an institution make, with their share of the load. */
export const KARTULI_CALLS: readonly loadGenerator.CallKind[] = [
  { method: 'GET', path: '/till/price/visa', keyed: false, timeoutMs: 2000, weight: 4 },
  { method: 'POST', path: '/till/charge', keyed: true, timeoutMs: 2000, weight: 3 },
  { method: 'POST', path: '/till/print', keyed: true, timeoutMs: 5000, weight: 1 },
  { method: 'GET', path: '/vault/photo/ABC123', keyed: false, timeoutMs: 3000, weight: 2 },
  { method: 'POST', path: '/vault/code', keyed: true, timeoutMs: 2000, weight: 1 }
]

export const LAKESHORE_CALLS: readonly loadGenerator.CallKind[] = [
  { method: 'GET', path: '/booking/hours', keyed: false, timeoutMs: 2000, weight: 3 },
  { method: 'POST', path: '/booking/book', keyed: true, timeoutMs: 3000, weight: 2 },
  { method: 'GET', path: '/tutor/plans', keyed: false, timeoutMs: 2000, weight: 2 },
  { method: 'POST', path: '/tutor/payout', keyed: true, timeoutMs: 5000, weight: 1 }
]
