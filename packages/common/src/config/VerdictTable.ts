import type * as types from './Types.js'

/** About one day at 11,000 changes per day. Acceptance of a proposal depends on its base, so evicted verdicts do not change it. */
const MAX_VERDICTS = 10_000

/** Keeps the first verdict on each of the latest proposals. */
export class VerdictTable {
  private readonly _verdicts = new Map<string, types.Verdict>()

  constructor (private readonly _capacity: number = MAX_VERDICTS) {}

  public get (proposalId: string): types.Verdict | undefined {
    return this._verdicts.get(proposalId)
  }

  /** Keeps the first verdict, unless it is `not-judged` or a later record with the same id is accepted. */
  public add (verdict: types.Verdict): void {
    if (verdict.proposalId === undefined || verdict.kind === 'duplicate') return
    const first = this._verdicts.get(verdict.proposalId)
    if (first !== undefined && first.kind !== 'not-judged' && verdict.kind !== 'accepted') return
    this._verdicts.set(verdict.proposalId, verdict)
    if (this._verdicts.size <= this._capacity) return
    const oldest = this._verdicts.keys().next()
    if (oldest.done !== true) this._verdicts.delete(oldest.value)
  }
}
