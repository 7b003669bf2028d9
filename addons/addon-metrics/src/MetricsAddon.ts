import * as disposable from '@elmpost/common/base/Disposable.js'
import * as promClient from 'prom-client'
import type * as nodeServices from '@elmpost/common/node/Services.js'

const MS_PER_S = 1000
/** Buckets around the goal of 0.56 ms, in seconds. */
const ADDED_BUCKETS_S = [0.0001, 0.0002, 0.0003, 0.0004, 0.00056, 0.0008, 0.0012, 0.002, 0.005, 0.02, 0.1, 1]

/** Prometheus metrics of a node, served at `/metrics`. `docs/operators.md` lists each of them. */
export class MetricsAddon extends disposable.Disposable implements nodeServices.INodeAddon {
  private readonly _registry = new promClient.Registry()

  /** Plain numbers, because an increment of a labelled counter costs more than the rest of the accounting of a message. */
  private readonly _byteCounts = { sent: { control: 0, call: 0 }, received: { control: 0, call: 0 } }

  private readonly _calls = new promClient.Counter({
    name: 'elmpost_calls_total',
    help: 'Calls that entered the mesh at this node, by final outcome and reason',
    labelNames: ['outcome', 'reason'],
    registers: [this._registry]
  })

  private readonly _added = new promClient.Histogram({
    name: 'elmpost_added_seconds',
    help: 'Time that elmpost added to answered calls: total time less the time of the target, queues included',
    buckets: ADDED_BUCKETS_S,
    registers: [this._registry]
  })

  private readonly _bytes = new promClient.Counter({
    name: 'elmpost_peer_bytes_total',
    help: 'Bytes of messages between nodes, by direction and by traffic (control or call)',
    labelNames: ['direction', 'traffic'],
    registers: [this._registry],
    collect: () => { this._collectBytes() }
  })

  private readonly _refused = new promClient.Counter({
    name: 'elmpost_messages_refused_total',
    help: 'Messages that were refused because they are not valid, by source',
    labelNames: ['source'],
    registers: [this._registry]
  })

  private readonly _enforced = new promClient.Counter({
    name: 'elmpost_versions_enforced_total',
    help: 'Configuration versions that this process has put into force',
    registers: [this._registry]
  })

  public readonly exposition: nodeServices.IExposition = {
    contentType: this._registry.contentType,
    render: () => this._registry.metrics()
  }

  public activate (node: nodeServices.INodeView): void {
    this._registry.setDefaultLabels({ node: node.nodeId, zone: node.zone })
    this._register(node.onCallFinished(call => { this._countCall(call) }))
    this._register(node.onBytes(event => { this._byteCounts[event.direction][event.traffic] += event.bytes }))
    this._register(node.onMessageRefused(event => { this._refused.inc({ source: event.source }) }))
    this._register(node.onEnforced(() => { this._enforced.inc() }))
    this._addGauges(node)
  }

  public override dispose (): void {
    super.dispose()
    this._registry.clear()
  }

  private _collectBytes (): void {
    this._bytes.reset()
    for (const direction of ['sent', 'received'] as const) {
      for (const traffic of ['control', 'call'] as const) this._bytes.inc({ direction, traffic }, this._byteCounts[direction][traffic])
    }
  }

  private _countCall (call: nodeServices.CallFinished): void {
    this._calls.inc({ outcome: call.outcome, reason: call.reason })
    if (call.outcome === 'answered' && call.targetMs > 0) this._added.observe((call.totalMs - call.targetMs) / MS_PER_S)
  }

  /** Gauges are read when they are scraped, so they cost nothing between two scrapes. */
  private _addGauges (node: nodeServices.INodeView): void {
    this._gauge('elmpost_config_version', 'Configuration version in force', () => node.gauges().enforcedVersion)
    this._gauge('elmpost_config_floor_version', 'Lowest version that the node may enforce', () => node.gauges().floorVersion)
    this._gauge('elmpost_ready', '1 if the node is ready, else 0', () => node.gauges().readiness.ready ? 1 : 0)
    this._gauge('elmpost_entry_calls', 'Calls that entered at this node and have no answer yet', () => node.gauges().entryInFlight)
    this._gauge('elmpost_target_running', 'Calls that run on the target', () => node.gauges().load.inFlight)
    this._gauge('elmpost_target_queue', 'Calls that wait for a slot of the target', () => node.gauges().load.queued)
    this._gauge('elmpost_target_slots', 'Slots of the target', () => node.gauges().load.slots)
    this._gauge('elmpost_peer_links', 'Open connections to other nodes', () => node.gauges().openLinks)
    this._gauge('elmpost_resident_bytes', 'Resident memory of the process', () => node.gauges().residentBytes)
    const members = new promClient.Gauge({
      name: 'elmpost_members',
      help: 'Nodes that this node knows, by state',
      labelNames: ['state'],
      registers: [this._registry],
      collect: () => {
        members.reset()
        for (const [state, count] of Object.entries(node.gauges().members)) members.set({ state }, count)
      }
    })
  }

  private _gauge (name: string, help: string, read: () => number): void {
    const gauge: promClient.Gauge = new promClient.Gauge({ name, help, registers: [this._registry], collect: () => { gauge.set(read()) } })
  }
}
