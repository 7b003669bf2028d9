import * as random from '@elmpost/common/base/Random.js'
import * as rulesDistribution from '../RulesDistribution.js'
import * as storeEra from '@elmpost/common/direct/StoreEra.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import type * as base from '@elmpost/common/base/Types.js'
import type * as linkCodec from '../LinkCodec.js'
import type * as services from '../Services.js'
import type * as types from '../Types.js'

/** Step of the virtual clock. */
const STEP_MS = 10
const TICK_MS = 100
/** Interval of the reports of a node to those that have a link to it. */
const STATUS_MS = 1_000
const LINK_MS = 5
const STORE_MS = 10
/** A link on which nothing is received counts as lost after this time. */
const SILENCE_MS = 2_600
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }
const TOPIC = 'config'

/** Store that all nodes reach, except those that are cut off from it. */
class VirtualStore {
  public version = 1
  public calls = 0
  public answerMs = STORE_MS
  /** Polls that wait for the next version. */
  public readonly waiting = new Set<() => void>()

  public accept (version: number): void {
    this.version = version
    for (const wake of [...this.waiting]) wake()
  }
}

/** The store as one node reaches it. */
class StoreLink implements services.IKeyedStore {
  public readonly era = new storeEra.StoreEra()

  constructor (private readonly _store: VirtualStore, private readonly _node: VirtualRulesNode) {}

  public async newest (_topic: string, timeoutMs: base.Millis): Promise<types.NewestResult> {
    this._store.calls += 1
    if (await this._isLost(timeoutMs)) return { kind: 'unavailable', problem: 'timeout' }
    return this._records(this._store.version)
  }

  public async read (_topic: string, fromOffset: number, waitMs: base.Millis, timeoutMs: base.Millis): Promise<types.ReadResult> {
    this._store.calls += 1
    if (this._store.version < fromOffset && !this._node.isWithoutStore) await this._nextVersion(waitMs)
    if (await this._isLost(timeoutMs - waitMs)) return { kind: 'unavailable', problem: 'timeout' }
    return this._store.version < fromOffset ? { kind: 'records', records: [], nextOffset: fromOffset } : this._records(this._store.version)
  }

  public put (): Promise<types.PutResult> {
    return Promise.resolve({ kind: 'written' })
  }

  public dispose (): void {}

  private _records (version: number): types.NewestResult {
    return { kind: 'records', records: [{ key: TOPIC, value: Buffer.from(String(version)) }], nextOffset: version + 1 }
  }

  private async _isLost (timeoutMs: base.Millis): Promise<boolean> {
    const isLost = (): boolean => this._node.isWithoutStore || this._store.answerMs > timeoutMs
    await sleep(isLost() ? timeoutMs : this._store.answerMs)
    return isLost()
  }

  private _nextVersion (waitMs: base.Millis): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        this._store.waiting.delete(wake)
        resolve()
      }
      this._store.waiting.add(wake)
      setTimeout(wake, waitMs)
    })
  }
}

/** A node that distributes configurations, without calls and without a network. */
export class VirtualRulesNode {
  public version = 0
  public enforcedAtMs = -Infinity
  public isWithoutStore = false
  /** Whether messages to and from other nodes are lost. */
  public isWithoutLinks = false
  public isFrozen = false
  public readonly table = new targetTable.TargetTable()
  public readonly rules: rulesDistribution.RulesDistribution
  private readonly _heardAtMs = new Map<base.NodeId, base.Millis>()

  constructor (public readonly nodeId: base.NodeId, public readonly zone: string, private readonly _fleet: RulesFleet, at: number, store: VirtualStore) {
    this.rules = new rulesDistribution.RulesDistribution({
      selfId: nodeId,
      zone,
      isFirstStart: false,
      table: this.table,
      store: new StoreLink(store, this),
      format: { topic: TOPIC, key: TOPIC, decode: bytes => ({ version: Number(bytes.toString()), routes: [], services: [], limits: { maxBodyBytes: 0, idleTimeoutMs: 0 } }) },
      random: new random.Random(at + 1),
      logger: { isEnabled: () => false, log: () => {} },
      nowMs: () => _fleet.nowMs,
      isFleetKnown: () => true,
      version: () => this.version,
      enforce: stored => { this._enforce(stored) },
      send: (to, message) => { this._fleet.deliver(this, to, message) },
      broadcast: (message, only) => { this._fleet.broadcast(this, message, only) }
    })
  }

  public get isInTouch (): boolean {
    return !this.isWithoutStore && !this.isWithoutLinks && !this.isFrozen
  }

