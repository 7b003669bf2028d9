import * as timers from 'node:timers/promises'
import type * as faultPlan from './FaultPlan.js'
import type * as soakNode from './SoakNode.js'

/** Load while most nodes are restarted, as a multiple, and for how long. */
const HERD_LOAD = 2
const HERD_LOAD_MS = 4_000
/** Share of the nodes that are killed together. */
const HERD_SHARE = 0.7
/** Time after the begin of a fault at which a version is published. */
const PUBLISH_AFTER_MS = 150
/** Starved processes are stopped and continued in turns of this length. */
const STARVE_TURN_MS = 50

export interface FleetFaultsOptions {
  readonly nodes: readonly soakNode.SoakNode[]
  /** Whether another fault has paused the node. */
  readonly isPaused: (node: soakNode.SoakNode) => boolean
  readonly killNode: (node: soakNode.SoakNode) => Promise<void>
  readonly cutStore: (node: soakNode.SoakNode, durationMs: number) => Promise<void>
  /** Publishes a configuration. */
  readonly publish: () => void
}

/** Injects faults of many nodes at once. */
export class FleetFaults {
  /** Load of the fleet, as a multiple of the usual one. */
  public load = 1
  private readonly _options: FleetFaultsOptions

  constructor (options: FleetFaultsOptions) {
    this._options = options
  }

  public async inject (kind: faultPlan.FleetKind, first: number, durationMs: number): Promise<void> {
    switch (kind) {
      case 'starve': return await this._starve(durationMs)
      case 'readers-lose-store': return await this._cutStore(first, durationMs)
      case 'herd-restart': return await this._restartHerd(first)
    }
  }

  /** Gives all processes half of the processor, in short turns, so that no timer of a process is late by much. */
  private async _starve (durationMs: number): Promise<void> {
    const { nodes, isPaused } = this._options
    const endAtMs = performance.now() + durationMs
    for (let turn = 0; performance.now() < endAtMs; turn++) {
      nodes.forEach((node, at) => { if (!isPaused(node)) node.signal((at + turn) % 2 === 0 ? 'SIGSTOP' : 'SIGCONT') })
      await timers.setTimeout(STARVE_TURN_MS)
    }
    for (const node of nodes) if (!isPaused(node)) node.signal('SIGCONT')
  }

  /** Cuts half of the nodes off from the store, but not from each other. */
  private async _cutStore (first: number, durationMs: number): Promise<void> {
    const { nodes, cutStore } = this._options
    await Promise.all([...this._nodesFrom(first, Math.ceil(nodes.length / 2)).map(async node => { await cutStore(node, durationMs) }), this._publishSoon()])
  }

  /** Kills most nodes together under more load. */
  private async _restartHerd (first: number): Promise<void> {
    const { nodes, killNode } = this._options
    this.load = HERD_LOAD
    await Promise.all([...this._nodesFrom(first, Math.floor(nodes.length * HERD_SHARE)).map(killNode), this._publishSoon()])
    await timers.setTimeout(HERD_LOAD_MS)
    this.load = 1
  }

  private async _publishSoon (): Promise<void> {
    await timers.setTimeout(PUBLISH_AFTER_MS)
    this._options.publish()
  }

  private _nodesFrom (first: number, count: number): readonly soakNode.SoakNode[] {
    const { nodes } = this._options
    return [...nodes.slice(first), ...nodes.slice(0, first)].slice(0, count)
  }
}
