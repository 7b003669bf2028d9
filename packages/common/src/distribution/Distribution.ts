import * as digests from '../base/Digest.js'
import * as disposable from '../base/Disposable.js'
import type * as base from '../base/Types.js'
import type * as configServices from '../config/Services.js'
import type * as config from '../config/Types.js'
import type * as hosting from '../hosting/Services.js'
import * as malformed from '../membership/MalformedMessageError.js'
import type * as membershipServices from '../membership/Services.js'
import type * as memberTypes from '../membership/Types.js'
import type * as messages from '../node/Messages.js'
import * as audits from './AuditTrail.js'
import * as logs from './LogReader.js'
import * as messageRules from './MessageRules.js'
import * as ownerships from './OwnershipExchange.js'
import * as repairs from './PullRepair.js'
import * as pushers from './Pusher.js'
import * as readiness from './Readiness.js'
import * as evidences from './RestartEvidence.js'
import type * as services from './Services.js'
import * as snapshots from './SnapshotRenewal.js'
import * as slots from './SnapshotSlots.js'
import * as histories from './StateHistory.js'
import * as terms from './Terms.js'
import type * as types from './Types.js'

const SNAPSHOTS_AT_ONCE = 4
/** Time for which sending a whole state occupies a slot; the core does not see when the connection has sent it. */
const SNAPSHOT_HOLD_MS = 250
const BUSY_RETRY_MS = 500
/** Time that the second reader waits for the push of the first one, for ownership changes and if control bytes are preferred. */
const SECOND_READER_DELAY_MS = 300
const MAX_VERDICTS = 16

type Source = 'log' | 'push' | 'peer'

export interface DistributionOptions {
  readonly membership: membershipServices.IMembership
  readonly enforcement: services.IEnforcement
  readonly readers: services.IReaderSelection
  readonly acceptance: configServices.IAcceptance
  readonly delta: configServices.IConfigDelta
  readonly random: base.IRandom
  readonly effects: messages.IEffects
  /** The ownership table, whose changes are sent along with the configuration. */
  readonly ownership?: hosting.IOwnershipTable
  /** Digest of a document; `digestJson` if absent. */
  readonly digestOf?: (document: config.ConfigDocument) => string
  /** `hybrid` if absent. */
  readonly strategy?: types.DistributionStrategy
  /** Called for each message or state that is ignored, for the log and the metrics. */
  readonly onMalformed?: (error: Error) => void
  /** Called for each verdict that this node reaches as a reader. */
  readonly onVerdict?: (verdict: config.Verdict) => void
}

/** Distributes accepted versions to this node and its zone by log reads, push and pull repair, and decides on the first state after a restart. */
export class Distribution extends disposable.Disposable implements services.IDistribution {
  private readonly _options: DistributionOptions
  private readonly _strategy: types.DistributionStrategy
  private readonly _history: histories.StateHistory
  private readonly _pusher: pushers.Pusher
  private readonly _repair: repairs.PullRepair
  private readonly _ownership: ownerships.OwnershipExchange
  private readonly _log: logs.LogReader
  private readonly _audit: audits.AuditTrail
  private readonly _snapshots: snapshots.SnapshotRenewal
  private _anchorOffset: number | undefined
  private readonly _evidence: evidences.RestartEvidence
  private readonly _slots = new slots.SnapshotSlots(SNAPSHOTS_AT_ONCE, SNAPSHOT_HOLD_MS)
  private readonly _verdicts: config.Verdict[] = []
  /** Highest state received while the restart evidence is being collected. */
  private _candidate: { readonly state: config.AcceptedState, readonly source: Source } | undefined
  private _enforcedAtMs = 0
  private _pushDueMs: base.Millis | undefined
  private _hasReadToEnd = false
  private _retentionMs = 0
  private _nowMs = 0

