import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as distributionTypes from '../distribution/Types.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from './Messages.js'
import type * as routing from '../routing/Types.js'
import type * as services from './Services.js'

export interface NodeCoreOptions {
  readonly services: services.NodeServices
  /** Earliest time at which the node may become ready: the issue times of all keys that its previous process may have run have passed. */
  readonly earliestReadyMs: base.Millis
}

/** Changes of calls caused by a tick. */
export interface TickResult {
  readonly decisions: readonly routing.EntryDecision[]
  readonly updates: readonly hosting.HostUpdate[]
}

/**
 * Composes the services of one node: passes each message to its service and runs all services in each tick.
 * The process drains the effects after each call.
 */
export class NodeCore extends disposable.Disposable {
  public readonly services: services.NodeServices
  private readonly _earliestReadyMs: base.Millis

  constructor (options: NodeCoreOptions) {
    super()
    this.services = options.services
    this._earliestReadyMs = options.earliestReadyMs
    const { membership, enforcement } = this.services
    this._register(enforcement.onEnforced(event => { membership.announce({ enforcedVersion: event.version }, event.atMs) }))
  }

  /** Passes a control message to the service that handles its kind. */
  public receive (from: base.NodeId, message: messages.ControlMessage, nowMs: base.Millis): void {
    const { membership, distribution, lifecycle } = this.services
    switch (message.kind) {
      case 'join':
      case 'gossip':
      case 'probe':
      case 'probe-ack':
      case 'probe-request':
      case 'table-digest':
      case 'table-rows':
        membership.receive(from, message, nowMs)
        return
      case 'push':
      case 'push-ack':
      case 'pull':
      case 'state':
      case 'busy':
        distribution.receive(from, message, nowMs)
        return
      case 'handover':
      case 'handover-ack':
      case 'handover-refusal':
        lifecycle.receive(from, message, nowMs)
    }
  }

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (result.stream === 'ownership') this.services.ownershipLog.logRead(result, nowMs)
    else this.services.distribution.logRead(result, nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    const { ownershipLog, lifecycle, distribution } = this.services
    if (result.stream !== 'ownership') {
      distribution.logAppended(result, nowMs)
      return
    }
    // Each service recognizes its own records by their request ids.
    ownershipLog.logAppended(result, nowMs)
    lifecycle.logAppended(result, nowMs)
  }

  /** Announces that the target beside the node became ready or stopped being ready. */
  public handleTargetChange (ready: boolean, nowMs: base.Millis): void {
    const { membership } = this.services
    if (membership.self.targetReady === ready) return
    if (ready) membership.announce({ targetReady: true, targetReadySinceMs: nowMs }, nowMs)
    else membership.announce({ targetReady: false }, nowMs)
  }

  /** Runs every service once. Returns changes of calls that no message caused, for example passed deadlines. */
  public tick (nowMs: base.Millis): TickResult {
    const { membership, distribution, ownershipLog, host, lifecycle, entry } = this.services
    membership.tick(nowMs)
    distribution.tick(nowMs)
    ownershipLog.tick(nowMs, distribution.isReader)
    const updates = host.tick(nowMs)
    lifecycle.tick(nowMs)
    this._becomeReady(nowMs)
    return { decisions: entry.tick(nowMs), updates }
  }

  /** Whether the node accepts calls, and if not, why. */
  public readiness (nowMs: base.Millis): distributionTypes.Readiness {
    const { membership, distribution, lifecycle } = this.services
    const readiness = distribution.readiness(nowMs)
    if (lifecycle.isDraining) return { ...readiness, ready: false, reason: 'draining' }
    if (readiness.upgradeReason !== undefined) return { ...readiness, ready: false, reason: 'upgrade-needed' }
    if (!readiness.ready) return readiness
    const self = membership.self
    if (self.state !== 'ready') return { ...readiness, ready: false, reason: 'joining' }
    if (self.service !== '' && !self.targetReady) return { ...readiness, ready: false, reason: 'target-not-ready' }
    return this._hasKeyOwners() ? readiness : { ...readiness, ready: false, reason: 'no-key-owners' }
  }

  /** Whether every service with keyed routes has owners. Services without a target have none and are left out. */
  private _hasKeyOwners (): boolean {
    const { enforcement, membership, ownershipTable } = this.services
    const routes = enforcement.current?.document.routes ?? []
    const keyed = new Set(routes.filter(route => !route.idempotent).map(route => route.service))
    for (const service of keyed) {
      if (membership.targetsOf(service).length === 0) continue
      // A horizon in the past is accepted: idempotent calls continue during an outage of the log.
      if (ownershipTable.horizonMs === 0 || ownershipTable.newestOwners(service).length === 0) return false
    }
    return true
  }

  private _becomeReady (nowMs: base.Millis): void {
    const { membership, distribution, lifecycle } = this.services
    if (membership.self.state !== 'joining' || lifecycle.isDraining) return
    if (nowMs < this._earliestReadyMs || !distribution.readiness(nowMs).ready) return
    membership.setState('ready', nowMs)
  }
}
