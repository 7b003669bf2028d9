import * as emitter from '../base/Emitter.js'
import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as hosting from '../hosting/Services.js'
import type * as hostingTypes from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import * as crashRecipients from './CrashRecipients.js'
import * as detectors from './FailureDetector.js'
import * as tombstones from './Tombstones.js'
import * as gossips from './Gossip.js'
import * as limits from './GossipLimits.js'
import * as tableGrowths from './TableGrowth.js'
import * as malformed from './MalformedMessageError.js'
import * as tables from './MemberTable.js'
import * as messageRules from './MessageRules.js'
import * as rejoins from './RejoinProbe.js'
import * as hashes from './RowHash.js'
import * as rules from './RowRules.js'
import * as seeds from './SeedProbe.js'
import type * as services from './Services.js'
import * as repairs from './TableRepair.js'
import type * as types from './Types.js'
import * as wires from './WireRow.js'

type Versions = Pick<messages.ProbeMessage, 'version' | 'ownershipOffset'>

export interface MembershipOptions {
  readonly self: types.SelfAnnouncement
  /** Peer addresses from the settings. This node's own address is ignored. */
  readonly seeds: readonly string[]
  readonly random: base.IRandom
  readonly effects: messages.IEffects
  /** Members known at the start. If this node is among them, it starts from that row. */
  readonly table?: tables.MemberTable
  /** Terms of the configuration in force; read at each use. */
  readonly terms: () => config.DistributionTerms
  /** Offset of the ownership table in its stream, sent on heartbeats. */
  readonly ownership?: Pick<hosting.IOwnershipTable, 'asOfOffset'>
  readonly crashes?: Pick<hosting.ICrashTable, 'pending' | 'recordAll' | 'onRecorded'>
  /** Called for each malformed message, for the log and the metrics. */
  readonly onMalformed?: (error: malformed.MalformedMessageError) => void
}

/** SWIM-style membership: probes, suspicion, piggybacked updates and repair of the member table. */
export class Membership extends disposable.Disposable implements services.IMembership {
  public readonly onChange: base.IEvent<types.MemberChange>
  public readonly onPeerVersion: base.IEvent<types.PeerVersion>
  private readonly _options: MembershipOptions
  private readonly _table: tables.MemberTable
  private readonly _gossip = new gossips.Gossip(nodeId => this._table.get(nodeId))
  private readonly _detector: detectors.FailureDetector
  private readonly _repair: repairs.TableRepair
  private readonly _seedProbe: seeds.SeedProbe
  private readonly _rejoinProbe: rejoins.RejoinProbe
  private readonly _changes = this._register(new emitter.Emitter<types.MemberChange>())
  private readonly _versions = this._register(new emitter.Emitter<types.PeerVersion>())
  private readonly _departed = new tombstones.Tombstones()
  private readonly _growth = new tableGrowths.TableGrowth()
  private _self: types.MemberRow
  private _recordedSelfVersion = 0
  private _nowMs = 0
  /** Whether a large page of the table is being merged. */
  private _isBulk = false

  constructor (options: MembershipOptions) {
    super()
    this._options = options
    this._table = options.table ?? new tables.MemberTable()
    this.onChange = this._changes.event
    this.onPeerVersion = this._versions.event
    this._self = options.table?.get(options.self.nodeId) ?? { ...options.self, state: 'joining', revision: 0, successor: '' }
    this._detector = new detectors.FailureDetector({
      selfId: options.self.nodeId,
      host: this._detectorHost(),
      random: options.random,
      intervalMs: () => options.terms().gossipIntervalMs,
      isSettled: () => this.isSettled
    })
    this._repair = new repairs.TableRepair(this._table, options.random)
    this._seedProbe = new seeds.SeedProbe({
      seeds: options.seeds.filter(address => address !== options.self.peerAddress),
      random: options.random
    })
    this._rejoinProbe = new rejoins.RejoinProbe(options.random, this.onChange)
    if (options.crashes !== undefined) this._register(options.crashes.onRecorded(record => { this._sendCrash(record) }))
    this._table.merge(this._self)
    for (const row of this._table.all()) if (rules.isProbed(row) && row.nodeId !== this._self.nodeId) this._detector.add(row.nodeId, hashes.rowHash(row).bucketHash)
    this._gossip.add(this._self.nodeId, false)
  }