  constructor (options: DistributionOptions) {
    super()
    const { membership, random, effects } = options
    const selfId = membership.self.nodeId
    this._options = options
    this._strategy = options.strategy ?? 'hybrid'
    this._history = new histories.StateHistory(options.delta)
    this._log = new logs.LogReader({ random, effects })
    this._audit = new audits.AuditTrail({ selfId, random, effects })
    this._snapshots = new snapshots.SnapshotRenewal({ selfId, random, effects })
    this._ownership = new ownerships.OwnershipExchange(options.ownership)
    this._evidence = new evidences.RestartEvidence({
      membership,
      random,
      ask: to => this._sendPull(to, Number.MAX_SAFE_INTEGER),
      raiseFloor: version => options.enforcement.raiseFloor(version)
    })
    this._repair = new repairs.PullRepair({
      random,
      preference: () => this.terms.preference,
      isAhead: peer => peer.version > this._bestVersion || this._ownership.isBehind(peer),
      pull: (to, wantsWhole) => this._sendPull(to, wantsWhole ? 0 : this._bestVersion)
    })
    this._pusher = new pushers.Pusher({
      membership,
      send: (to, message) => this._send(to, message),
      fanout: () => this.terms.pushFanout,
      enforced: () => ({ version: options.enforcement.current?.version ?? 0, atMs: this._enforcedAtMs }),
      onSummary: summary => this._audit.add({ kind: 'enforced', zone: membership.self.zone, ...summary })
    })
    this._register(membership.onPeerVersion(peer => this._handlePeerVersion(peer)))
  }

  public get isReader (): boolean {
    return this._options.membership.isSettled && this._options.readers.ownRank >= 0
  }

  /** Terms of the state in force, or the defaults. */
  public get terms (): config.DistributionTerms {
    return terms.termsOf(this._options.enforcement.current)
  }

  /** The latest verdicts that this node reached as a reader, oldest first. */
  public get lastVerdicts (): readonly config.Verdict[] {
    return this._verdicts
  }

  public tick (nowMs: base.Millis): void {
    this._nowMs = nowMs
    this._tickEvidence(nowMs)
    const isReader = this.isReader
    const wantsLog = isReader || this._evidence.wantsLog
    if (wantsLog) this._prepareFold()
    this._log.tick(wantsLog, isReader && this._hasReadToEnd, nowMs)
    if (this._strategy !== 'tree' || !this._evidence.isComplete) this._repair.tick(nowMs)
    this._pusher.tick(nowMs)
    this._pushIfDue(isReader, nowMs)
    this._audit.tick(nowMs)
    if (isReader && this._hasReadToEnd) this._snapshots.tick(() => this._options.acceptance.makeSnapshot(), this._retentionMs, nowMs)
  }

  public receive (from: base.NodeId, message: messages.DistributionMessage, nowMs: base.Millis): void {
    this._nowMs = nowMs
    const problem = messageRules.messageProblem(message)
    if (problem !== undefined) {
      this._options.onMalformed?.(new malformed.MalformedMessageError(from, message?.kind ?? 'without kind', problem))
      return
    }
    switch (message.kind) {
      case 'push': return this._receivePush(from, message, nowMs)
      case 'push-ack': return this._pusher.receiveAck(from, message, nowMs)
      case 'pull': return this._receivePull(from, message, nowMs)
      case 'state': return this._receiveState(from, message, nowMs)
      case 'busy': return this._receiveBusy(from, message, nowMs)
    }
  }

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (result.stream !== 'config') return
    this._nowMs = nowMs
    if (!this._log.handleResult(result, nowMs)) return
    this._retentionMs = result.retentionMs
    this._prepareFold()
    // Without this, a log whose records have all expired would look like one that never had any.
    this._options.acceptance.skipTo(result.firstOffset)
    for (const record of result.records) this._fold(record, nowMs)
    if (this._log.isAtEnd) this._hasReadToEnd = true
    const { state } = this._options.acceptance
    if (state !== undefined && state.version > this._bestVersion) this._offer(state, undefined, 'log', nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    this._audit.handleAppendResult(result, nowMs)
    this._snapshots.handleAppendResult(result, this._retentionMs, nowMs)
  }

