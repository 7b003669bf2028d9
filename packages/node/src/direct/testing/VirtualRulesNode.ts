import * as linkCodec from '../LinkCodec.js'
import * as linkDelays from '@elmpost/common/direct/LinkDelay.js'
import * as random from '@elmpost/common/base/Random.js'
import * as rulesDistribution from '../RulesDistribution.js'
import * as stallWatch from '@elmpost/common/direct/StallWatch.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as virtualStore from './VirtualStore.js'
import type * as base from '@elmpost/common/base/Types.js'

/** A link on which nothing is received counts as lost after this time. */
const SILENCE_MS = 2_600
const RECONNECT_MS = 500
/** As on a real link. */
const MAX_ROUND_TRIP_MS = 100
const PING_INTERVAL_MS = 1_000
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }

/** How a node answers a request for its configuration. */
export type CopyMode = 'whole' | 'none' | 'damaged' | 'older'

/** What connects the virtual nodes. */
export interface IVirtualLinks {
  readonly nowMs: base.Millis
  deliver(from: VirtualRulesNode, to: base.NodeId, message: linkCodec.LinkMessage): void
  broadcast(from: VirtualRulesNode, message: linkCodec.LinkMessage, zone?: string): void
  /** Calls back when the answer of the other process has arrived. */
  ping(from: VirtualRulesNode, to: base.NodeId, onAnswer: () => void): void
  record(node: VirtualRulesNode, event: string): void
}

/** A node that distributes configurations, without calls and without a network. */
export class VirtualRulesNode implements virtualStore.IStoreAccess {
  public version = 0
  /** When each version, or a newer one, came into force. */
  public readonly enforcedAtMs = new Map<number, base.Millis>()
  public isWithoutStore = false
  /** Whether messages to and from other nodes are lost. */
  public isWithoutLinks = false
  public heldUntilMs = 0
  public lagMs = 0
  public hasEnded = false
  public copyMode: CopyMode = 'whole'
  /** Time that the clock of this process does not count, because its VM was suspended. */
  public suspendedMs = 0
  public readonly table = new targetTable.TargetTable()
  public readonly rules: rulesDistribution.RulesDistribution
  private readonly _stalls: stallWatch.StallWatch
  private readonly _heardAtMs = new Map<base.NodeId, base.Millis>()
  private readonly _delays = new Map<base.NodeId, linkDelays.LinkDelay>()
  private readonly _pingedAtMs = new Map<base.NodeId, base.Millis>()
  private readonly _triedAtMs = new Map<base.NodeId, base.Millis>()

  constructor (public readonly nodeId: base.NodeId, public readonly zone: string, seed: number, private readonly _links: IVirtualLinks, store: virtualStore.VirtualStore) {
    this._stalls = new stallWatch.StallWatch({ nowMs: () => this.nowMs, timeOfDayMs: () => _links.nowMs })
    this.rules = new rulesDistribution.RulesDistribution({
      selfId: nodeId,
      zone,
      isFirstStart: false,
      table: this.table,
      store: new virtualStore.StoreLink(store, this),
      format: { topic: virtualStore.TOPIC, key: virtualStore.TOPIC, decode: bytes => decode(bytes) },
      random: new random.Random(seed),
      logger: { isEnabled: () => true, log: (_level, message, fields) => { _links.record(this, `${message} ${JSON.stringify(fields ?? {})}`) } },
      nowMs: () => this.nowMs + this._stalls.uncountedMs,
      isFleetKnown: () => true,
      version: () => this.version,
      enforce: (stored, source) => { this._enforce(stored.rules.version, stored.bytes, source) },
      send: (to, message) => {
        if (message.kind === 'rules-request') _links.record(this, `requests the configuration from ${to}`)
        _links.deliver(this, to, message)
      },
      broadcast: (message, only) => { _links.broadcast(this, message, only) }
    })
  }

  /** The monotonic clock of this process. */
  public get nowMs (): base.Millis {
    return this._links.nowMs - this.suspendedMs
  }

  public get isFrozen (): boolean {
    return this.heldUntilMs > this._links.nowMs
  }

  /** Stops the process for good, or lets it run again. */
  public set isFrozen (isFrozen: boolean) {
    this.heldUntilMs = isFrozen ? Infinity : 0
  }

  public get isInTouch (): boolean {
    return !this.isWithoutStore && !this.isWithoutLinks && !this.isFrozen && !this.hasEnded
  }

  public receive (from: base.NodeId, message: linkCodec.LinkMessage): void {
    if (message.kind === 'hello') {
      this._handleHello(from, message)
      return
    }
    if (message.kind === 'rules-request') {
      this._answerRequest(from)
      return
    }
    this._heardAtMs.set(from, this.nowMs)
    // Messages on a connection that was given up are not read, except results of calls.
    if (this.table.get(from)?.isConnected !== true) return
    if (message.kind === 'status') this.rules.handleStatus(from, message.status)
    else if (message.kind === 'alive') this.rules.handleAlive(from, linkCodec.older(message, this._delayOf(from).measureMost(message.sentAtMs ?? 0) + this._stalls.suspectedMs))
    else if (message.kind === 'rules') this.rules.handleRules(from, message.bytes)
  }

