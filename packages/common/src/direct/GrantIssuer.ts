import * as grantBucket from './GrantBucket.js'
import * as grantTerms from './GrantTerms.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Wait that is stated while no share of the limit is at hand, and the longest one. */
const MAX_WAIT_MS = 1_000
const MS_PER_S = 1000
/** Grants beyond those of calls that wait are issued from what exceeds this part of the bucket. */
const RESERVED_PART = 0.5

export interface Issued {
  readonly count: number
  /** Time after which another request is expected to be granted; 0 if it may come at once. */
  readonly waitMs: base.Millis
}

interface Customer {
  rule: types.CustomerRule
  readonly bucket: grantBucket.GrantBucket
  /** Future grants whose times have been stated to nodes. */
  promised: number
  updatedAtMs: base.Millis
}

export interface GrantIssuerOptions {
  readonly terms: types.CustomerLimitTerms
  readonly nowMs: () => base.Millis
  /** Nodes among which the limits are divided. Undefined if not known; nothing is issued then. */
  readonly nodeCount: () => number | undefined
}

/**
 * Issues grants from a share of each limit: the sum of the parts that the nodes it hears have given to it. Each node has
 * one part in the number of nodes, and divides it among the issuers that it hears, so all issuers together have at most the limit.
 */
export class GrantIssuer {
  private readonly _options: GrantIssuerOptions
  private readonly _customers = new Map<string, Customer>()
  private readonly _parts = new Map<base.NodeId, { part: number, heardAtMs: base.Millis }>()

  constructor (options: GrantIssuerOptions) {
    this._options = options
  }

  /** Limits of the configuration in force. A customer that stays keeps its bucket. */
  public setCustomers (rules: readonly types.CustomerRule[]): void {
    const { terms, nowMs } = this._options
    const names = new Set(rules.map(({ name }) => name))
    for (const name of this._customers.keys()) if (!names.has(name)) this._customers.delete(name)
    for (const rule of rules) {
      const limit = grantTerms.bucketLimitOf(rule, terms)
      const known = this._customers.get(rule.name)
      if (known === undefined) {
        this._customers.set(rule.name, { rule, bucket: new grantBucket.GrantBucket(limit, nowMs()), promised: 0, updatedAtMs: nowMs() })
      } else {
        known.rule = rule
        known.bucket.setLimit(limit, nowMs())
      }
    }
  }

  /** Records the part of its own share that a node gives to this issuer, between 0 and 1. */
  public recordPart (nodeId: base.NodeId, part: number): void {
    if (part > 0) this._parts.set(nodeId, { part, heardAtMs: this._options.nowMs() })
    else this._parts.delete(nodeId)
  }

  /** To be called several times a second, because a bucket counts a longer time as a stall. */
  public tick (): void {
    if (this._customers.size === 0) return
    const nowMs = this._options.nowMs()
    const share = this._share(nowMs)
    for (const customer of this._customers.values()) this._update(customer, share, nowMs)
  }

  /** Issues up to `waiting` grants, and up to `wanted` while the bucket is full enough. */
  public issue (name: string, waiting: number, wanted: number): Issued {
    const customer = this._customers.get(name)
    if (customer === undefined) return { count: 0, waitMs: MAX_WAIT_MS }
    const nowMs = this._options.nowMs()
    this._update(customer, this._share(nowMs), nowMs)
    const { bucket } = customer
    const spare = Math.floor(bucket.available - bucket.capacity * RESERVED_PART)
    const count = bucket.take(Math.max(waiting, Math.min(wanted, spare)))
    if (count >= waiting && bucket.available > 0) return { count, waitMs: 0 }
    // Each node gets another time, so that they do not all ask for the same grant. What is promised stays below what the bucket can hold.
    if (count < waiting) customer.promised = Math.min(customer.promised + 1, Math.max(1, bucket.capacity / 2))
    return { count, waitMs: Math.min(MAX_WAIT_MS, bucket.waitMs(Math.max(1, customer.promised))) }
  }

  private _share (nowMs: base.Millis): number {
    const nodeCount = this._options.nodeCount()
    if (nodeCount === undefined) return 0
    let sum = 0
    for (const [nodeId, { part, heardAtMs }] of this._parts) {
      if (nowMs - heardAtMs < grantTerms.HEARD_MS) sum += part
      else this._parts.delete(nodeId)
    }
    return Math.min(1, sum / nodeCount)
  }

  private _update (customer: Customer, share: number, nowMs: base.Millis): void {
    customer.bucket.update(share, nowMs)
    customer.promised = Math.max(0, customer.promised - (nowMs - customer.updatedAtMs) * customer.bucket.callsPerS / MS_PER_S)
    customer.updatedAtMs = nowMs
  }
}