  public readiness (): types.Readiness {
    const { enforcement, acceptance, membership } = this._options
    return readiness.readinessOf({ enforcement, acceptance, bestVersion: this._bestVersion, isJoined: membership.isJoined })
  }

  private get _bestState (): config.AcceptedState | undefined {
    return this._candidate?.state ?? this._options.enforcement.current
  }

  private get _bestVersion (): number {
    return this._bestState?.version ?? 0
  }

  private _tickEvidence (nowMs: base.Millis): void {
    if (this._evidence.isComplete) return
    this._evidence.tick(this._bestVersion, this._log.checkedAtMs, nowMs)
    if (this._evidence.isComplete) this._enforceCandidate(nowMs)
  }

  private _handlePeerVersion (peer: memberTypes.PeerVersion): void {
    if (this._strategy === 'tree' && this._evidence.isComplete) return
    this._repair.handlePeerVersion(peer, this._nowMs)
  }

  private _receivePush (from: base.NodeId, message: messages.PushMessage, nowMs: base.Millis): void {
    if (!this._pusher.accept(from, message, nowMs)) return
    this._applyOwnership(from, message, nowMs)
    if ((message.ownership?.asOfOffset ?? -1) >= this._ownership.offset) this._ownership.markPushed()
    if (message.version >= this._bestVersion) this._pushDueMs = undefined
    this._applyUpdate(from, message, 'push', nowMs)
    this._recordLogCheck(message, nowMs)
    this._pusher.forwardAccepted(message, nowMs)
  }

  private _receivePull (from: base.NodeId, message: messages.PullMessage, nowMs: base.Millis): void {
    const current = this._options.enforcement.current
    const ownership = this._ownership.updateFor(message.haveOwnershipVersion, message.haveOwnershipOffset)
    const answer: messages.StateMessage = { kind: 'state', ...this._evidenceFor(from, nowMs), ...ownership }
    if (current === undefined || message.haveVersion >= current.version) return this._send(from, answer)
    const delta = this._history.deltaFrom(message.haveVersion, message.haveDigest, current)
    if (delta !== undefined) return this._send(from, { ...answer, delta })
    if (this._slots.take(nowMs)) return this._send(from, { ...answer, state: current })
    const retryAfterMs = BUSY_RETRY_MS + this._options.random.nextInt(BUSY_RETRY_MS)
    this._send(from, { kind: 'busy', ...this._evidenceFor(from, nowMs), retryAfterMs })
  }

  private _receiveState (from: base.NodeId, message: messages.StateMessage, nowMs: base.Millis): void {
    this._evidence.handleAnswer(from, message)
    this._repair.handleAnswer(from)
    this._applyOwnership(from, message, nowMs)
    this._applyUpdate(from, message, 'peer', nowMs)
    this._recordLogCheck(message, nowMs)
    if (message.version > this._bestVersion) this._repair.handlePeerVersion(peerOf(from, message.version), nowMs)
  }

  private _receiveBusy (from: base.NodeId, message: messages.BusyMessage, nowMs: base.Millis): void {
    this._evidence.handleAnswer(from, message)
    this._repair.handleBusy(peerOf(from, message.version), message.retryAfterMs, nowMs)
  }

  private _applyUpdate (from: base.NodeId, message: messages.PushMessage | messages.StateMessage, source: Source, nowMs: base.Millis): void {
    const { delta, state } = message
    if (delta !== undefined && delta.version > this._bestVersion) this._applyDelta(from, delta, source, nowMs)
    if (state !== undefined && state.version > this._bestVersion) this._acceptWholeState(from, state, source, nowMs)
  }

  private _applyDelta (from: base.NodeId, delta: config.ConfigDeltaMessage, source: Source, nowMs: base.Millis): void {
    const best = this._bestState
    const peer = peerOf(from, delta.version)
    if (best === undefined || best.version !== delta.baseVersion) return this._repair.handleMismatch(peer, best === undefined, nowMs)
    const applied = this._options.delta.apply(best, delta)
    if (applied.isOk()) return this._offer(applied.value, delta, source, nowMs)
    this._options.onMalformed?.(applied.error)
    this._repair.handleMismatch(peer, true, nowMs)
  }

