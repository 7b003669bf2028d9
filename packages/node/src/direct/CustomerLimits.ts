import * as callGrants from '@elmpost/common/direct/CallGrants.js'
import * as deadlineTimer from '../DeadlineTimer.js'
import * as grantIssuer from '@elmpost/common/direct/GrantIssuer.js'
import * as grantTerms from '@elmpost/common/direct/GrantTerms.js'
import * as issuerPlan from '@elmpost/common/direct/IssuerPlan.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as directServices from '@elmpost/common/direct/Services.js'
import type * as grantMessages from './GrantMessages.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as targetTable from '@elmpost/common/direct/TargetTable.js'

export interface CustomerLimitsOptions {
  readonly selfId: base.NodeId
  readonly table: targetTable.TargetTable
  readonly terms: direct.CustomerLimitTerms
  /** Steady clock that counts the time for which the VM was suspended, as far as it is known. */
  readonly nowMs: () => base.Millis
  /** Nodes among which the limits are divided. Undefined if not known. */
  readonly nodeCount: () => number | undefined
  readonly links: IGrantLinks
  readonly logger: nodeServices.ILogger
}

export interface IGrantLinks {
  isConnected(nodeId: base.NodeId): boolean
  send(nodeId: base.NodeId, message: linkCodec.LinkMessage): void
}

/** Limits of customers, by grants that a few nodes issue. This node takes grants for the calls that enter here, and may itself be an issuer. */
export class CustomerLimits implements services.ICallLimits, base.IDisposable {
  private readonly _options: CustomerLimitsOptions
  private readonly _plan: issuerPlan.IssuerPlan
  private readonly _issuer: grantIssuer.GrantIssuer
  private readonly _grants: callGrants.CallGrants<services.GrantHandler>
  private readonly _timer: deadlineTimer.DeadlineTimer
  private readonly _counts = { requested: 0, received: 0, issued: 0, refused: 0 }
  /** Most issuers that the limits in force allow; 0 without limits. */
  private _maxIssuers = 0
  private _loggedIssuers = ''
  private _wasAlone = false
  private _isDisposed = false

  constructor (options: CustomerLimitsOptions) {
    this._options = options
    const { selfId, table, terms, nowMs, nodeCount } = options
    this._plan = new issuerPlan.IssuerPlan({ selfId, table })
    this._issuer = new grantIssuer.GrantIssuer({ terms, nowMs, nodeCount })
    this._grants = new callGrants.CallGrants<services.GrantHandler>({
      terms,
      nowMs,
      nodeCount,
      issuers: () => this.issuers,
      send: (issuer, request) => this._request(issuer, request),
      onSettled: (handler, settled) => {
        this._count(settled)
        handler(settled)
      }
    })
    this._timer = new deadlineTimer.DeadlineTimer({
      nowMs,
      expire: () => {
        this._grants.tick()
        return this._grants.nextDueMs
      }
    })
  }

  /** Nodes that issue grants. Empty if no customer of the configuration in force has a limit. */
  public get issuers (): readonly base.NodeId[] {
    return this._maxIssuers === 0 ? [] : this._plan.choose(this._maxIssuers)
  }

  public get counts (): directServices.GrantCounts {
    return this._counts
  }

  /** Puts the limits of a configuration into force. */
  public setCustomers (customers: readonly direct.CustomerRule[]): void {
    this._maxIssuers = customers.length === 0 ? 0 : grantTerms.maxIssuers(customers, this._options.terms)
    this._issuer.setCustomers(customers)
    this._grants.setCustomers(customers)
  }

  public take (customer: string, onSettled: services.GrantHandler): callGrants.Taken {
    const taken = this._grants.take(customer, onSettled)
    if (taken.kind === 'waiting') this._timer.arm(this._grants.nextDueMs)
    else this._count(taken)
    return taken
  }

  public cancel (customer: string, onSettled: services.GrantHandler): void {
    this._grants.cancel(customer, onSettled)
  }

  public giveBack (grant: callGrants.Grant): void {
    this._grants.giveBack(grant)
  }

  /** Handles the request of an entry node. A node that does not know the size of the fleet does not answer, so that its part goes to other issuers. */
  public handleRequest (nodeId: base.NodeId, { requestId, customer, waiting, wanted, part }: callGrants.GrantsRequest, reply: (message: linkCodec.LinkMessage) => void): void {
    if (this._options.nodeCount() === undefined) return
    this._issuer.recordPart(nodeId, part)
    const { count, waitMs } = customer === '' ? { count: 0, waitMs: 0 } : this._issuer.issue(customer, waiting, wanted)
    this._counts.issued += count
    reply({ kind: 'grants', requestId, count, waitMs })
  }

  /** Handles the answer of an issuer. */
  public handleGrants (nodeId: base.NodeId, { requestId, count, waitMs }: grantMessages.GrantsMessage): void {
    this._counts.received += count
    this._grants.handleGrants(nodeId, requestId, count, waitMs)
    this._timer.arm(this._grants.nextDueMs)
  }

  public tick (): void {
    if (this._maxIssuers === 0) return
    this._issuer.tick()
    this._grants.tick()
    this._timer.arm(this._grants.nextDueMs)
    this._logChanges()
  }

  public dispose (): void {
    this._isDisposed = true
    this._timer.dispose()
  }

  private _request (issuer: base.NodeId, request: callGrants.GrantsRequest): boolean {
    const { selfId, links } = this._options
    if (issuer === selfId) {
      // Answered later, as by another node.
      queueMicrotask(() => {
        if (!this._isDisposed) this.handleRequest(selfId, request, message => { if (message.kind === 'grants') this.handleGrants(selfId, message) })
      })
    } else {
      if (!links.isConnected(issuer)) return false
      links.send(issuer, { kind: 'grants-request', ...request })
    }
    if (request.customer !== '') this._counts.requested += 1
    return true
  }

  private _count ({ kind }: callGrants.Settled): void {
    if (kind === 'refused') this._counts.refused += 1
  }

  private _logChanges (): void {
    const { logger } = this._options
    const issuers = [...this.issuers].sort().join(' ')
    if (issuers !== this._loggedIssuers) logger.log('info', 'issuers-changed', { issuers })
    this._loggedIssuers = issuers
    const { isAlone } = this._grants
    if (isAlone !== this._wasAlone) logger.log(isAlone ? 'warn' : 'info', isAlone ? 'issuers-silent' : 'issuers-heard', { issuers })
    this._wasAlone = isAlone
  }
}
