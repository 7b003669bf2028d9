import type * as types from './Types.js'

/** Priorities of routes are below this, so that the priority of a customer goes before them. */
const ROUTE_PRIORITIES = 1_000

/** For whom a request is made, or that its key is not known. */
export type Identified =
  | { readonly kind: 'known', readonly customer: types.CustomerRule | undefined, readonly urgency: number }
  | { readonly kind: 'unknown-key' }

/** Finds the customer of a request by its key. */
export class CustomerIndex {
  private readonly _byKey = new Map<string, types.CustomerRule>()
  private readonly _byName = new Map<string, types.CustomerRule>()
  private readonly _leastUrgent: number
  private readonly _meanLimitPerS: number

  /** Without customers, requests bear no keys. */
  constructor (private readonly _customers: readonly types.CustomerRule[] | undefined) {
    let leastUrgent = 0
    for (const customer of _customers ?? []) {
      this._byName.set(customer.name, customer)
      for (const key of customer.keys) this._byKey.set(key, customer)
      leastUrgent = Math.max(leastUrgent, customer.priority)
    }
    this._leastUrgent = leastUrgent
    const { limited } = this
    this._meanLimitPerS = limited.length === 0 ? 1 : limited.reduce((sum, { maxCallsPerS }) => sum + maxCallsPerS, 0) / limited.length
  }

  public get hasCustomers (): boolean {
    return this._customers !== undefined
  }

  /** Customers whose requests are limited. */
  public get limited (): readonly types.CustomerRule[] {
    return (this._customers ?? []).filter(({ maxCallsPerS }) => Number.isFinite(maxCallsPerS))
  }

  /** A customer is entitled to a part of a target in proportion to its limit. One without a limit counts as an average one. Undefined if the configuration does not have the customer. */
  public weightOf (name: string): number | undefined {
    const limitPerS = this._byName.get(name)?.maxCallsPerS
    if (limitPerS === undefined) return undefined
    return Number.isFinite(limitPerS) ? limitPerS : this._meanLimitPerS
  }

  /** The customer of a request on the route. A nested call bears no key and belongs to the customer of its run; a run for no customer can only make calls on public routes. */
  public identify (rule: types.RouteRule, key: string | undefined, run: types.RunCustomer | undefined): Identified {
    if (this._customers === undefined) return { kind: 'known', customer: undefined, urgency: rule.priority }
    if (run !== undefined && key === undefined && (run.name !== undefined || rule.isPublic === true)) return this._identifyNested(rule, run)
    if (rule.isPublic === true) return { kind: 'known', customer: undefined, urgency: urgencyOf(this._leastUrgent, rule) }
    const customer = key === undefined ? undefined : this._byKey.get(key)
    return customer === undefined ? { kind: 'unknown-key' } : { kind: 'known', customer, urgency: urgencyOf(customer.priority, rule) }
  }

  private _identifyNested (rule: types.RouteRule, run: types.RunCustomer): Identified {
    const customer = run.name === undefined || rule.isPublic === true ? undefined : this._byName.get(run.name)
    return { kind: 'known', customer, urgency: urgencyOf(Math.floor(run.urgency / ROUTE_PRIORITIES), rule) }
  }
}

function urgencyOf (customerPriority: number, rule: types.RouteRule): number {
  return customerPriority * ROUTE_PRIORITIES + Math.min(rule.priority, ROUTE_PRIORITIES - 1)
}