  private _acceptWholeState (from: base.NodeId, state: config.AcceptedState, source: Source, nowMs: base.Millis): void {
    const digestOf = this._options.digestOf ?? digests.digestJson
    if (digestOf(state.document) === state.digest) return this._offer(state, undefined, source, nowMs)
    this._options.onMalformed?.(new malformed.MalformedMessageError(from, 'state', 'digest does not match the document'))
  }

  /** Enforces a verified state that is newer than the best one, or keeps it as the candidate until the evidence is complete. */
  private _offer (state: config.AcceptedState, delta: config.ConfigDeltaMessage | undefined, source: Source, nowMs: base.Millis): void {
    if (this._evidence.isComplete) return this._enforce(state, delta, source, nowMs)
    this._candidate = { state, source }
  }

  private _enforceCandidate (nowMs: base.Millis): void {
    if (this._candidate !== undefined) this._enforce(this._candidate.state, undefined, this._candidate.source, nowMs)
  }

  private _enforce (state: config.AcceptedState, delta: config.ConfigDeltaMessage | undefined, source: Source, nowMs: base.Millis): void {
    const { enforcement, membership } = this._options
    const previous = enforcement.current
    if (!enforcement.enforce(state, nowMs)) {
      if (state.version < enforcement.floorVersion) this._candidate = { state, source }
      return
    }
    this._candidate = undefined
    this._enforcedAtMs = nowMs
    this._history.add(previous, enforcement.current ?? state, delta)
    membership.announce({ enforcedVersion: state.version }, nowMs)
    this._pusher.handleEnforced(nowMs)
    if (source === 'log' || (source === 'peer' && previous !== undefined)) this._schedulePush(nowMs)
  }

  private _schedulePush (nowMs: base.Millis): void {
    const mustWait = this._options.readers.ownRank > 0 && this.terms.preference === 'control-bytes'
    this._pushDueMs = nowMs + (mustWait ? SECOND_READER_DELAY_MS : 0)
    this._pushIfDue(this.isReader, nowMs)
  }

  private _pushIfDue (isReader: boolean, nowMs: base.Millis): void {
    if (!isReader || this._strategy === 'gossip') {
      this._pushDueMs = undefined
      return
    }
    if (this._ownership.hasUnpushed && this._pushDueMs === undefined) {
      this._pushDueMs = nowMs + (this._options.readers.ownRank > 0 ? SECOND_READER_DELAY_MS : 0)
    }
    if (this._pushDueMs === undefined || nowMs < this._pushDueMs) return
    this._pushDueMs = undefined
    this._push(nowMs)
  }

  private _push (nowMs: base.Millis): void {
    const current = this._options.enforcement.current
    const payload = current === undefined || nowMs - this._enforcedAtMs > SECOND_READER_DELAY_MS * 4 ? {} : this._payload(current)
    const { logCheckedAgoMs } = this._evidenceFor('', nowMs)
    const ownership = this._ownership.takeUnpushed()
    this._pusher.start({ version: current?.version ?? 0, logCheckedAgoMs, ...payload, ...ownership }, nowMs)
  }

  private _payload (current: config.AcceptedState): Pick<messages.PushMessage, 'delta' | 'state'> {
    const delta = this._history.lastDelta(current)
    return delta === undefined ? { state: current } : { delta }
  }

  /** Starts the fold of the log from the best state of peers. Needed only on nodes that read the log. */
  private _prepareFold (): void {
    const best = this._bestState
    const { acceptance } = this._options
    if (best === undefined || best.version <= (acceptance.state?.version ?? 0)) return
    acceptance.adopt(best)
    // The node that writes verdicts to the audit stream must read every record to have its verdict.
    if (best.asOfOffset !== undefined && !this._writesVerdicts) this._log.skipTo(best.asOfOffset + 1)
  }