  /** Does the periodic work. */
  public tick (): void {
    this._stalls.tick()
    this.rules.tick()
    const { requiredPeers } = this.rules.readers
    for (const [nodeId, heardAtMs] of this._heardAtMs) if (requiredPeers.includes(nodeId) && this.nowMs - heardAtMs > SILENCE_MS) this.lose(nodeId)
    for (const nodeId of requiredPeers) {
      if (nodeId === this.nodeId) continue
      if (this.table.get(nodeId)?.isConnected === true) this._pingIfSlow(nodeId)
      else this._reconnect(nodeId)
    }
  }

  /** The connection to another node has ended. */
  public lose (nodeId: base.NodeId): void {
    if (this.table.get(nodeId)?.isConnected !== true) return
    this.table.setConnected(nodeId, false)
    this._links.record(this, `lost ${nodeId}`)
    this._delays.delete(nodeId)
  }

  /** Reports the status, as each second and when a version has come into force. */
  public report (): void {
    const { storeAgeMs, confirmedAgeMs } = this.rules
    const status = { state: 'ready', load: LOAD, version: this.version, storeAgeMs, fleetStoreAgeMs: confirmedAgeMs } as const
    this.rules.handleStatus(this.nodeId, status)
    this._links.broadcast(this, { kind: 'status', status })
  }

  /** Whether the version was in force in time. */
  public hasEnforced (version: number, byMs: base.Millis): boolean {
    return (this.enforcedAtMs.get(version) ?? Infinity) <= byMs
  }

  private _delayOf (from: base.NodeId): linkDelays.LinkDelay {
    let delay = this._delays.get(from)
    if (delay === undefined) {
      delay = new linkDelays.LinkDelay(() => this.nowMs)
      this._delays.set(from, delay)
    }
    return delay
  }

  private _pingIfSlow (nodeId: base.NodeId): void {
    if (this._delayOf(nodeId).roundTripMs <= MAX_ROUND_TRIP_MS || this.nowMs - (this._pingedAtMs.get(nodeId) ?? -Infinity) < PING_INTERVAL_MS) return
    const pingedAtMs = this.nowMs
    this._pingedAtMs.set(nodeId, pingedAtMs)
    this._links.ping(this, nodeId, () => { this._delayOf(nodeId).recordRoundTrip(this.nowMs - pingedAtMs) })
  }

  private _reconnect (nodeId: base.NodeId): void {
    if (this.nowMs - (this._triedAtMs.get(nodeId) ?? -Infinity) < RECONNECT_MS) return
    this._triedAtMs.set(nodeId, this.nowMs)
    this._links.deliver(this, nodeId, this._hello(false))
  }

  private _handleHello (from: base.NodeId, hello: linkCodec.HelloMessage): void {
    const isReply = hello.linkMbps > 0
    this._heardAtMs.set(from, this.nowMs)
    this.table.setConnected(from, true)
    if (isReply) {
      this._delays.delete(from)
      this._delayOf(from).recordRoundTrip(this.nowMs - (this._triedAtMs.get(from) ?? -Infinity))
    }
    this.rules.handleHello(hello)
    if (isReply) return
    const { storeAgeMs, confirmedAgeMs } = this.rules
    this._links.deliver(this, from, this._hello(true))
    this._links.deliver(this, from, { kind: 'status', status: { state: 'ready', load: LOAD, version: this.version, storeAgeMs, fleetStoreAgeMs: confirmedAgeMs } })
    this._links.deliver(this, from, this.rules.report)
  }

  /** `linkMbps` tells a greeting (0) from the reply to one. */
  private _hello (isReply: boolean): linkCodec.HelloMessage {
    return { kind: 'hello', nodeId: this.nodeId, zone: this.zone, service: 'till', version: this.version, linkMbps: isReply ? 1 : 0 }
  }

  private _answerRequest (from: base.NodeId): void {
    if (this.copyMode === 'whole') this.rules.handleRequest(reply => { this._links.deliver(this, from, reply) })
    else if (this.copyMode === 'damaged') this._links.deliver(this, from, { kind: 'rules', bytes: Buffer.from('damaged') })
    else if (this.copyMode === 'older') this._links.deliver(this, from, { kind: 'rules', bytes: Buffer.from(String(this.version - 1)) })
  }

  private _enforce (version: number, bytes: Uint8Array, source: string): void {
    if (version <= this.version) return
    for (let reached = this.version + 1; reached <= version; reached++) this.enforcedAtMs.set(reached, this._links.nowMs)
    this.version = version
    this._links.record(this, `enforces version ${version} from ${source}`)
    this.rules.setCurrent(bytes)
    this.report()
  }
}

function decode (bytes: Uint8Array): { version: number, routes: never[], services: never[], limits: { maxBodyBytes: number, idleTimeoutMs: number } } | Error {
  const version = Number(Buffer.from(bytes).toString())
  return Number.isInteger(version) ? { version, routes: [], services: [], limits: { maxBodyBytes: 0, idleTimeoutMs: 0 } } : new Error('damaged')
}
