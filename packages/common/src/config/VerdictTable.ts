import type * as types from './Types.js'

/** About a day of changes at 11,000 a day. Older proposals are judged by their base all the same. */
const MAX_VERDICTS = 10_000

/** The first verdict on each of the latest proposals. */
export class VerdictTable {
  private readonly _verdicts = new Map<string, types.Verdict>()

  constructor (private readonly _capacity: number = MAX_VERDICTS) {}

  public get (proposalId: string): types.Verdict | undefined {
    return this._verdicts.get(proposalId)
  }

  /** The first judgement stands, but for one that was put off, or if a record with the same id is accepted after all. */
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
