import type * as base from '../base/Types.js'
import type * as membership from '../membership/Services.js'
import type * as messages from '../node/Messages.js'

const MAX_PEERS = 3
const ANSWER_TIMEOUT_MS = 1_000
/** Time that the log has to answer after a peer has sent a state. An unavailable log must not prevent a node from starting. */
const LOG_WAIT_MS = 1_000
/** Delay before peers are asked again if none knows a version, plus a random time up to the same length. */
const ASK_AGAIN_MS = 2_000
/** Reads per second by which a starting fleet as a whole loads the log while no peer knows a version. */
const FLEET_READS_PER_SECOND = 100
const TICKS_PER_SECOND = 10

export interface RestartEvidenceOptions {
  readonly membership: membership.IMembership
  readonly random: base.IRandom
  readonly ask: (to: base.NodeId) => void
  readonly raiseFloor: (version: number) => void
}

/** Collects evidence from peers and the log of the version in force, before a node enforces its first state. */
export class RestartEvidence {
  private readonly _options: RestartEvidenceOptions
  private readonly _waiting = new Map<base.NodeId, base.Millis>()
  private _startedAtMs: base.Millis | undefined
  private _askAgainAtMs = 0
  private _hasAsked = false
  private _hasAnswer = false
  private _isComplete = false
  private _stateSinceMs: base.Millis | undefined
  private _readsLog = false

  constructor (options: RestartEvidenceOptions) {
    this._options = options
  }

  public get isComplete (): boolean {
    return this._isComplete
  }

  /** Whether this node has to read the log itself, even if it is not a reader. */
  public get wantsLog (): boolean {
    return !this._isComplete && this._readsLog
  }

  /** Handles the answer of a peer, with or without a state. */
  public handleAnswer (from: base.NodeId, evidence: messages.VersionEvidence): void {
    if (this._isComplete) return
    this._waiting.delete(from)
    this._hasAnswer = true
    this._options.raiseFloor(Math.max(evidence.version, evidence.recordedVersion))
  }

  /**
   * `candidateVersion` is the highest version received so far, 0 if none; `logCheckedAtMs` the time at which the log
   * was last known to be read to its end, by this node or by the one its state came from.
   */
  public tick (candidateVersion: number, logCheckedAtMs: base.Millis | undefined, nowMs: base.Millis): void {
    if (this._isComplete) return
    this._startedAtMs ??= nowMs
    if (!this._options.membership.isJoined) return
    this._options.raiseFloor(this._options.membership.recordedSelfVersion)
    this._expire(nowMs)
    if (candidateVersion > 0) this._stateSinceMs ??= nowMs
    if (this._waiting.size === 0 && nowMs >= this._askAgainAtMs && candidateVersion === 0) this._askPeers(nowMs)
    this._decideLog(candidateVersion)
    this._isComplete = this._isEnough(candidateVersion, logCheckedAtMs, nowMs)
  }

  private _isEnough (candidateVersion: number, logCheckedAtMs: base.Millis | undefined, nowMs: base.Millis): boolean {
    if (this._waiting.size > 0 || this._stateSinceMs === undefined || candidateVersion === 0) return false
    const hasLog = logCheckedAtMs !== undefined && logCheckedAtMs >= (this._startedAtMs ?? nowMs)
    return hasLog || (this._hasAnswer && nowMs - this._stateSinceMs >= LOG_WAIT_MS)
  }

  /** Decides whether to read the log. If no peer has a state, the whole fleet may be starting, so nodes read at random to limit the load. */
  private _decideLog (candidateVersion: number): void {
    if (this._readsLog || this._waiting.size > 0 || !this._hasAsked) return
    if (candidateVersion > 0) this._readsLog = true
    else if (this._options.membership.isSettled) this._readsLog = this._isSelectedAtRandom()
  }

  private _isSelectedAtRandom (): boolean {
    const chance = FLEET_READS_PER_SECOND / TICKS_PER_SECOND / this._options.membership.size
    return this._options.random.nextFloat() < chance
  }

  private _askPeers (nowMs: base.Millis): void {
    this._hasAsked = true
    this._askAgainAtMs = nowMs + ASK_AGAIN_MS + this._options.random.nextInt(ASK_AGAIN_MS)
    for (const peer of this._choosePeers()) {
      this._waiting.set(peer, nowMs + ANSWER_TIMEOUT_MS)
      this._options.ask(peer)
    }
  }

  /** One random live member of each of up to 3 zones; more of the same zones if there are fewer. */
  private _choosePeers (): readonly base.NodeId[] {
    const { membership, random } = this._options
    const zones = [...membership.zones()]
    const chosen = new Set<base.NodeId>()
    for (let i = 0; i < MAX_PEERS * MAX_PEERS && chosen.size < MAX_PEERS; i++) {
      if (zones.length === 0) zones.push(...membership.zones())
      const [zone] = zones.splice(random.nextInt(zones.length), 1)
      const ids = membership.liveIdsInZone(zone ?? '')
      const id = ids[random.nextInt(Math.max(1, ids.length))]
      if (id !== undefined && id !== membership.self.nodeId) chosen.add(id)
    }
    return [...chosen]
  }

  private _expire (nowMs: base.Millis): void {
    for (const [peer, deadlineMs] of this._waiting) {
      if (nowMs >= deadlineMs) this._waiting.delete(peer)
    }
  }
}
