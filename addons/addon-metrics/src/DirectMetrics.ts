import * as disposable from '@elmpost/common/base/Disposable.js'
import * as promClient from 'prom-client'
import type * as direct from '@elmpost/common/direct/Services.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'

const MS_PER_S = 1000
/** Buckets from the fastest targets to the longest timeouts of routes, in seconds. */
const CALL_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]

/** Prometheus metrics of a node that carries direct calls. `docs/OPERATIONS.md` lists each of them. */
export class DirectMetrics extends disposable.Disposable implements nodeServices.IExposition {
  private readonly _registry = new promClient.Registry()
  private readonly _calls = new promClient.Counter({
    name: 'elmpost_direct_calls_total',
    help: 'Calls that entered at this node, by final outcome and reason',
    labelNames: ['outcome', 'reason'],
    registers: [this._registry]
  })

  private readonly _results = new promClient.Counter({
    name: 'elmpost_direct_results_total',
    help: 'Calls that entered at this node, by priority of their route, who made them, and result: on-time, late, error (5xx of the target), not-run, unknown',
    labelNames: ['priority', 'origin', 'result'],
    registers: [this._registry]
  })

  private readonly _sends = new promClient.Counter({
    name: 'elmpost_direct_sends_total',
    help: 'Sends of these calls to host nodes',
    registers: [this._registry]
  })

  private readonly _durations = new promClient.Histogram({
    name: 'elmpost_direct_call_seconds',
    help: 'Time from the whole request to its final answer',
    labelNames: ['outcome'],
    buckets: CALL_BUCKETS_S,
    registers: [this._registry]
  })

  private readonly _retries = new promClient.Counter({
    name: 'elmpost_direct_retries_total',
    help: 'Sends after one that reached a target, or may have, by service and cause',
    labelNames: ['service', 'cause'],
    registers: [this._registry]
  })

  private readonly _deniedRetries = new promClient.Counter({
    name: 'elmpost_direct_retries_denied_total',
    help: 'Retries that the bound of the fleet did not allow, by service',
    labelNames: ['service'],
    registers: [this._registry]
  })

  constructor (node: direct.IDirectView) {
    super()
    this._registry.setDefaultLabels({ node: node.nodeName, zone: node.zone })
    this._register(node.onCallEnded(({ outcome, result, reason, origin, priority, totalMs, sends }) => {
      this._calls.inc({ outcome, reason })
      if (priority !== undefined) this._results.inc({ priority, origin, result })
      this._sends.inc(sends)
      this._durations.observe({ outcome }, totalMs / MS_PER_S)
    }))
    this._register(node.onRetry(({ service, cause, isAllowed }) => {
      if (isAllowed) this._retries.inc({ service, cause })
      else this._deniedRetries.inc({ service })
    }))
    this._gauge('elmpost_direct_version', 'Configuration version in force; 0 if none', () => node.gauges().version)
    this._gauge('elmpost_direct_ready', '1 if the node is ready, else 0', () => node.gauges().isReady ? 1 : 0)
    this._gauge('elmpost_direct_entry_calls', 'Calls that entered at this node and have no answer yet', () => node.gauges().entryInFlight)
    this._gauge('elmpost_direct_target_ready', '1 if the target beside the node takes calls, else 0', () => node.gauges().state === 'ready' ? 1 : 0)
    this._gauge('elmpost_direct_target_running', 'Calls that run on the target', () => node.gauges().load.running)
    this._gauge('elmpost_direct_target_queue', 'Calls that wait for a slot of the target', () => node.gauges().load.queued)
    this._gauge('elmpost_direct_target_slots', 'Slots of the target', () => node.gauges().load.slots)
    this._slotSeconds(node)
    this._linkBytes(node)
    this._total('elmpost_direct_grants_requested_total', 'Requests for grants that this node has sent to issuers, itself included', () => node.gauges().grants.requested)
    this._total('elmpost_direct_grants_received_total', 'Grants that this node has received for calls of customers with limits', () => node.gauges().grants.received)
    this._total('elmpost_direct_grants_issued_total', 'Grants that this node has issued, to itself included', () => node.gauges().grants.issued)
    this._total('elmpost_direct_over_limit_total', 'Calls refused because their customer was over its limit', () => node.gauges().grants.refused)
    this._rollouts(node)
    this._gauge('elmpost_direct_rollout_driver', '1 if the node takes the decisions on open roll-outs, else 0', () => node.gauges().drivesRollouts ? 1 : 0)
    this._gauge('elmpost_direct_target_seconds', 'Mean time of a call on the target', () => node.gauges().load.serviceMs / MS_PER_S)
    this._gauge('elmpost_direct_target_calls', 'Calls that were sent to the target since the process started', () => node.gauges().targetCalls)
    this._gauge('elmpost_direct_target_crashes', 'Unexpected ends of the target since the process started', () => node.gauges().targetCrashes)
    this._gauge('elmpost_direct_target_limit_per_second', 'Calls a second that the target takes from all nodes together; +Inf if it advertises no rate limit', () => node.gauges().targetLimitPerS)
    this._gauge('elmpost_direct_nodes', 'Nodes that this node knows, itself included', () => node.gauges().knownNodes)
    this._gauge('elmpost_direct_nodes_connected', 'Nodes that calls can be sent to, itself included', () => node.gauges().connectedNodes)
    this._gauge('elmpost_direct_store_age_seconds', 'Time since the store last answered this node', () => node.gauges().storeAgeMs / MS_PER_S)
    this._gauge('elmpost_direct_body_bytes', 'Bytes of bodies of callers that are being received, or whose requests have no answer yet', () => node.gauges().bodyBytes)
    this._gauge('elmpost_direct_connection_bytes', 'Estimated memory of connections for requests without an answer, answers that are not read and incomplete input', () => node.gauges().connections.heldBytes)
    this._gauge('elmpost_direct_connections_paused', 'Connections from which nothing is read, because of what they hold', () => node.gauges().connections.paused)
    this._closedConnections(node)
    this._gauge('elmpost_direct_accept_wait_seconds', 'How long a connection of a caller that is accepted now may have waited', () => node.gauges().acceptWaitMs / MS_PER_S)
    this._gauge('elmpost_direct_behind_seconds', 'Time since another node is known to enforce a newer version; 0 if none is', () => node.gauges().behindMs / MS_PER_S)
    this._gauge('elmpost_direct_confirmed_age_seconds', 'Time since the version in force is known to have been the newest one; +Inf if it is not known', () => node.gauges().confirmedAgeMs / MS_PER_S)
  }

