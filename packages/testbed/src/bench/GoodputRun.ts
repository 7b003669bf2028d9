import * as random from '@elmpost/common/base/Random.js'
import * as baselinePolicy from './BaselinePolicy.js'
import * as elmpostPolicy from './ElmpostPolicy.js'
import * as eventQueue from './EventQueue.js'
import * as modelFleet from './ModelFleet.js'
import * as tally from './Tally.js'
import type * as types from './Types.js'

/** Virtual start time. It is realistic because keys contain the time. */
const START_MS = 1_700_000_000_000

/** Time after the measured part; calls that are not answered by its end count as unknown. */
const DRAIN_MS = 5_000

export interface ServiceResult {
  readonly service: string
  readonly summary: tally.TallySummary
}

/** One run of one institution under one policy, load and fault. */
export class GoodputRun {
  private readonly _options: types.RunOptions
  private readonly _events = new eventQueue.EventQueue(START_MS)
  private readonly _arrivals: random.Random
  private readonly _fleet: modelFleet.ModelFleet
  private readonly _policy: baselinePolicy.IPolicy
  private readonly _tallies = new Map<types.BenchService, tally.Tally>()
  private readonly _measured: types.ClientCall[] = []
  private _faultyNode: modelFleet.ModelNode | undefined

  constructor (options: types.RunOptions) {
    this._options = options
    const { institution, seed } = options
    this._arrivals = new random.Random(seed)
    this._fleet = new modelFleet.ModelFleet(institution, new random.Random(seed + 1))
    const policyOptions = { events: this._events, fleet: this._fleet, institution, random: new random.Random(seed + 2) }
    this._policy = options.policy === 'elmpost'
      ? new elmpostPolicy.ElmpostPolicy(policyOptions)
      : new baselinePolicy.BaselinePolicy(policyOptions, options.policy === 'baseline-patient')
    for (const service of institution.services) this._tallies.set(service, new tally.Tally(institution.deadlineMs))
  }

  public run (): readonly ServiceResult[] {
    const { warmUpMs, measureMs, institution } = this._options
    for (const service of institution.services) this._scheduleArrival(service)
    // The fault is injected when the measured part begins, so that the results include its first seconds.
    this._events.after(warmUpMs, () => { this._injectFault() })
    this._events.runUntil(START_MS + warmUpMs + measureMs + DRAIN_MS)
    for (const call of this._measured) this._addTotals(call)
    return institution.services.map(service => ({ service: service.name, summary: this._tally(service).summary(measureMs) }))
  }

  private _tally (service: types.BenchService): tally.Tally {
    const found = this._tallies.get(service)
    if (found === undefined) throw new Error(`Service ${service.name} is not part of the institution; use its own services.`)
    return found
  }

  private _injectFault (): void {
    this._faultyNode = this._fleet.injectFault(this._options.fault)
    if (this._faultyNode !== undefined) this._policy.handleFault(this._faultyNode)
  }

  private _addTotals (call: types.ClientCall): void {
    const counts = this._tally(call.service)
    if (!call.ended) counts.recordEnd(call, 'unknown', this._events.nowMs)
    counts.addTotals(call)
  }

  private _scheduleArrival (service: types.BenchService): void {
    const perMs = this._options.load * service.workers * service.slots / service.meanServiceMs
    const delayMs = -Math.log(1 - this._arrivals.nextFloat()) / perMs
    this._events.after(delayMs, () => {
      const { warmUpMs, measureMs } = this._options
      if (this._events.nowMs >= START_MS + warmUpMs + measureMs) return
      this._startCall(service)
      this._scheduleArrival(service)
    })
  }

  private _startCall (service: types.BenchService): void {
    const { institution, warmUpMs } = this._options
    const startedAtMs = this._events.nowMs
    const call: types.ClientCall = { service, route: this._selectRoute(service), startedAtMs, sends: 0, runs: 0, ended: false }
    const isMeasured = startedAtMs >= START_MS + warmUpMs
    if (isMeasured) this._measured.push(call)
    const entry = this._selectEntryNode()
    this._events.after(institution.clientDelayMs, () => {
      this._policy.submit(call, entry, end => {
        this._events.after(institution.clientDelayMs, () => {
          if (call.ended) return
          call.ended = true
          if (isMeasured) this._tally(service).recordEnd(call, end, this._events.nowMs)
        })
      })
    })
  }

  private _selectRoute (service: types.BenchService): types.BenchRoute {
    const [first, second] = service.routes
    if (first === undefined || second === undefined) throw new Error(`Service ${service.name} needs two routes.`)
    return this._arrivals.nextFloat() < first.share ? first : second
  }

  /** Selects a live node at random. */
  private _selectEntryNode (): modelFleet.ModelNode {
    const nodes = this._fleet.nodes.filter(node => !node.isDead)
    const node = nodes[this._arrivals.nextInt(nodes.length)]
    if (node === undefined) throw new Error('No node is alive; use a fault that leaves some.')
    return node
  }
}