  public receive (from: base.NodeId, message: linkCodec.LinkMessage): void {
    this._heardAtMs.set(from, this._fleet.nowMs)
    if (!this.isFrozen) this.table.setConnected(from, true)
    if (message.kind === 'status') this.rules.handleStatus(from, message.status)
    else if (message.kind === 'alive') this.rules.handleAlive(from, message)
    else if (message.kind === 'rules-request') this.rules.handleRequest(reply => { this._fleet.deliver(this, from, reply) })
    else if (message.kind === 'rules') this.rules.handleRules(from, message.bytes)
  }

  public tick (): void {
    if (this.isFrozen) return
    this.rules.tick()
    for (const [nodeId, heardAtMs] of this._heardAtMs) if (this._fleet.nowMs - heardAtMs > SILENCE_MS) this.table.setConnected(nodeId, false)
  }

  public report (): void {
    const { storeAgeMs, confirmedAgeMs } = this.rules
    const status = { state: 'ready', load: LOAD, version: this.version, storeAgeMs, fleetStoreAgeMs: confirmedAgeMs } as const
    if (this.isFrozen) return
    this.rules.handleStatus(this.nodeId, status)
    this._fleet.broadcast(this, { kind: 'status', status })
  }

  private _enforce (stored: types.StoredRules): void {
    if (stored.rules.version <= this.version) return
    this.version = stored.rules.version
    this.enforcedAtMs = this._fleet.nowMs
    this.rules.setCurrent(stored.bytes)
    this.report()
  }
}

/** Nodes that get configurations from a store and from each other, in virtual time. Uses the mock timers of the test runner. */
export class RulesFleet {
  public nowMs = 0
  /** Reports of the newest version that nodes have sent to each other. */
  public reports = 0
  public readonly store = new VirtualStore()
  public readonly nodes: VirtualRulesNode[] = []
  private readonly _zones: readonly string[]

  constructor (nodeCount: number, zones: readonly string[]) {
    this._zones = zones
    test.mock.timers.enable({ apis: ['setTimeout'] })
    for (let at = 0; at < nodeCount; at++) this.nodes.push(new VirtualRulesNode(idOf(at), this._zoneOf(at), this, at, this.store))
    for (const node of this.nodes) {
      for (let at = 0; at < nodeCount; at++) {
        node.table.put(idOf(at), this._zoneOf(at), 'till')
        node.table.setConnected(idOf(at), true)
      }
      node.rules.start()
    }
  }

  /** Nodes that read the store for the fleet, best first, and then the others that may. */
  public get candidates (): readonly VirtualRulesNode[] {
    const ids = this.nodes[0]?.rules.readers.candidates ?? []
    return ids.flatMap(nodeId => this.nodes.find(node => node.nodeId === nodeId) ?? [])
  }

  public async run (durationMs: base.Millis): Promise<void> {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS
      test.mock.timers.tick(STEP_MS)
      this.nodes.forEach((node, at) => {
        const phaseMs = at * 3 * STEP_MS
        if ((this.nowMs + phaseMs) % TICK_MS === 0) node.tick()
        if ((this.nowMs + phaseMs) % STATUS_MS === 0) node.report()
      })
      await timers.setImmediate()
    }
  }

  public deliver (from: VirtualRulesNode, to: base.NodeId, message: linkCodec.LinkMessage): void {
    const receiver = this.nodes.find(({ nodeId }) => nodeId === to)
    if (receiver === undefined || receiver === from || from.isWithoutLinks || from.isFrozen) return
    setTimeout(() => { if (!receiver.isWithoutLinks && !receiver.isFrozen) receiver.receive(from.nodeId, message) }, LINK_MS)
  }

  /** Reaches the nodes that have a link to the sender: only those that are required, as in a large fleet. */
  public broadcast (from: VirtualRulesNode, message: linkCodec.LinkMessage, only?: string): void {
    for (const { nodeId, zone, rules } of this.nodes) {
      if (!rules.readers.requiredPeers.includes(from.nodeId) || (only !== undefined && zone !== only)) continue
      if (message.kind === 'alive') this.reports += 1
      this.deliver(from, nodeId, message)
    }
  }

  public dispose (): void {
    for (const { rules } of this.nodes) rules.dispose()
    test.mock.timers.reset()
  }

  private _zoneOf (at: number): string {
    return this._zones[at % this._zones.length] ?? ''
  }
}

function idOf (at: number): base.NodeId {
  return `n${String(at).padStart(3, '0')}`
}

function sleep (durationMs: base.Millis): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, durationMs) })
}
