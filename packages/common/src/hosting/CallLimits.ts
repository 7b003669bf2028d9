import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as admission from './Admission.js'

/** Queue time of a route that this node does not know, because it enforces another version than the entry node. */
const UNKNOWN_ROUTE_QUEUE_MS = 500

/** Routes and limits of the configuration in force, indexed once per document. */
export class CallLimits {
  private _document: config.ConfigDocument | undefined
  private readonly _routes = new Map<string, config.RouteConfig>()
  private _service: config.ServiceConfig | undefined

  constructor (private readonly _serviceName: string, private readonly _configuration: () => config.ConfigDocument | undefined) {}

  public get slots (): number {
    this._refresh()
    return this._service?.slots ?? 0
  }

  public get terms (): config.Terms | undefined {
    this._refresh()
    return this._document?.terms
  }

  public route (name: string): config.RouteConfig | undefined {
    this._refresh()
    return this._routes.get(name)
  }

  /** Undefined if the configuration does not name the service of this node. */
  public get targetCapacity (): admission.TargetCapacity | undefined {
    this._refresh()
    return this._service
  }

  /** Undefined if the configuration does not name the service of this node. */
  public targetLimits (routeName: string): admission.TargetLimits | undefined {
    this._refresh()
    if (this._service === undefined) return undefined
    const maxQueueMs: base.Millis = this._routes.get(routeName)?.limits.maxQueueMs ?? UNKNOWN_ROUTE_QUEUE_MS
    return { slots: this._service.slots, connections: this._service.connections, maxQueueMs }
  }

  private _refresh (): void {
    const document = this._configuration()
    if (document === this._document) return
    this._document = document
    this._routes.clear()
    for (const route of document?.routes ?? []) this._routes.set(route.name, route)
    this._service = document?.services.find(service => service.name === this._serviceName)
  }
}
