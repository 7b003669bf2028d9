/** Time without disturbance after which promises with a time bound hold for a node again. */
const CONTACT_MS = 3_000

/** The store as the subject of a disturbance. */
export const STORE = 'store'

interface Period {
  readonly subject: string
  readonly fromMs: number
  toMs: number
}

/** Records when nodes and the store were disturbed from outside. A starved node is not disturbed: it runs, slowly. */
export class TouchLedger {
  private readonly _periods: Period[] = []

  /** Records that the disturbance of a node or of the store has begun. The result ends it. */
  public begin (subject: string, nowMs: number): (nowMs: number) => void {
    const period = { subject, fromMs: nowMs, toMs: Infinity }
    this._periods.push(period)
    return endMs => { period.toMs = endMs }
  }

  /** Whether none of the subjects was disturbed from `CONTACT_MS` before the time to its end. */
  public isCalm (subjects: readonly string[], fromMs: number, toMs: number): boolean {
    return !this._periods.some(period => subjects.includes(period.subject) && period.fromMs <= toMs && period.toMs >= fromMs - CONTACT_MS)
  }
}
