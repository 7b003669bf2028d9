/** Messages about grants for calls of customers with limits. */
import * as linkValues from './LinkValues.js'
import type * as callGrants from '@elmpost/common/direct/CallGrants.js'
import type * as grantIssuer from '@elmpost/common/direct/GrantIssuer.js'

/** Most grants in one message. A larger number is a fault of the sender. */
const MAX_GRANTS = 100_000

/** Asks an issuer for grants, and tells it the part of the sender's share of the limits that it has. */
export interface GrantsRequestMessage extends callGrants.GrantsRequest {
  readonly kind: 'grants-request'
}

/** Answers a request for grants. */
export interface GrantsMessage extends grantIssuer.Issued {
  readonly kind: 'grants'
  readonly requestId: number
}

type Values = readonly unknown[]

export function requestValues ({ requestId, customer, waiting, wanted, part }: GrantsRequestMessage): Values {
  return [requestId, customer, waiting, wanted, part]
}

export function requestOf ([requestId, customer, waiting, wanted, part]: Values): GrantsRequestMessage | undefined {
  if (!linkValues.isWhole(requestId) || !linkValues.isText(customer) || !isCount(waiting) || !isCount(wanted) || !linkValues.isNumber(part) || part < 0 || part > 1) return undefined
  return { kind: 'grants-request', requestId, customer, waiting, wanted, part }
}

export function grantsValues ({ requestId, count, waitMs }: GrantsMessage): Values {
  return [requestId, count, Math.ceil(waitMs)]
}

export function grantsOf ([requestId, count, waitMs]: Values): GrantsMessage | undefined {
  if (!linkValues.isWhole(requestId) || !isCount(count) || !linkValues.isNumber(waitMs) || waitMs < 0) return undefined
  return { kind: 'grants', requestId, count, waitMs }
}

function isCount (value: unknown): value is number {
  return linkValues.isWhole(value) && value <= MAX_GRANTS
}
