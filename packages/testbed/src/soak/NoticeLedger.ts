import * as limitBound from '@elmpost/common/direct/testing/LimitBound.js'
import type * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'

/** A target gets no call that was sent later than this through a node which has passed on that it is leaving. */
const LEAVING_TOLERANCE_MS = 2_000

interface CallStart {
  readonly entry: string
  readonly startedAtMs: number
}

/** Checks what targets get after they have advertised a rate limit, or signalled that they are leaving, in answers that nodes have passed on. */
export class NoticeLedger {
  private readonly _limits = new limitBound.LimitBound()
  private readonly _calls = new Map<string, CallStart>()
  /** By target: when each entry node first passed on that it is leaving. */
  private readonly _leavingAtMs = new Map<string, Map<string, number>>()
  private readonly _problems: string[] = []

  public recordCall (requestId: string, entry: string, atMs: number): void {
    this._calls.set(requestId, { entry, startedAtMs: atMs })
  }

  public recordLimit (targetId: string, maxCallsPerS: number, atMs: number): void {
    this._limits.recordLimit(targetId, maxCallsPerS, atMs)
  }

  /** Records that an entry node has passed on an answer in which the target advertises a rate limit. */
  public recordLimitPassedOn (targetId: string, entry: string, atMs: number): void {
    this._limits.recordPassedOn(targetId, entry, atMs)
  }

  /** Records that an entry node has passed on an answer in which the target signals that it is leaving. */
  public recordLeavingPassedOn (targetId: string, entry: string, atMs: number): void {
    const entries = this._leavingAtMs.get(targetId) ?? new Map<string, number>()
    if (!entries.has(entry)) entries.set(entry, atMs)
    this._leavingAtMs.set(targetId, entries)
  }

  /** Records what a target states in an answer that the entry node has passed on. */
  public recordAnswer (entry: string, answer: callerStandIn.CallerAnswer | callerStandIn.NoAnswer, atMs: number): void {
    if (answer.kind === 'none' || answer.targetId === undefined) return
    if (answer.advertisesLimit) this.recordLimitPassedOn(answer.targetId, entry, atMs)
    if (answer.signalsLeaving) this.recordLeavingPassedOn(answer.targetId, entry, atMs)
  }

  /** A node that was restarted or paused is bound again when it passes on the next answer. */
  public recordInterruption (entry: string): void {
    this._limits.recordInterruption(entry)
    for (const entries of this._leavingAtMs.values()) entries.delete(entry)
  }

  public recordArrival (targetId: string, requestId: string, atMs: number): void {
    const call = this._calls.get(requestId)
    if (call === undefined) return
    this._limits.recordArrival(targetId, call.entry, atMs)
    const leavingAtMs = this._leavingAtMs.get(targetId)?.get(call.entry) ?? Infinity
    if (call.startedAtMs > leavingAtMs + LEAVING_TOLERANCE_MS) this._problems.push(`${targetId} got ${requestId} ${Math.round(atMs - leavingAtMs)} ms after ${call.entry} had passed on that it is leaving`)
  }

  /** Violated guarantees, one line each. */
  public check (): readonly string[] {
    const { targetId, fromMs, calls, allowed } = this._limits.findWorstWindow()
    const beyond = calls <= allowed ? [] : [`${targetId} got ${calls} calls in the 4 s from ${Math.round(fromMs)} ms, its limit allows ${Math.round(allowed)}`]
    return [...beyond, ...this._problems]
  }
}
