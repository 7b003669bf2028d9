/** Records what callers received and what targets ran during a soak, and checks the guarantees given to both. */

/** A request of a caller and its result. */
export interface SoakCall {
  readonly requestId: string
  readonly entry: string
  /** Key of the customer that the caller sent. */
  readonly customerKey?: string | undefined
  readonly isIdempotent: boolean
  readonly path: string
  readonly body: string
  readonly deadlineMs: number
  readonly startedAtMs: number
  endedAtMs: number
  /** When the caller closed its connection without an answer; Infinity if it did not. */
  leftAtMs: number
  /** 0 if the connection ended without a complete answer. */
  status: number
  saysNotRun: boolean
  answerId: string | undefined
  isMarked: boolean
  answerBody: string
  problem: string
}

export interface TargetRun {
  readonly requestId: string
  readonly targetId: string
  readonly atMs: number
}

/** Period in which a node was stopped or interrupted. */
export interface NodePeriod {
  readonly subject: string
  readonly fromMs: number
  readonly toMs: number
}

/** A call ends at its deadline; the tolerance covers transport to and from the node and a busy test machine. */
const DEADLINE_TOLERANCE_MS = 1_000

/** A target begins no work later than this after its caller has left. */
const LEFT_TOLERANCE_MS = 500

/** A target receives no work that was sent later than this after its leaving was acknowledged. */
const LEAVING_TOLERANCE_MS = 2_000

export class SoakLedger {
  public readonly calls: SoakCall[] = []
  public readonly runs: TargetRun[] = []
  /** Request ids of nested calls. */
  public readonly nestedCallIds = new Set<string>()
  /** Time at which the leaving of a target was acknowledged, by target id. */
  public readonly leavingAcknowledgedAtMs = new Map<string, number>()
  /** Planned stops of nodes that no other fault interrupted. */
  public readonly stops: NodePeriod[] = []
  /** Periods in which nodes were killed or paused. */
  public readonly interruptions: NodePeriod[] = []

  /** `isInTouch`: whether promises with a time bound hold for all of these nodes in this period. */
  constructor (private readonly _isInTouch: (names: readonly string[], fromMs: number, toMs: number) => boolean) {}

  /** Violated guarantees, one line each. */
  public check (): readonly string[] {
    const runs = new Map<string, TargetRun[]>()
    for (const run of this.runs) runs.set(run.requestId, [...runs.get(run.requestId) ?? [], run])
    const requested = new Set(this.calls.map(({ requestId }) => requestId))
    const unrequested = this.runs.filter(({ requestId }) => !requested.has(requestId) && !this.nestedCallIds.has(requestId)).map(({ requestId, targetId }) => `${targetId} ran ${requestId}, which no caller sent`)
    return [...this.calls.flatMap(call => this._findProblems(call, runs.get(call.requestId) ?? [])), ...this._findLateRuns(), ...unrequested]
  }

  /** Number of calls by the status of their answer, 0 without one. */
  public countByStatus (): ReadonlyMap<number, number> {
    const counts = new Map<number, number>()
    for (const { status } of this.calls) counts.set(status, (counts.get(status) ?? 0) + 1)
    return counts
  }

  private _findProblems (call: SoakCall, runs: readonly TargetRun[]): string[] {
    const problems: string[] = []
    const name = `${call.requestId} ${call.path} through ${call.entry}, status ${call.status} ${call.problem}`
    if (!call.isIdempotent && runs.length > 1) problems.push(`ran ${runs.length} times: ${name}`)
    if (call.saysNotRun && runs.length > 0) problems.push(`was refused as not run and ran on ${runs[0]?.targetId}: ${name}`)
    if (call.status !== 0 && call.answerId !== call.requestId) problems.push(`got the answer to ${call.answerId}: ${name}`)
    if (call.status === 200 && !isGenuineAnswer(call, runs)) problems.push(`got an answer that no target gave (${call.answerBody.slice(0, 80)}): ${name}`)
    for (const { targetId, atMs } of runs) {
      if (atMs - call.leftAtMs > LEFT_TOLERANCE_MS && this._isInTouch([call.entry, nodeOf(targetId)], call.startedAtMs, atMs)) problems.push(`ran on ${targetId} ${Math.round(atMs - call.leftAtMs)} ms after its caller had left: ${name}`)
    }
    if (call.status === 0 && call.leftAtMs === Infinity && runs.length > 0 && overlaps(call, this.stops)) problems.push(`was cut by a planned stop: ${name}`)
    if (call.endedAtMs - call.startedAtMs > call.deadlineMs + DEADLINE_TOLERANCE_MS && !overlaps(call, this.interruptions)) problems.push(`waited ${Math.round(call.endedAtMs - call.startedAtMs)} ms: ${name}`)
    return problems
  }

  private _findLateRuns (): string[] {
    const calls = new Map(this.calls.map(call => [call.requestId, call]))
    return this.runs.flatMap(({ targetId, requestId, atMs }) => {
      const leftAtMs = this.leavingAcknowledgedAtMs.get(targetId) ?? Infinity
      const startedAtMs = calls.get(requestId)?.startedAtMs ?? 0
      if (atMs <= leftAtMs + LEAVING_TOLERANCE_MS || startedAtMs <= leftAtMs + LEAVING_TOLERANCE_MS) return []
      return [`${targetId} ran ${requestId} ${Math.round(atMs - leftAtMs)} ms after its leaving was acknowledged`]
    })
  }
}

/** Name of the node beside a target. */
function nodeOf (targetId: string): string {
  return targetId.slice(0, targetId.lastIndexOf('-t'))
}

function overlaps (call: SoakCall, periods: readonly NodePeriod[]): boolean {
  return periods.some(({ subject, fromMs, toMs }) => subject === call.entry && call.endedAtMs >= fromMs && call.startedAtMs <= toMs)
}

/** Whether a target that ran the call gave this answer: its id and the method, path and body of the request. */
function isGenuineAnswer (call: SoakCall, runs: readonly TargetRun[]): boolean {
  if (!call.isMarked) return false
  return runs.some(({ targetId }) => call.answerBody === `${targetId} ${call.isIdempotent ? 'GET' : 'POST'} ${call.path} ${call.body}`)
}
