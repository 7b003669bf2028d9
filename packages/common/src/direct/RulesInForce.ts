import * as customerIndex from './CustomerIndex.js'
import * as routeIndex from './RouteIndex.js'
import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** `Retry-After` when the load is not known. */
export const DEFAULT_RETRY_MS = 200
/** Short, because callers of a stopping node can reach another node immediately. */
export const STOPPING_RETRY_MS = 50

/** A body of at least this length is sent when its host has room for it. */
export const LONG_BODY_BYTES = 256 * 1024

/** What follows from a request alone, without the state of targets. */
export type Checked =
  | { readonly kind: 'refused', readonly reason: types.RefusalReason, readonly retryAfterMs: base.Millis, readonly rule: types.RouteRule | undefined }
  | { readonly kind: 'accepted', readonly rule: types.RouteRule, readonly identified: customerIndex.Identified & { readonly kind: 'known' }, readonly remainingMs: base.Millis }

/** The configuration in force, with its routes and customers. */
export class RulesInForce {
  private _rules: types.MeshRules | undefined
  private _routes = new routeIndex.RouteIndex([])
  private _hasLongBodies = false
  private _customers = new customerIndex.CustomerIndex(undefined)

  public get rules (): types.MeshRules | undefined {
    return this._rules
  }

  /** Customers whose requests are limited. */
  public get limitedCustomers (): readonly types.CustomerRule[] {
    return this._customers.limited
  }

  /** False if the configuration is not newer. */
  public replace (rules: types.MeshRules): boolean {
    if (this._rules !== undefined && rules.version <= this._rules.version) return false
    this._rules = rules
    this._routes = new routeIndex.RouteIndex(rules.routes)
    this._customers = new customerIndex.CustomerIndex(rules.customers)
    this._hasLongBodies = rules.limits.maxBodyBytes >= LONG_BODY_BYTES || rules.routes.some(({ hasLongBodies }) => hasLongBodies === true)
    return true
  }

  public routeOf (host: string, path: string): types.RouteRule | undefined {
    return this._routes.find(host, path)
  }

  /** Whether there may be calls whose bodies are offered to hosts first. */
  public get hasLongBodies (): boolean {
    return this._hasLongBodies
  }

  public get hasCustomers (): boolean {
    return this._customers.hasCustomers
  }

  /** Part of a target that a customer is entitled to, relative to that of others. Undefined if the configuration does not have it. */
  public customerWeight (customer: string): number | undefined {
    return this._customers.weightOf(customer)
  }

  /** Customer for whom a request is made. Undefined if it is for none, or will be refused. */
  public customerOf ({ host, path, customerKey, run }: Pick<types.CallRequest, 'host' | 'path' | 'customerKey' | 'run'>): types.CustomerRule | undefined {
    const rule = this._routes.find(host, path)
    const identified = rule === undefined ? undefined : this._customers.identify(rule, customerKey, run)
    return identified?.kind === 'known' ? identified.customer : undefined
  }

  /** All checks of a request that do not depend on targets. */
  public check (request: types.CallRequest, nowMs: base.Millis): Checked {
    if (this._rules === undefined) return refused('no-configuration', DEFAULT_RETRY_MS)
    const rule = this._routes.find(request.host, request.path)
    if (rule === undefined) return refused('no-route', 0)
    const identified = this._customers.identify(rule, request.customerKey, request.run)
    if (identified.kind === 'unknown-key') return refused('unknown-key', 0, rule)
    if (request.bodyBytes > this._rules.limits.maxBodyBytes) return refused('body-too-large', 0, rule)
    if (request.history?.standing === 'blocked') return refused('crashes-targets', request.history.blockedForMs, rule)
    const remainingMs = Math.min(request.remainingMs ?? Infinity, rule.timeoutMs)
    if (!(remainingMs > 0)) return refused('deadline', 0, rule)
    if (nowMs + remainingMs > request.endByMs) return refused('stopping', STOPPING_RETRY_MS, rule)
    return { kind: 'accepted', rule, identified, remainingMs }
  }
}

function refused (reason: types.RefusalReason, retryAfterMs: base.Millis, rule?: types.RouteRule): Checked {
  return { kind: 'refused', reason, retryAfterMs, rule }
}
