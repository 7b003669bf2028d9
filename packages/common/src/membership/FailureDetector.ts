import * as rings from './ProbeRing.js'
import * as schedules from './ProbeSchedule.js'
import type * as base from '../base/Types.js'

/** Time within which a probed member must answer. */
export const PROBE_TIMEOUT_MS = 500
/** Time within which an indirect probe must be answered. */
export const INDIRECT_TIMEOUT_MS = 300
/** Time that a suspect has to refute the suspicion before it is declared dead. */
export const SUSPICION_MS = 3_000
const INDIRECT_PROBES = 3
/** A longer gap between ticks means that this process was stalled, so missing answers do not indicate a failure. */
const MAX_TICK_GAP_MS = 1_000
const RELAY_TTL_MS = 1_000
const MAX_OUTSTANDING = 256
const MAX_RANDOM_TRIES = 8

/** Actions that the detector requests from its owner. */
export interface IDetectorHost {
  sendProbe(nodeId: base.NodeId, sequence: number): void
  sendProbeRequest(helper: base.NodeId, target: base.NodeId, sequence: number): void
  relayAck(requester: base.NodeId, target: base.NodeId, sequence: number): void
  suspect(nodeId: base.NodeId): void
  declareDead(nodeId: base.NodeId): void
}

interface Outstanding {
  readonly target: base.NodeId
  readonly stage: 'direct' | 'indirect'
  readonly deadlineMs: base.Millis
}

interface Relay {
  readonly requester: base.NodeId
  readonly sequence: number
  readonly deadlineMs: base.Millis
}

export interface FailureDetectorOptions {
  readonly selfId: base.NodeId
  readonly host: IDetectorHost
  readonly random: base.IRandom
  readonly intervalMs: () => base.Millis
  /** Whether this node knows roughly the same members as its peers. */
  readonly isSettled: () => boolean
}

/** Probes members, one per interval, and decides when one is suspect or dead. */
export class FailureDetector {
  private readonly _host: IDetectorHost
  private readonly _random: base.IRandom
  private readonly _intervalMs: () => base.Millis
  private readonly _isSettled: () => boolean
  private readonly _ring = new rings.ProbeRing()
  private readonly _schedule: schedules.ProbeSchedule
  private _sequence = 0
  private _nextRandomAtMs: base.Millis | undefined
  private _lastTickMs: base.Millis | undefined
  private readonly _outstanding = new Map<number, Outstanding>()
  private readonly _relays = new Map<number, Relay>()
  /** Deadline of each suspicion, in ascending order because all suspicions last equally long. */
  private readonly _suspects = new Map<base.NodeId, base.Millis>()

  constructor (options: FailureDetectorOptions) {
    this._host = options.host
    this._random = options.random
    this._intervalMs = options.intervalMs
    this._isSettled = options.isSettled
    this._schedule = new schedules.ProbeSchedule(this._ring, options.selfId)
  }

  /** Starts probing a member. `placementHash` is the hash of its id. */
  public add (nodeId: base.NodeId, placementHash: number): void {
    this._ring.add(nodeId, placementHash)
  }

  /** Stops probing a member. */
  public remove (nodeId: base.NodeId): void {
    this._ring.remove(nodeId)
  }

  /** A random probed member that the filter accepts. */
  public randomMember (accepts: (nodeId: base.NodeId) => boolean): base.NodeId | undefined {
    for (let i = 0; i < MAX_RANDOM_TRIES && this._ring.size > 0; i++) {
      const id = this._ring.at(this._random.nextInt(this._ring.size))
      if (id !== undefined && accepts(id)) return id
    }
    return undefined
  }

  public startSuspicion (nodeId: base.NodeId, nowMs: base.Millis): void {
    if (!this._suspects.has(nodeId)) this._suspects.set(nodeId, nowMs + SUSPICION_MS)
  }

  public endSuspicion (nodeId: base.NodeId): void {
    this._suspects.delete(nodeId)
  }

