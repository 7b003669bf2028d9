import type * as base from '@elmpost/common/base/Types.js'
import * as connections from './Connections.js'
import type * as eventQueue from './EventQueue.js'
import type * as modelFleet from './ModelFleet.js'
import * as slotQueue from './SlotQueue.js'
import type * as types from './Types.js'

const MAX_ATTEMPTS = 3

/** Time after which health checks exclude a dead target from the selection. */
const HEALTH_CHECK_DELAY_MS = 3_000

const CONNECT_MS = 1

export interface PolicyOptions {
  readonly events: eventQueue.EventQueue
  readonly fleet: modelFleet.ModelFleet
  readonly institution: types.BenchInstitution
  readonly random: base.IRandom
}

/** Handles calls at entry nodes. */
export interface IPolicy {
  submit(call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void
  /** Called when a fault has been injected into the node. */
  handleFault(node: modelFleet.ModelNode): void
}

/**
 * Selects targets at random among those that health checks consider alive, with an unbounded queue at the target,
 * no load shedding and up to 3 attempts per call, each with an equal share of the deadline.
 */
export class BaselinePolicy implements IPolicy {
  private readonly _options: PolicyOptions
  private readonly _connections = new connections.Connections(CONNECT_MS)
  private readonly _unhealthy = new Set<modelFleet.ModelNode>()

  private readonly _queues = new Map<modelFleet.ModelNode, slotQueue.SlotQueue>()
  private readonly _attemptTimeoutMs: number

  constructor (options: PolicyOptions, usesWholeDeadline: boolean) {
    this._options = options
    this._attemptTimeoutMs = options.institution.deadlineMs / (usesWholeDeadline ? 1 : MAX_ATTEMPTS)
    for (const node of options.fleet.nodes) this._queues.set(node, new slotQueue.SlotQueue(options.events, node))
  }

  public submit (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void): void {
    this._attempt(call, entry, reply, 1)
  }

  public handleFault (node: modelFleet.ModelNode): void {
    if (node.isDead) this._options.events.after(HEALTH_CHECK_DELAY_MS, () => { this._unhealthy.add(node) })
  }

  private _attempt (call: types.ClientCall, entry: modelFleet.ModelNode, reply: (end: types.CallEnd) => void, attempt: number): void {
    const { events, fleet } = this._options
    const target = this._selectTarget(call.service)
    let hasEnded = false
    const end = (status: number): void => {
      if (hasEnded) return
      hasEnded = true
      if (status === 200) reply('answered')
      else if (attempt < MAX_ATTEMPTS) this._attempt(call, entry, reply, attempt + 1)
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

  private _selectTarget (service: types.BenchService): modelFleet.ModelNode {
    const targets = this._options.fleet.targetsOf(service).filter(node => !this._unhealthy.has(node))
    const chosen = targets[this._options.random.nextInt(targets.length)]
    if (chosen === undefined) throw new Error(`Service ${service.name} has no target; give it at least two workers.`)
    return chosen
  }
}
