import type * as base from '../base/Types.js'
import type * as grantBucket from './GrantBucket.js'
import type * as types from './Types.js'

/** Parts of the overshoot and of the slack that the buckets hold. The rest is for grants in hand and for short overlaps between issuers. */
const OVERSHOOT_SHARE = 0.25
const SLACK_SHARE = 0.6
/** Part of the slack for grants that nodes save up while they hear no issuer. */
const ALONE_SLACK_SHARE = 0.2
/** A grant is used within this time after it was requested, so also after it was issued. */
export const GRANT_TTL_MS: base.Millis = 200
/** An issuer counts a node that it has heard within this time. */
export const HEARD_MS: base.Millis = 3_000
/** Interval at which a node tells each issuer its share. */
export const REPORT_INTERVAL_MS: base.Millis = 1_000
/**
 * A node gives the share of a silent issuer to the others after this time. Longer than the time for which that issuer still
 * counts the node, by one report and its way, so that the share is not used twice.
 */
export const SILENT_MS: base.Millis = 4_500

/** Grants that may be saved up for the customer, by all nodes together. */
export function capacityOf ({ maxCallsPerS, burstCalls }: types.CustomerRule, { windowMs, overshoot, slack }: types.CustomerLimitTerms): number {
  return burstCalls + OVERSHOOT_SHARE * overshoot * (maxCallsPerS * windowMs / 1000 + burstCalls) + SLACK_SHARE * slack
}

/** What a bucket of the whole limit keeps. Grants are used somewhat later than they are issued, so its window is longer. */
export function bucketLimitOf (rule: types.CustomerRule, terms: types.CustomerLimitTerms): grantBucket.BucketLimit {
  const { maxCallsPerS, burstCalls } = rule
  const nominal = maxCallsPerS * terms.windowMs / 1000 + burstCalls
  return { maxCallsPerS, capacity: capacityOf(rule, terms), maxInWindow: nominal * (1 + OVERSHOOT_SHARE * terms.overshoot) + SLACK_SHARE * terms.slack, windowMs: terms.windowMs + GRANT_TTL_MS }
}

/** Most issuers that can serve all of the customers, because a bucket that holds less than one grant issues none. */
export function maxIssuers (customers: readonly types.CustomerRule[], terms: types.CustomerLimitTerms): number {
  return customers.reduce((count, customer) => Math.min(count, Math.max(1, Math.floor(capacityOf(customer, terms)))), Infinity)
}

/**
 * Whether each node may save up a grant of its own while it hears no issuer. With a small limit and many nodes, the saved
 * grants of all of them would exceed the bound.
 */
export function mayServeAlone (customer: types.CustomerRule, terms: types.CustomerLimitTerms, nodeCount: number): boolean {
  return nodeCount <= capacityOf(customer, terms) + ALONE_SLACK_SHARE * terms.slack
}
