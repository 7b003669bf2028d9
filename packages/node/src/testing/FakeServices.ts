/** In-memory services for tests of the node process. Tests set the members, the configuration and the ownership of keys. */
import * as crashTable from '@elmpost/common/hosting/CrashTable.js'
import * as effectQueue from '@elmpost/common/node/EffectQueue.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as entryCalls from '@elmpost/common/routing/EntryCalls.js'
import * as hostCalls from '@elmpost/common/hosting/HostCalls.js'
import * as keys from '@elmpost/common/hosting/Keys.js'
import * as ownershipTable from '@elmpost/common/hosting/OwnershipTable.js'
import * as random from '@elmpost/common/base/Random.js'
import * as results from 'ts-results-es'
import * as targetSelector from '@elmpost/common/routing/TargetSelector.js'
import * as windowCodec from '@elmpost/common/hosting/WindowCodec.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as distribution from '@elmpost/common/distribution/Types.js'
import type * as distributionServices from '@elmpost/common/distribution/Services.js'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as hostingServices from '@elmpost/common/hosting/Services.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as membershipServices from '@elmpost/common/membership/Services.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as types from '../Types.js'
import * as testDocuments from '@elmpost/common/config/TestDocuments.js'

const HORIZON_MS = 3_600_000
/** Age of the process. It exceeds 2 s, because keys issued up to 2 s after a process starts belong to its predecessor. */
const PROCESS_AGE_MS = 60_000

export const SERVICE = 'till'

export const DOCUMENT: config.ConfigDocument = {
  institution: 'kartuli',
  services: [{ name: SERVICE, slots: 2, connections: 8, coldStartMs: 0 }],
  targets: [{ service: SERVICE, zones: ['vake'] }],
  routes: [
    { name: 'price', match: { method: 'GET', pathPrefix: '/price' }, service: SERVICE, idempotent: true, timeoutMs: 5000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 2000, maxBodyBytes: 65_536 } },
    { name: 'quick', match: { method: 'GET', pathPrefix: '/quick' }, service: SERVICE, idempotent: true, timeoutMs: 5000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 50, maxBodyBytes: 0 } },
    { name: 'charge', match: { method: 'POST', pathPrefix: '/charge' }, service: SERVICE, idempotent: false, timeoutMs: 5000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 2000, maxBodyBytes: 65_536 } }
  ],
  terms: { ...testDocuments.TEST_TERMS, zonePreference: 'any' }
}

/** Membership with the rows that tests add, without failure detection. */
export class FakeMembership implements membershipServices.IMembership {
  public readonly lostConnections: base.NodeId[] = []
  public readonly received: messages.MembershipMessage[] = []
  /** Enforced versions that peers reported in heartbeats. */
  public readonly versions = new Map<base.NodeId, number>()
  public readonly onPeerVersion = new emitter.Emitter<membership.PeerVersion>().event
  public readonly recordedSelfVersion = 0
  public readonly isJoined = true
  public readonly isSettled = true
  private readonly _changes = new emitter.Emitter<membership.MemberChange>()
  private readonly _rows = new Map<base.NodeId, membership.MemberRow>()

  constructor (private readonly _selfId: base.NodeId) {}

  public get onChange (): base.IEvent<membership.MemberChange> {
    return this._changes.event
  }

  public get self (): membership.MemberRow {
    const row = this._rows.get(this._selfId)
    if (row === undefined) throw new Error('The row of the node itself is missing; add it with put() first.')
    return row
  }

  public put (current: membership.MemberRow): void {
    const previous = this._rows.get(current.nodeId)
    this._rows.set(current.nodeId, current)
    this._changes.fire({ previous, current, forgotten: false })
  }

  public get (nodeId: base.NodeId): membership.MemberRow | undefined {
    return this._rows.get(nodeId)
  }

  public all (): Iterable<membership.MemberRow> {
    return this._rows.values()
  }

  public versionOf (nodeId: base.NodeId): number {
    return this.versions.get(nodeId) ?? 0
  }

  public targetsOf (service: string): readonly membership.MemberRow[] {
    return [...this._rows.values()].filter(row => row.service === service && row.state === 'ready' && row.targetReady)
  }

  public liveInZone (zone: string): readonly membership.MemberRow[] {
    return [...this._rows.values()].filter(row => row.zone === zone)
  }

  public liveIdsInZone (zone: string): readonly base.NodeId[] {
    return this.liveInZone(zone).map(row => row.nodeId)
  }

  public get size (): number {
    return this._rows.size
  }

  public zones (): readonly string[] {
    return [...new Set([...this._rows.values()].map(row => row.zone))]
  }

  public randomPeer (): undefined {}

  public announce (change: Partial<membership.MemberRow>): void {
    this.put({ ...this.self, ...change })
  }

  public setState (state: 'ready' | 'draining' | 'left'): void {
    this.put({ ...this.self, state })
  }

  public handleConnectionLost (nodeId: base.NodeId): void {
    this.lostConnections.push(nodeId)
  }

