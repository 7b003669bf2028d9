import type * as base from '@elmpost/common/base/Types.js'
import type * as types from './Types.js'

/** Spread of the lognormal service time: its 99th percentile is 2.8 times the mean. */
const SERVICE_TIME_SIGMA = 0.5

const SLOW_FACTOR = 10

const FAST_FAILURE_MS = 1

/** Delay between VMs of one zone. */
const SAME_ZONE_DELAY_MS = 0.25

/** Service time and status of a target's next call. The service time of a target that hangs is infinite. */
export interface ServedCall {
  readonly serviceMs: number
  readonly status: number
}

/** One modelled VM: a target with its node. */
export interface ModelNode {
  readonly nodeId: string
  readonly zone: string
  readonly service: types.BenchService
  readonly isDead: boolean
  readonly serve: () => ServedCall
}

/** All VMs of an institution with their delays, service times and faults. */
export class ModelFleet {
  public readonly nodes: readonly ModelNode[]
  private readonly _faults = new Map<ModelNode, types.Fault>()

  constructor (private readonly _institution: types.BenchInstitution, private readonly _random: base.IRandom) {
    this.nodes = _institution.services.flatMap(service =>
      Array.from({ length: service.workers }, (_, i) => this._makeNode(service, i)))
  }

  public targetsOf (service: types.BenchService): readonly ModelNode[] {
    return this.nodes.filter(node => node.service === service)
  }

  public delayMs (from: ModelNode, to: ModelNode): number {
    if (from === to) return 0
    return from.zone === to.zone ? SAME_ZONE_DELAY_MS : this._institution.zoneDelayMs
  }

  /** Injects a fault into the first target of the first service, and returns its node. */
  public injectFault (fault: types.Fault): ModelNode | undefined {
    const node = this.nodes[0]
    if (node === undefined || fault === 'none') return undefined
    this._faults.set(node, fault)
    return node
  }

  private _makeNode (service: types.BenchService, index: number): ModelNode {
    const zones = this._institution.zones
    const faults = this._faults
    const node: ModelNode = {
      nodeId: `${service.name}-${index}`,
      zone: zones[index % zones.length] ?? '',
      service,
      get isDead () { return faults.get(node) === 'killed' },
      serve: () => this._serve(service, faults.get(node))
    }
    return node
  }

  private _serve (service: types.BenchService, fault: types.Fault | undefined): ServedCall {
    if (fault === 'fails-fast') return { serviceMs: FAST_FAILURE_MS, status: 500 }
    if (fault === 'hangs') return { serviceMs: Infinity, status: 0 }
    const factor = fault === 'slow' ? SLOW_FACTOR : 1
    return { serviceMs: factor * this._serviceTimeMs(service.meanServiceMs), status: 200 }
  }

  /** Lognormal with the given mean. */
  private _serviceTimeMs (meanMs: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.nextFloat())) * Math.cos(2 * Math.PI * this._random.nextFloat())
    return meanMs * Math.exp(SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA ** 2 / 2)
  }
}
