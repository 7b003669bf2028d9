import type * as base from '../base/Types.js'
import type * as requests from './Requests.js'
import type * as types from './Types.js'

/** Longer than a message is accepted after it was sent, with clocks that differ by 250 ms. */
const REMEMBER_MS = 2_500

export type Delegation = { readonly runId: number } | { readonly answer: types.FinalAnswer, readonly untilMs: base.Millis }

/** Messages by which owners asked this node to run a call, so that none is run twice. */
export class DelegationTable {
  private readonly _known = new Map<string, Delegation>()

  public get (id: string): Delegation | undefined {
    return this._known.get(id)
  }

  public recordStart (id: string, runId: number): void {
    this._known.set(id, { runId })
  }

  /** The answer itself stays with the owner; only a refusal is repeated. */
  public recordEnd (id: string, final: types.FinalAnswer, nowMs: base.Millis): void {
    const answer: types.FinalAnswer = final.outcome === 'answered'
      ? { ...final, outcome: 'unknown', reason: 'answer-not-kept', headers: {}, body: undefined }
      : final
    // Entries are kept in the order in which they end.
    this._known.delete(id)
    this._known.set(id, { answer, untilMs: nowMs + REMEMBER_MS })
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
