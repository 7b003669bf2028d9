import * as documents from '@elmpost/platform/standins/Documents.js'
import * as rolloutFormat from '@elmpost/platform/RolloutFormat.js'
import * as rolloutLedger from './RolloutLedger.js'
import * as rulesFormat from '@elmpost/platform/RulesFormat.js'
import * as timers from 'node:timers/promises'
import type * as soakNode from './SoakNode.js'
import type * as storeStandIn from '@elmpost/platform/standins/StoreStandIn.js'

const OLD_VERSION = 'v1'
const NEW_VERSION = 'v2'
const ORDER_AFTER_MS = 500
const RAMP_MS = 8_000
const POLL_MS = 20
/** Of each three seeds in turn, which each have another setting of the targets, the third three have a roll-out. */
const SEEDS_IN_TURN = 3
const TURN_WITH_ROLLOUT = 2

/** A roll-out of a service during a soak. The targets of the new version are beside nodes of their own. */
export class SoakRollout {
  private readonly _isOn: boolean
  private readonly _ledger = new rolloutLedger.RolloutLedger()
  private readonly _format = new rolloutFormat.RolloutFormat()
  private _isOpen = false

  constructor (seed: number, private readonly _service: string, private readonly _store: storeStandIn.StoreStandIn) {
    this._isOn = Math.floor(seed / SEEDS_IN_TURN) % SEEDS_IN_TURN === TURN_WITH_ROLLOUT
  }

  /** Nodes whose targets are of the new version: as many as have old ones. */
  public countAdded (nodeCount: number): number {
    return this._isOn ? Math.ceil(nodeCount / 2) : 0
  }

  /** Makes the target of the node one of the new version, which announces itself from the order on. */
  public prepare (node: soakNode.SoakNode): void {
    node.target.softwareVersion = NEW_VERSION
    node.holdTarget()
  }

  /** Orders the roll-out and records when it ends. */
  public async run (nodes: readonly soakNode.SoakNode[], isLoading: () => boolean): Promise<void> {
    if (!this._isOn) return
    await timers.setTimeout(ORDER_AFTER_MS)
    this._isOpen = true
    this.orderAgain()
    for (const node of nodes) if (node.target.softwareVersion === NEW_VERSION) node.releaseTarget()
    for (; isLoading() && this._isOpen; await timers.setTimeout(POLL_MS)) this._readStatus()
  }

  /** Writes the order if the store does not have it. */
  public orderAgain (): void {
    const key = this._format.keyOf(this._service)
    const { topic } = new rulesFormat.RulesFormat()
    if (this._isOpen && !this._store.values(topic).has(key)) this._store.put(topic, key, JSON.stringify(documents.rolloutOrder(this._service, NEW_VERSION, RAMP_MS)))
  }

  public check (calls: readonly rolloutLedger.RolloutCall[], nodes: readonly soakNode.SoakNode[]): string[] {
    return this._ledger.check(calls, nodes.filter(({ service, target }) => service === this._service && target.softwareVersion === OLD_VERSION).flatMap(({ target }) => target.runs))
  }

  private _readStatus (): void {
    const value = this._store.values(this._format.statusTopic).get(this._format.keyOf(this._service))
    const status = value === undefined ? undefined : this._format.decodeStatus(Buffer.from(value))
    if (status === undefined || status instanceof Error || status.state === 'running') return
    this._isOpen = false
    if (status.state === 'completed') this._ledger.recordCompleted(performance.now())
  }
}