  public get contentType (): string {
    return this._registry.contentType
  }

  public render (): Promise<string> {
    return this._registry.metrics()
  }

  public override dispose (): void {
    super.dispose()
    this._registry.clear()
  }

  private _slotSeconds (node: direct.IDirectView): void {
    const counter: promClient.Counter<'use'> = new promClient.Counter({
      name: 'elmpost_direct_slot_seconds_total',
      help: 'Time of the slots of the target, by use: on-time, late, error (5xx of the target), lost (no answer), free',
      labelNames: ['use'],
      registers: [this._registry],
      collect: () => {
        counter.reset()
        for (const [use, ms] of Object.entries(node.gauges().slotTimes)) counter.inc({ use }, ms / MS_PER_S)
      }
    })
  }

  private _linkBytes (node: direct.IDirectView): void {
    const counter: promClient.Counter<'direction' | 'kind'> = new promClient.Counter({
      name: 'elmpost_direct_link_bytes_total',
      help: 'Bytes of messages on links to other nodes, by direction and kind of message',
      labelNames: ['direction', 'kind'],
      registers: [this._registry],
      collect: () => {
        counter.reset()
        for (const [direction, kinds] of Object.entries(node.gauges().linkBytes)) {
          for (const [kind, bytes] of Object.entries(kinds)) counter.inc({ direction, kind }, bytes)
        }
      }
    })
  }

  private _total (name: string, help: string, read: () => number): void {
    const counter: promClient.Counter = new promClient.Counter({
      name,
      help,
      registers: [this._registry],
      collect: () => {
        counter.reset()
        counter.inc(read())
      }
    })
  }

  private _rollouts (node: direct.IDirectView): void {
    const gauge: promClient.Gauge<'service' | 'version' | 'phase' | 'bad'> = new promClient.Gauge({
      name: 'elmpost_direct_rollout_share',
      help: 'Share of the calls for a service that targets of the version of its newest roll-out get, by phase and whether the version is known to be bad',
      labelNames: ['service', 'version', 'phase', 'bad'],
      registers: [this._registry],
      collect: () => {
        gauge.reset()
        for (const { order, phase, share, isBad } of node.gauges().rollouts) gauge.set({ service: order.service, version: order.targetVersion, phase, bad: String(isBad) }, isBad ? 0 : share)
      }
    })
  }

  private _closedConnections (node: direct.IDirectView): void {
    const counter: promClient.Counter<'reason'> = new promClient.Counter({
      name: 'elmpost_direct_connections_closed_total',
      help: 'Connections that were closed because of a limit, by reason: unread, memory, count, body',
      labelNames: ['reason'],
      registers: [this._registry],
      collect: () => {
        counter.reset()
        for (const [reason, count] of Object.entries(node.gauges().connections.closed)) counter.inc({ reason }, count)
      }
    })
  }

  private _gauge (name: string, help: string, read: () => number): void {
    const gauge: promClient.Gauge = new promClient.Gauge({ name, help, registers: [this._registry], collect: () => { gauge.set(read()) } })
  }
}
