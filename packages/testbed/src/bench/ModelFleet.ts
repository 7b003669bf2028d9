import type * as base from '@elmpost/common/base/Types.js'
import type * as eventQueue from './EventQueue.js'
import * as slotQueue from './SlotQueue.js'
import type * as types from './Types.js'

/** Spread of the lognormal service time: its 99th percentile is 2.8 times the mean. */
const SERVICE_TIME_SIGMA = 0.5

const SLOW_FACTOR = 10

const FAILURE_MS = 1

/** Delay between VMs of one zone. */
const SAME_ZONE_DELAY_MS = 0.25

/** One modelled VM: a target with its node. */
export interface ModelNode {
  readonly nodeId: string
  readonly zone: string
  readonly service: types.BenchService
  readonly queue: slotQueue.SlotQueue
  fault: types.Fault
}

export interface ModelFleetOptions {
  readonly events: eventQueue.EventQueue
  readonly institution: types.BenchInstitution
  readonly isBounded: boolean
  readonly random: base.IRandom
}

/** All VMs of an institution with their delays, service times and faults. */
export class ModelFleet {
  public readonly nodes: readonly ModelNode[]
  private readonly _options: ModelFleetOptions

  constructor (options: ModelFleetOptions) {
    this._options = options
    this.nodes = options.institution.services.flatMap(service =>
      Array.from({ length: service.workers }, (_, i) => this._node(service, i)))
  }

  public of (service: types.BenchService): readonly ModelNode[] {
    return this.nodes.filter(node => node.service === service)
  }

  public delayMs (from: ModelNode, to: ModelNode): number {
    if (from === to) return 0
    return from.zone === to.zone ? SAME_ZONE_DELAY_MS : this._options.institution.zoneDelayMs
  }

  /** Breaks the first target of the first service. */
  public breakOne (fault: types.Fault): ModelNode | undefined {
    const node = this.nodes[0]
    if (node === undefined || fault === 'none') return undefined
    node.fault = fault
    if (fault === 'killed') node.queue.kill()
    return node
  }

  private _node (service: types.BenchService, index: number): ModelNode {
    const zones = this._options.institution.zones
    const node: ModelNode = {
      nodeId: `${service.name}-${index}`,
      zone: zones[index % zones.length] ?? '',
      service,
      queue: new slotQueue.SlotQueue({
        events: this._options.events,
        slots: service.slots,
        isBounded: this._options.isBounded,
        serve: () => this._serve(node)
      }),
      fault: 'none'
    }
    return node
  }

  private _serve (node: ModelNode): slotQueue.Service {
    if (node.fault === 'fails-fast') return { serviceMs: FAILURE_MS, status: 500 }
    if (node.fault === 'hangs') return { serviceMs: Infinity, status: 0 }
    const factor = node.fault === 'slow' ? SLOW_FACTOR : 1
    return { serviceMs: factor * this._serviceTimeMs(node.service.meanServiceMs), status: 200 }
  }

  /** Lognormal with the given mean. */
  private _serviceTimeMs (meanMs: number): number {
    const { random } = this._options
    const normal = Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat())
    return meanMs * Math.exp(SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA ** 2 / 2)
  }
}
