import type * as types from '../Types.js'

/** One message of a caller to an entry node. */
export interface Send {
  readonly id: number
  readonly key: string
  readonly fingerprint: string
}

interface Run {
  readonly cause: Send
  readonly body: number
}

/** What really happened on the targets, and what callers were told. Throws when the two contradict each other. */
export class Ledger {
  private readonly _runs = new Map<string, Run>()
  /** By key and fingerprint: the newest send that a `not-run` answer speaks for. */
  private readonly _notRunUpTo = new Map<string, number>()
  private _nextSend = 1
  private _nextBody = 1
  public answers = { answered: 0, 'not-run': 0, unknown: 0 }

  public get runCount (): number {
    return this._runs.size
  }

  public send (key: string, fingerprint: string): Send {
    return { id: this._nextSend++, key, fingerprint }
  }

  /** The request is written to a target. Returns the body of its answer, which no other run has. */
  public recordRun (cause: Send): Uint8Array {
    const { key, fingerprint } = cause
    const earlier = this._runs.get(key)
    if (earlier !== undefined) throw new Error(`Key ${key} ran twice: for send ${earlier.cause.id} and for send ${cause.id}.`)
    if (cause.id <= (this._notRunUpTo.get(`${key} ${fingerprint}`) ?? 0)) {
      throw new Error(`Send ${cause.id} of key ${key} ran after a not-run answer that speaks for it.`)
    }
    const body = this._nextBody++
    this._runs.set(key, { cause, body })
    return new Uint8Array([body & 255, body >> 8])
  }

  /** A caller is told the outcome of a send. */
  public recordAnswer (send: Send, answer: types.FinalAnswer): void {
    this.answers[answer.outcome]++
    const run = this._runs.get(send.key)
    if (answer.outcome === 'not-run') this._checkNotRun(send, run, answer)
    if (answer.outcome === 'answered') this._checkAnswer(send, run, answer)
  }

  private _checkNotRun (send: Send, run: Run | undefined, answer: types.FinalAnswer): void {
    if (run !== undefined && run.cause.fingerprint === send.fingerprint) {
      throw new Error(`Send ${send.id} was told not-run (${answer.reason}), but its key ${send.key} ran for send ${run.cause.id}.`)
    }
    this._notRunUpTo.set(`${send.key} ${send.fingerprint}`, this._nextSend - 1)
  }

  private _checkAnswer (send: Send, run: Run | undefined, answer: types.FinalAnswer): void {
    const body = answer.body === undefined ? undefined : (answer.body[0] ?? 0) + ((answer.body[1] ?? 0) << 8)
    if (run === undefined || run.body !== body || run.cause.fingerprint !== send.fingerprint) {
      throw new Error(`Send ${send.id} of key ${send.key} got the answer ${body}; the answer of its run is ${run?.body}.`)
    }
  }
}