  /** Whether this node writes verdicts. Those on records that precede its first complete read were written by another node. */
  private get _writesVerdicts (): boolean {
    return this._hasReadToEnd && this.isReader && this._options.readers.isFirstOfFleet
  }

  private _fold (record: config.LogRecord, nowMs: base.Millis): void {
    const { acceptance } = this._options
    const verdict = this._judge(record)
    this._options.onVerdict?.(verdict)
    this._verdicts.push(verdict)
    if (this._verdicts.length > MAX_VERDICTS) this._verdicts.shift()
    const data = record.data as Partial<config.ProposalEnvelope> | Partial<config.SnapshotRecord> | null
    if (acceptance.anchorOffset !== undefined && acceptance.anchorOffset !== this._anchorOffset) {
      this._anchorOffset = acceptance.anchorOffset
      this._snapshots.recordAnchor(this._appendedAtMs(data, nowMs), this._retentionMs)
    }
    if (data?.kind !== 'proposal' || !this._writesVerdicts) return
    if (verdict.kind !== 'duplicate') this._audit.addVerdict(data as config.ProposalEnvelope, verdict, nowMs)
  }

  /** A record after a gap is judged as soon as the fold has started from the state of a peer, often in the same step. */
  private _judge (record: config.LogRecord): config.Verdict {
    const verdict = this._options.acceptance.apply(record)
    if (verdict.kind !== 'not-judged' || verdict.proposalId === undefined) return verdict
    const later = this._options.acceptance.verdictOf(verdict.proposalId)
    return later?.offset === record.offset ? later : verdict
  }

  /** Estimates the time of append, which records do not contain. One that precedes this node's first complete read may be old. */
  private _appendedAtMs (data: { readonly kind?: string } | null, nowMs: base.Millis): base.Millis {
    if (this._hasReadToEnd) return nowMs
    const proposedAtMs = data?.kind === 'proposal' ? (data as config.ProposalEnvelope).proposedAtMs : 0
    return Math.min(nowMs, Math.max(proposedAtMs, nowMs - this._retentionMs / 2))
  }

  private _applyOwnership (from: base.NodeId, message: { readonly ownership?: messages.PushMessage['ownership'] }, nowMs: base.Millis): void {
    if (this._ownership.apply(message.ownership) === 'gap') this._repair.handleMismatch(peerOf(from, 0), false, nowMs)
  }

  private _recordLogCheck (message: messages.PushMessage | messages.StateMessage, nowMs: base.Millis): void {
    if (message.version > this._bestVersion) return
    if (message.logCheckedAgoMs >= 0) this._log.recordCheck(nowMs - message.logCheckedAgoMs)
  }

  private _evidenceFor (to: base.NodeId, nowMs: base.Millis): messages.VersionEvidence {
    const { checkedAtMs } = this._log
    return {
      version: this._options.enforcement.current?.version ?? 0,
      recordedVersion: this._options.membership.versionOf(to),
      logCheckedAgoMs: checkedAtMs === undefined ? -1 : Math.max(0, nowMs - checkedAtMs)
    }
  }

  private _sendPull (to: base.NodeId, haveVersion: number): void {
    const haveDigest = haveVersion === this._bestVersion ? this._bestState?.digest ?? '' : ''
    const isQuestion = haveVersion === Number.MAX_SAFE_INTEGER
    const haveOwnershipOffset = isQuestion ? Number.MAX_SAFE_INTEGER : this._ownership.offset
    this._send(to, { kind: 'pull', haveVersion, haveDigest, haveOwnershipVersion: this._ownership.version, haveOwnershipOffset })
  }

  private _send (to: base.NodeId, message: messages.DistributionMessage): void {
    const address = this._options.membership.get(to)?.peerAddress ?? ''
    this._options.effects.push({ kind: 'send', to, address, message })
  }
}

function peerOf (nodeId: base.NodeId, version: number): memberTypes.PeerVersion {
  return { nodeId, version, ownershipOffset: 0 }
}