  /** Probes a member now, out of turn. */
  public probe (nodeId: base.NodeId, nowMs: base.Millis): void {
    if (this._outstanding.size >= MAX_OUTSTANDING || !this._ring.has(nodeId)) return
    const sequence = this._nextSequence()
    this._outstanding.set(sequence, { target: nodeId, stage: 'direct', deadlineMs: nowMs + PROBE_TIMEOUT_MS })
    this._host.sendProbe(nodeId, sequence)
  }

  /** Probes `target` on behalf of another member. */
  public probeOnBehalfOf (requester: base.NodeId, target: base.NodeId, requestSequence: number, nowMs: base.Millis): void {
    if (this._relays.size >= MAX_OUTSTANDING || !this._ring.has(target)) return
    const sequence = this._nextSequence()
    this._relays.set(sequence, { requester, sequence: requestSequence, deadlineMs: nowMs + RELAY_TTL_MS })
    this._host.sendProbe(target, sequence)
  }

  public handleAck (target: base.NodeId, sequence: number): void {
    if (this._outstanding.get(sequence)?.target === target) this._outstanding.delete(sequence)
    const relay = this._relays.get(sequence)
    if (relay === undefined) return
    this._relays.delete(sequence)
    this._host.relayAck(relay.requester, target, relay.sequence)
  }

  public tick (nowMs: base.Millis): void {
    this._resetAfterStall(nowMs)
    this._expireRelays(nowMs)
    this._expireProbes(nowMs)
    this._expireSuspicions(nowMs)
    this._probeNext(nowMs)
  }

  private _resetAfterStall (nowMs: base.Millis): void {
    const gapMs = nowMs - (this._lastTickMs ?? nowMs)
    this._lastTickMs = nowMs
    if (gapMs <= MAX_TICK_GAP_MS) return
    this._outstanding.clear()
    this._relays.clear()
    for (const nodeId of this._suspects.keys()) this._suspects.set(nodeId, nowMs + SUSPICION_MS)
  }

  private _expireRelays (nowMs: base.Millis): void {
    for (const [sequence, relay] of this._relays) {
      if (relay.deadlineMs > nowMs) return
      this._relays.delete(sequence)
    }
  }

  private _expireProbes (nowMs: base.Millis): void {
    for (const [sequence, probe] of this._outstanding) {
      if (probe.deadlineMs > nowMs) continue
      this._outstanding.delete(sequence)
      if (probe.stage === 'direct') this._probeIndirectly(probe.target, nowMs)
      else this._host.suspect(probe.target)
    }
  }

  private _probeIndirectly (target: base.NodeId, nowMs: base.Millis): void {
    const sequence = this._nextSequence()
    this._outstanding.set(sequence, { target, stage: 'indirect', deadlineMs: nowMs + INDIRECT_TIMEOUT_MS })
    for (let i = 0; i < INDIRECT_PROBES; i++) {
      const helper = this.randomMember(id => id !== target)
      if (helper !== undefined) this._host.sendProbeRequest(helper, target, sequence)
    }
  }

  private _expireSuspicions (nowMs: base.Millis): void {
    for (const [nodeId, deadlineMs] of this._suspects) {
      if (deadlineMs > nowMs) return
      this._suspects.delete(nodeId)
      this._host.declareDead(nodeId)
    }
  }

  private _probeNext (nowMs: base.Millis): void {
    const intervalMs = this._intervalMs()
    if (!this._isSettled()) return this._probeRandom(nowMs, intervalMs)
    this._nextRandomAtMs = undefined
    for (let next = this._schedule.due(nowMs, intervalMs); next !== undefined; next = this._schedule.due(nowMs, intervalMs)) this.probe(next, nowMs)
  }

  /** While a fleet starts, nodes know few members, and by the schedule many of them would probe the same ones. */
  private _probeRandom (nowMs: base.Millis, intervalMs: base.Millis): void {
    this._nextRandomAtMs ??= nowMs + this._random.nextInt(intervalMs)
    if (nowMs < this._nextRandomAtMs) return
    this._nextRandomAtMs = Math.max(this._nextRandomAtMs + intervalMs, nowMs)
    const next = this.randomMember(() => true)
    if (next !== undefined) this.probe(next, nowMs)
  }

  private _nextSequence (): number {
    this._sequence = (this._sequence + 1) % Number.MAX_SAFE_INTEGER
    return this._sequence
  }
}