  public tick (): void {}

  public receive (_from: base.NodeId, message: messages.MembershipMessage): void {
    this.received.push(message)
  }
}

class FakeEnforcement implements distributionServices.IEnforcement {
  private readonly _enforced = new emitter.Emitter<distribution.VersionEnforced>()
  public readonly onEnforced = this._enforced.event
  public readonly floorVersion = 0
  public current: config.AcceptedState | undefined

  public raiseFloor (): void {}

  public enforce (state: config.AcceptedState, nowMs: base.Millis): boolean {
    this.current = state
    this._enforced.fire({ version: state.version, digest: state.digest, atMs: nowMs })
    return true
  }
}

class FakeDistribution implements distributionServices.IDistribution {
  public readonly isReader = false
  public tick (): void {}
  public receive (): void {}
  public logRead (): void {}
  public logAppended (): void {}
  public readiness (): distribution.Readiness {
    return { ready: true, reason: 'ready', floorVersion: 1, enforcedVersion: 1 }
  }
}

class FakeLifecycle implements hostingServices.ILifecycle {
  public isDraining = false

  constructor (private readonly _host: hostingServices.IHostCalls) {}

  public beginDrain (nowMs: base.Millis): readonly hosting.HostUpdate[] {
    this.isDraining = true
    return this._host.beginDrain(nowMs)
  }

  public beginStop (nowMs: base.Millis): readonly hosting.HostUpdate[] {
    return this.beginDrain(nowMs)
  }

  public undrain (): results.Result<void, Error> {
    this.isDraining = false
    this._host.endDrain()
    return new results.Ok(undefined)
  }

  public canExit (): boolean {
    return this.isDraining && this._host.isIdle
  }

  public receive (): void {}
  public logAppended (): void {}
  public tick (): void {}
}

class FakeOwnershipLog implements hostingServices.IOwnershipLog {
  public readonly isCaughtUp = true
  public tick (): void {}
  public logRead (): void {}
  public logAppended (): void {}
}

/** Services of a node with the real call path, and fakes for membership, distribution, lifecycle and the ownership log. */
export class FakeServices implements nodeServices.NodeServices {
  public readonly effects = new effectQueue.EffectQueue()
  public readonly membership: FakeMembership
  public readonly enforcement = new FakeEnforcement()
  public readonly distribution = new FakeDistribution()
  public readonly ownershipTable = new ownershipTable.OwnershipTable()
  public readonly ownershipLog = new FakeOwnershipLog()
  public readonly crashTable = new crashTable.CrashTable()
  public readonly host: hostCalls.HostCalls
  public readonly entry: entryCalls.EntryCalls
  public readonly lifecycle: FakeLifecycle

  constructor (settings: types.NodeSettings, nowMs: base.Millis) {
    const { membership, enforcement, ownershipTable, crashTable } = this._addSelf(settings, nowMs)
    this.membership = membership
    const self = { nodeId: settings.nodeId, incarnation: membership.self.incarnation }
    this.host = new hostCalls.HostCalls({
      self,
      currentIncarnation: () => membership.self.incarnation,
      service: settings.service,
      startedAtMs: self.incarnation,
      configuration: () => enforcement.current?.document,
      targetReady: () => membership.self.targetReady,
      table: ownershipTable,
      isCaughtUp: () => true,
      crashes: crashTable,
      delegates: { select: () => undefined, recordEnd: () => {} }
    })
    const selector = new targetSelector.TargetSelector({ membership, enforcement, random: new random.Random(1) })
    this.entry = new entryCalls.EntryCalls({ membership, enforcement, ownership: ownershipTable, selector, crashes: crashTable, random: new random.Random(2) })
    this.lifecycle = new FakeLifecycle(this.host)
  }

  /** Makes one node the owner of every key. */
  public setOwner (owner: hosting.PartitionOwner, nowMs: base.Millis): void {
    const entries = Array.from({ length: keys.PARTITIONS }, (_, partition) => ({ service: SERVICE, partition, startsAtMs: 0, owner }))
    this.ownershipTable.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windowCodec.pack(entries) }, 0)
    this.ownershipTable.apply({ kind: 'horizon', untilMs: nowMs + HORIZON_MS }, 1)
  }

  private _addSelf (settings: types.NodeSettings, nowMs: base.Millis): Pick<FakeServices, 'membership' | 'enforcement' | 'ownershipTable' | 'crashTable'> {
    const membership = new FakeMembership(settings.nodeId)
    membership.put({
      nodeId: settings.nodeId,
      incarnation: nowMs - PROCESS_AGE_MS,
      state: 'ready',
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
      adminAddress: settings.adminAddress,
      zone: settings.zone,
      service: settings.service,
      targetReady: false,
      targetReadySinceMs: 0,
      enforcedVersion: 1,
      revision: 0,
      successor: ''
    })
    return { membership, enforcement: this.enforcement, ownershipTable: this.ownershipTable, crashTable: this.crashTable }
  }
}