  public get self (): types.MemberRow {
    return this._self
  }

  public get recordedSelfVersion (): number {
    return this._recordedSelfVersion
  }

  public get size (): number {
    return this._table.size
  }

  public get isJoined (): boolean {
    return this._seedProbe.isJoined
  }

  public get isSettled (): boolean {
    return this.isJoined && this._growth.isSettled(this._nowMs)
  }

  public get (nodeId: base.NodeId): types.MemberRow | undefined {
    return this._table.get(nodeId)
  }

  public all (): Iterable<types.MemberRow> {
    return this._table.all()
  }

  public versionOf (nodeId: base.NodeId): number {
    return this._table.versionOf(nodeId)
  }

  public targetsOf (service: string): readonly types.MemberRow[] {
    return this._table.targetsOf(service)
  }

  public liveInZone (zone: string): readonly types.MemberRow[] {
    return this._table.liveInZone(zone)
  }

  public liveIdsInZone (zone: string): readonly base.NodeId[] {
    return this._table.liveIdsInZone(zone)
  }

  public zones (): readonly string[] {
    return this._table.zones()
  }

  public randomPeer (): types.MemberRow | undefined {
    const id = this._detector.randomMember(nodeId => this._table.isLive(nodeId))
    return id === undefined ? undefined : this._table.get(id)
  }

  public announce (change: Partial<Pick<types.MemberRow, 'targetReady' | 'targetReadySinceMs' | 'enforcedVersion'>>, nowMs: base.Millis): void {
    const { enforcedVersion = 0, ...fields } = change
    if (enforcedVersion > this._self.enforcedVersion) this._self = { ...this._self, enforcedVersion }
    this._table.recordVersion(this._self.nodeId, enforcedVersion)
    if (Object.keys(fields).length > 0) this._changeSelf({ ...fields, revision: this._self.revision + 1 }, nowMs)
  }

  public setState (state: 'ready' | 'draining' | 'left', nowMs: base.Millis, successor: base.NodeId = ''): void {
    if (state === this._self.state && successor === this._self.successor) return
    const goesBack = rules.stateRank(state) < rules.stateRank(this._self.state)
    const incarnation = this._self.incarnation + (goesBack ? 1 : 0)
    this._changeSelf({ state, successor, incarnation, revision: this._self.revision + 1 }, nowMs)
  }

  public handleConnectionLost (nodeId: base.NodeId, nowMs: base.Millis): void {
    this._nowMs = nowMs
    this._detector.probe(nodeId, nowMs)
  }

  public tick (nowMs: base.Millis): void {
    this._nowMs = nowMs
    this._growth.start(nowMs)
    this._probeSeeds(nowMs)
    this._probeDead(nowMs)
    if (this._self.state !== 'left') this._detector.tick(nowMs)
    this._sendUrgent()
    this._sendDigest(nowMs)
    this._removeExpired(nowMs)
  }

  public receive (from: base.NodeId, message: messages.MembershipMessage, nowMs: base.Millis): void {
    this._nowMs = nowMs
    const problem = messageRules.messageProblem(message, nowMs)
    if (problem !== undefined) {
      this._options.onMalformed?.(new malformed.MalformedMessageError(from, malformed.messageKind(message), problem))
      return
    }
    switch (message.kind) {
      case 'join': return this._receiveJoin(from, message, nowMs)
      case 'gossip': return this._receiveHeartbeat(from, message, nowMs)
      case 'probe': return this._receiveProbe(from, message, nowMs)
      case 'probe-request': return this._detector.probeOnBehalfOf(from, message.target, message.sequence, nowMs)
      case 'probe-ack': return this._receiveAck(from, message, nowMs)
      case 'table-digest': return this._receiveDigest(from, message, nowMs)
      case 'table-rows': return this._receiveRows(from, message, nowMs)
    }
  }

