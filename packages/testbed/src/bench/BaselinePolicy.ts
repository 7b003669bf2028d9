import type * as base from '@elmpost/common/base/Types.js'
import * as connections from './Connections.js'
import type * as eventQueue from './EventQueue.js'
import type * as modelFleet from './ModelFleet.js'
import * as slotQueue from './SlotQueue.js'
import type * as types from './Types.js'

const MOST_ATTEMPTS = 3

/** Health checks take a dead target out of the choice after this time. */
const HEALTH_DELAY_MS = 3_000

const CONNECTION_MS = 1

export interface PolicyOptions {
  readonly events: eventQueue.EventQueue
  readonly fleet: modelFleet.ModelFleet
  readonly institution: types.BenchInstitution
  readonly random: base.IRandom
}

/** Receives calls at entry nodes. */
export interface IPolicy {
  submit(call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void
  /** The fleet has just broken this node. */
  broken(node: modelFleet.ModelNode): void
}

/**
 * Random choice among targets whose health looks good, an unbounded queue at the target, no shedding,
 * and up to 3 attempts of every call, each with the same share of the deadline.
 */
export class BaselinePolicy implements IPolicy {
  private readonly _options: PolicyOptions
  private readonly _connections = new connections.Connections(CONNECTION_MS)
  private readonly _unhealthy = new Set<modelFleet.ModelNode>()

  private readonly _queues = new Map<modelFleet.ModelNode, slotQueue.SlotQueue>()
  private readonly _attemptTimeoutMs: number

  constructor (options: PolicyOptions, isPatient: boolean) {
    this._options = options
    this._attemptTimeoutMs = options.institution.deadlineMs / (isPatient ? 1 : MOST_ATTEMPTS)
    for (const node of options.fleet.nodes) this._queues.set(node, new slotQueue.SlotQueue(options.events, node))
  }

  public submit (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void {
    this._attempt(call, entry, reply, 1)
  }

  public broken (node: modelFleet.ModelNode): void {
    if (node.isDead) this._options.events.after(HEALTH_DELAY_MS, () => { this._unhealthy.add(node) })
  }

  private _attempt (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void, attempt: number): void {
    const { events, fleet } = this._options
    const target = this._choose(call.service)
    let isOver = false
    const end = (status: number): void => {
      if (isOver) return
      isOver = true
      if (status === 200) reply('answered')
      else if (attempt < MOST_ATTEMPTS) this._attempt(call, entry, reply, attempt + 1)
      else reply(status === 0 ? 'unknown' : 'failed')
    }
    call.sends += 1
    events.after(this._attemptTimeoutMs, () => { end(0) })
    const delayMs = fleet.delayMs(entry, target)
    events.after(delayMs + this._connections.take(entry.nodeId, target.nodeId), () => {
      if (target.isDead) {
        events.after(delayMs, () => { end(0) })
        return
      }
      this._queues.get(target)?.offer({
        onStart: () => { call.runs += 1 },
        onEnd: status => {
          this._connections.release(entry.nodeId, target.nodeId)
          events.after(delayMs, () => { end(status) })
        }
      })
    })
  }

  private _choose (service: types.BenchService): modelFleet.ModelNode {
    const targets = this._options.fleet.of(service).filter(node => !this._unhealthy.has(node))
    const chosen = targets[this._options.random.nextInt(targets.length)]
    if (chosen === undefined) throw new Error(`Service ${service.name} has no target; give it at least two workers.`)
    return chosen
  }
}
