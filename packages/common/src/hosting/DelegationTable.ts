import type * as base from '../base/Types.js'
import type * as requests from './Requests.js'
import type * as types from './Types.js'

/** Exceeds the time for which a message is accepted after it was sent, with clocks that differ by up to 250 ms. */
const RETENTION_MS = 2_500

export type Delegation = { readonly runId: number } | { readonly answer: types.FinalAnswer, readonly untilMs: base.Millis }

/** Calls that owners have delegated to this node, kept so that a repeated message is not run twice. */
export class DelegationTable {
  private readonly _known = new Map<string, Delegation>()

  public get (id: string): Delegation | undefined {
    return this._known.get(id)
  }

  public recordStart (id: string, runId: number): void {
    this._known.set(id, { runId })
  }

  /** An answer is stored by the owner only, so a repeated message gets `unknown` in its place. Other outcomes are repeated. */
  public recordEnd (id: string, final: types.FinalAnswer, nowMs: base.Millis): void {
    const answer: types.FinalAnswer = final.outcome === 'answered'
      ? { ...final, outcome: 'unknown', reason: 'answer-not-kept', headers: {}, body: undefined }
      : final
    // Keeps the ended entries in the order in which they ended.
    this._known.delete(id)
    this._known.set(id, { answer, untilMs: nowMs + RETENTION_MS })
  }

  public tick (nowMs: base.Millis): void {
    for (const [id, delegation] of this._known) {
      if ('untilMs' in delegation && delegation.untilMs <= nowMs) this._known.delete(id)
    }
  }
}

export function identity (from: base.NodeId, call: requests.KeyedCall): string {
  return `${from} ${call.callId} ${call.key}`
}