  private _receiveJoin (from: base.NodeId, message: messages.JoinMessage, nowMs: base.Millis): void {
    const row = wires.fromWire(message.row)
    this._merge(row, nowMs)
    const known = this._table.get(from)
    const rows = [this._self]
    if (known !== undefined && from !== this._self.nodeId) rows.push(known)
    if (message.wantsRows) rows.push(...this._repair.joinPage(nowMs).slice(0, messageRules.MAX_ROWS - rows.length))
    this._sendRows(from, rows, row.peerAddress)
  }

  private _receiveProbe (from: base.NodeId, message: messages.ProbeMessage, nowMs: base.Millis): void {
    this._receiveHeartbeat(from, message, nowMs)
    if (this._self.state === 'left') return
    this._send(from, { kind: 'probe-ack', sequence: message.sequence, target: this._self.nodeId, ...this._heartbeatFields(from) })
  }

  private _receiveAck (from: base.NodeId, message: messages.ProbeAckMessage, nowMs: base.Millis): void {
    this._receiveUpdates(message, nowMs)
    this._recordVersion(message.target, message)
    this._detector.handleAck(message.target, message.sequence)
    if (from !== message.target) return
    const claim = this._table.get(from)
    if (claim?.state === 'suspect') this._sendRows(from, [claim])
  }

  private _receiveHeartbeat (from: base.NodeId, message: messages.ProbeMessage | messages.GossipMessage, nowMs: base.Millis): void {
    this._receiveUpdates(message, nowMs)
    this._recordVersion(from, message)
  }

  private _receiveUpdates (message: messages.ProbeMessage | messages.ProbeAckMessage | messages.GossipMessage, nowMs: base.Millis): void {
    for (const wire of message.updates) this._merge(wires.fromWire(wire), nowMs)
    this._options.crashes?.recordAll(message.crashes, nowMs)
  }

  private _receiveDigest (from: base.NodeId, message: messages.TableDigestMessage, nowMs: base.Millis): void {
    const answer = this._repair.answerDigest(message.buckets, nowMs)
    if (answer !== undefined) this._send(from, answer)
  }

  private _receiveRows (from: base.NodeId, message: messages.TableRowsMessage, nowMs: base.Millis): void {
    if (!this.isJoined) this._repair.scheduleSoon(nowMs)
    this._seedProbe.handleAnswer()
    const answer = this._repair.answerRows(message)
    const sizeBefore = this._table.size
    this._isBulk = message.rows.length > limits.MAX_GOSSIPED_PAGE_ROWS
    for (const wire of message.rows) this._mergeRepaired(wires.fromWire(wire), nowMs)
    this._isBulk = false
    this._repair.handlePage(this._table.size - sizeBefore, nowMs)
    if (answer !== undefined) this._send(from, answer)
    if (rejoins.haveFailureClaim(message.rows, this._self.nodeId)) this._sendRows(from, [this._self])
    const claim = this._table.get(from)
    if (claim !== undefined && !rules.isLive(claim) && claim.state !== 'left') this._sendRows(from, [claim])
  }

  /**
   * A row from table repair may claim that a member is suspect or dead while this node considers it live: after a partition
   * heals, the other side still claims so. The member is sent the claim and probed first, so that it can refute.
   */
  private _mergeRepaired (row: types.MemberRow, nowMs: base.Millis): void {
    const known = this._table.get(row.nodeId)
    const isDoubtful = known !== undefined && row.nodeId !== this._self.nodeId && rules.isLive(known) &&
      (row.state === 'suspect' || row.state === 'dead') && row.incarnation === known.incarnation
    if (!isDoubtful) return this._merge(row, nowMs)
    this._sendRows(row.nodeId, [row])
    this._detector.probe(row.nodeId, nowMs)
  }

