/** What callers saw and what targets ran during a soak, and the promises that both have to keep. */

/** A request of a caller and what became of it. */
export interface SoakCall {
  readonly requestId: string
  readonly entry: string
  readonly isIdempotent: boolean
  readonly path: string
  readonly body: string
  readonly deadlineMs: number
  readonly beganAtMs: number
  endedAtMs: number
  /** 0 if the connection ended without a whole answer. */
  status: number
  saysNotRun: boolean
  answerId: string | undefined
  isMarked: boolean
  answerBody: string
  problem: string
}

export interface SoakRun {
  readonly requestId: string
  readonly targetId: string
  readonly atMs: number
}

/** A time in the life of a node. */
export interface Span {
  readonly subject: string
  readonly fromMs: number
  readonly toMs: number
}

/** A call ends at its deadline; the rest is for the ways there and back and for the busy machine of the soak. */
const LATE_MS = 1_000

/** A target gets no work that was sent later than this after its leaving was acknowledged. */
const LEAVING_MS = 2_000

export class SoakLedger {
  public readonly calls: SoakCall[] = []
  public readonly runs: SoakRun[] = []
  /** Ids of calls that targets made themselves. */
  public readonly callsOfTargets = new Set<string>()
  /** When the leaving of a target was acknowledged. */
  public readonly leavings = new Map<string, number>()
  /** Planned stops of nodes that nothing else harmed. */
  public readonly stops: Span[] = []
  /** Nodes that were killed or stood still. */
  public readonly interruptions: Span[] = []

  /** Broken promises, one line each. */
  public check (): readonly string[] {
    const runs = new Map<string, SoakRun[]>()
    for (const run of this.runs) runs.set(run.requestId, [...runs.get(run.requestId) ?? [], run])
    const asked = new Set(this.calls.map(({ requestId }) => requestId))
    const unasked = this.runs.filter(({ requestId }) => !asked.has(requestId) && !this.callsOfTargets.has(requestId)).map(({ requestId, targetId }) => `${targetId} ran ${requestId}, which no caller sent`)
    return [...this.calls.flatMap(call => this._problemsOf(call, runs.get(call.requestId) ?? [])), ...this._lateWork(), ...unasked]
  }

  private _problemsOf (call: SoakCall, runs: readonly SoakRun[]): string[] {
    const problems: string[] = []
    const name = `${call.requestId} ${call.path} through ${call.entry}, status ${call.status} ${call.problem}`
    if (!call.isIdempotent && runs.length > 1) problems.push(`ran ${runs.length} times: ${name}`)
    if (call.saysNotRun && runs.length > 0) problems.push(`was refused as not run and ran on ${runs[0]?.targetId}: ${name}`)
    if (call.status !== 0 && call.answerId !== call.requestId) problems.push(`got the answer to ${call.answerId}: ${name}`)
    if (call.status === 200 && !isAnswerOf(call, runs)) problems.push(`got an answer that no target gave (${call.answerBody.slice(0, 80)}): ${name}`)
    if (call.status === 0 && runs.length > 0 && overlaps(call, this.stops)) problems.push(`was cut by a planned stop: ${name}`)
    if (call.endedAtMs - call.beganAtMs > call.deadlineMs + LATE_MS && !overlaps(call, this.interruptions)) problems.push(`waited ${Math.round(call.endedAtMs - call.beganAtMs)} ms: ${name}`)
    return problems
  }

  private _lateWork (): string[] {
    const calls = new Map(this.calls.map(call => [call.requestId, call]))
    return this.runs.flatMap(({ targetId, requestId, atMs }) => {
      const leftAtMs = this.leavings.get(targetId) ?? Infinity
      const beganAtMs = calls.get(requestId)?.beganAtMs ?? 0
      if (atMs <= leftAtMs + LEAVING_MS || beganAtMs <= leftAtMs + LEAVING_MS) return []
      return [`${targetId} ran ${requestId} ${Math.round(atMs - leftAtMs)} ms after its leaving was acknowledged`]
    })
  }
}

function overlaps (call: SoakCall, spans: readonly Span[]): boolean {
  return spans.some(({ subject, fromMs, toMs }) => subject === call.entry && call.endedAtMs >= fromMs && call.beganAtMs <= toMs)
}

/** Targets answer with their id, the method, the path and the body of the request. */
function isAnswerOf (call: SoakCall, runs: readonly SoakRun[]): boolean {
  if (!call.isMarked) return false
  return runs.some(({ targetId }) => call.answerBody === `${targetId} ${call.isIdempotent ? 'GET' : 'POST'} ${call.path} ${call.body}`)
}