  private _merge (row: types.MemberRow, nowMs: base.Millis): void {
    if (row.nodeId === this._self.nodeId) return this._mergeSelf(row, nowMs)
    if (this._departed.isRemoved(row)) return
    const change = this._table.merge(row)
    if (change === undefined) this._recordDuplicate(row)
    else this._applyChange(change, nowMs)
  }

  private _recordDuplicate (row: types.MemberRow): void {
    const known = this._table.get(row.nodeId)
    if (known !== undefined && !rules.isNewer(known, row)) this._gossip.recordDuplicate(row.nodeId, this._table.size)
    this._table.recordVersion(row.nodeId, row.enforcedVersion)
  }

  /**
   * Refutes a newer row of this node, which is from an earlier process or a false suspicion. A node that has left refutes
   * too, because a `dead` row does not name the successor.
   */
  private _mergeSelf (row: types.MemberRow, nowMs: base.Millis): void {
    this._recordedSelfVersion = Math.max(this._recordedSelfVersion, row.enforcedVersion)
    if (!rules.isNewer(row, this._self)) return
    this._changeSelf({ incarnation: row.incarnation + 1 }, nowMs)
  }

  private _changeSelf (change: Partial<types.MemberRow>, nowMs: base.Millis): void {
    this._self = { ...this._self, ...change }
    const merged = this._table.merge(this._self)
    if (merged !== undefined) this._applyChange(merged, nowMs)
  }

  private _applyChange (change: types.MemberChange, nowMs: base.Millis): void {
    const row = change.current
    if (change.previous === undefined) this._growth.recordGrowth(nowMs)
    if (!this._isBulk || row.nodeId === this._self.nodeId) this._gossip.add(row.nodeId, row.state !== 'joining')
    if (row.nodeId !== this._self.nodeId) this._updateDetector(change, nowMs)
    this._departed.handleRowChange(row.nodeId, !rules.isProbed(row), nowMs)
    this._changes.fire(change)
  }

  private _updateDetector (change: types.MemberChange, nowMs: base.Millis): void {
    const row = change.current
    const wasProbed = change.previous !== undefined && rules.isProbed(change.previous)
    if (rules.isProbed(row) && !wasProbed) this._detector.add(row.nodeId, hashes.rowHash(row).bucketHash)
    else if (!rules.isProbed(row) && wasProbed) this._detector.remove(row.nodeId)
    if (row.state === 'suspect') this._detector.startSuspicion(row.nodeId, nowMs)
    else this._detector.endSuspicion(row.nodeId)
  }

  private _recordVersion (nodeId: base.NodeId, versions: Versions): void {
    const { version, ownershipOffset } = versions
    this._table.recordVersion(nodeId, version)
    this._versions.fire({ nodeId, version, ownershipOffset })
  }

  private _ownVersions (): Versions {
    return { version: this._self.enforcedVersion, ownershipOffset: this._options.ownership?.asOfOffset ?? 0 }
  }

  private _probeSeeds (nowMs: base.Millis): void {
    const address = this._seedProbe.due(nowMs, this._table.size)
    if (address === undefined) return
    this._send('', { kind: 'join', row: this._table.toWire(this._self), wantsRows: !this.isJoined || this._table.size === 1 }, address)
  }

  /** Sends dead members their rows, so that they refute if they were only unreachable. */
  private _probeDead (nowMs: base.Millis): void {
    if (this._self.state === 'left') return
    for (const row of this._rejoinProbe.due(nowMs, this._table.size)) this._sendRows(row.nodeId, [row])
  }

  private _sendUrgent (): void {
    if (!this._gossip.hasUrgent) return
    const updates = this._gossip.takeUrgent(limits.URGENT_ROWS).map(row => this._table.toWire(row))
    const fanout = updates.length > limits.MASS_EVENT_ROWS ? limits.MASS_EVENT_FANOUT : limits.URGENT_FANOUT[this._options.terms().preference]
    this._sendToRandom(fanout, { kind: 'gossip', ...this._ownVersions(), updates, crashes: [] })
  }

  /** Sends a crash record at once: a caller can retry a crashing request through other nodes faster than heartbeats spread the record. */
  private _sendCrash (record: hostingTypes.CrashRecord): void {
    const recipients = crashRecipients.recipientsOf(record, this, limits.URGENT_FANOUT[this._options.terms().preference])
    const message: messages.GossipMessage = { kind: 'gossip', ...this._ownVersions(), updates: [], crashes: [record] }
    for (const nodeId of recipients) this._send(nodeId, message)
  }

  private _sendToRandom (fanout: number, message: messages.GossipMessage): void {
    for (let i = 0; i < fanout; i++) {
      const peer = this.randomPeer()
      if (peer !== undefined) this._send(peer.nodeId, message)
    }
  }

  private _sendDigest (nowMs: base.Millis): void {
    const message = this._repair.due(nowMs)
    const peer = message === undefined ? undefined : this.randomPeer()
    if (message !== undefined && peer !== undefined) this._send(peer.nodeId, message)
  }

  private _removeExpired (nowMs: base.Millis): void {
    for (const nodeId of this._departed.takeExpired(nowMs)) {
      const change = this._table.remove(nodeId)
      if (change === undefined) continue
      this._departed.recordRemoved(change.current, nowMs)
      this._changes.fire(change)
    }
  }

  /** Fields common to heartbeats. For a suspect or dead peer its own row comes first, so that it can refute. */
  private _heartbeatFields (to: base.NodeId): Versions & Pick<messages.ProbeMessage, 'updates' | 'crashes'> {
    const limit = this._gossip.backlog > limits.BURST_BACKLOG ? limits.PIGGYBACK_ROWS_BURST : limits.PIGGYBACK_ROWS
    const updates = this._gossip.take(limit, this._table.size)
    const claim = this._table.get(to)
    if (claim !== undefined && !rules.isLive(claim)) updates.unshift(claim)
    return { ...this._ownVersions(), updates: updates.map(row => this._table.toWire(row)), crashes: this._options.crashes?.pending(limits.CRASHES_PER_MESSAGE) ?? [] }
  }

  private _sendRows (to: base.NodeId, rows: readonly types.MemberRow[], address?: string): void {
    this._send(to, { kind: 'table-rows', rows: rows.map(row => this._table.toWire(row)), wantedBuckets: [], bucketCount: 0 }, address)
  }

  private _send (to: base.NodeId, message: messages.MembershipMessage, address = this._table.get(to)?.peerAddress ?? ''): void {
    this._options.effects.push({ kind: 'send', to, address, message })
  }

  private _detectorHost (): detectors.IDetectorHost {
    return {
      sendProbe: (nodeId, sequence) => this._send(nodeId, { kind: 'probe', sequence, ...this._heartbeatFields(nodeId) }),
      sendProbeRequest: (helper, target, sequence) => this._send(helper, { kind: 'probe-request', sequence, target }),
      relayAck: (requester, target, sequence) => this._send(requester, {
        kind: 'probe-ack', sequence, target, version: this._table.versionOf(target), ownershipOffset: 0, updates: [], crashes: []
      }),
      suspect: nodeId => this._mark(nodeId, 'suspect'),
      declareDead: nodeId => this._mark(nodeId, 'dead')
    }
  }

  private _mark (nodeId: base.NodeId, state: 'suspect' | 'dead'): void {
    const row = this._table.get(nodeId)
    if (row !== undefined) this._merge({ ...row, state, revision: 0 }, this._nowMs)
  }
}
