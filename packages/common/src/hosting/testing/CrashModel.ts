import * as crashes from '../CrashTable.js'
import * as fixture from './Fixture.js'
import * as mesh from '../../routing/FakeMesh.js'
import type * as entryCalls from '../../routing/EntryCalls.js'
import type * as messages from '../../node/Messages.js'
import type * as routing from '../../routing/Types.js'
import type * as types from '../Types.js'

const TARGET_DIED: types.RunResult = { kind: 'lost', reason: 'target-lost', targetDied: true }

/** High enough that only the crash records end the retries. */
const MAX_ATTEMPTS = 10

interface Entry {
  readonly calls: entryCalls.EntryCalls
  mostInFlight: number
}

type InFlight =
  | { readonly kind: 'call', readonly entry: Entry, readonly to: string, readonly call: messages.CallMessage }
  | { readonly kind: 'run', readonly entry: Entry, readonly to: string, readonly callId: number, readonly runId: number }
  | { readonly kind: 'answer', readonly entry: Entry, readonly to: string, readonly answer: messages.AnswerMessage }

export interface CrashModelOptions {
  readonly hosts: number
  readonly entries: number
  /** Fingerprints of calls that run on each target when the crashing call arrives. */
  readonly concurrentFingerprints?: readonly string[]
  /** Targets run one call at a time, so that the request never runs twice on a target at the same time. */
  readonly hasSerialTargets?: boolean
  /** Calls and answers carry no crash records, as with peers of an older version. */
  readonly omitsCrashRecords?: boolean
}

/**
 * Entry nodes that send one idempotent request, which crashes each target that runs it. Nodes exchange crash records only
 * in calls and answers, so the number of lost targets is that without gossip.
 */
export class CrashModel {
  public lostTargets = 0
  private readonly _hosts = new Map<string, fixture.Host>()
  private readonly _entries: readonly Entry[]
  private readonly _inFlight: InFlight[] = []
  private _nowMs = fixture.T0

  constructor (private readonly _options: CrashModelOptions) {
    const rows = Array.from({ length: _options.hosts }, (_, i) => mesh.rowOf({ nodeId: `n${i}` }))
    for (const { nodeId } of rows) this._hosts.set(nodeId, new fixture.Host({ self: { nodeId, incarnation: fixture.T0 - 10_000 } }))
    const document = mesh.documentOf({ routes: [mesh.routeOf({ retry: { maxAttempts: MAX_ATTEMPTS } })] })
    this._entries = Array.from({ length: _options.entries }, (_, i) => {
      const table = new crashes.CrashTable()
      // Only the crash records may end the retries, not the retry budget.
      const calls = mesh.fillRetryBudget(new mesh.FakeMesh(rows, document).entryCalls(i + 1, undefined, table), this._nowMs)
      return { calls, mostInFlight: 0 }
    })
  }

  public begin (entryIndex: number): void {
    const entry = this._entries[entryIndex % this._entries.length]
    if (entry === undefined) return
    this._perform(entry, entry.calls.begin(mesh.requestOf({}), this._nowMs))
    entry.mostInFlight = Math.max(entry.mostInFlight, entry.calls.inFlight)
  }

  /** Sum over the entry nodes of the highest number of calls in flight at the same time. */
  public get mostInFlight (): number {
    return this._entries.reduce((sum, entry) => sum + entry.mostInFlight, 0)
  }

  /** Number of calls and answers in transit and of runs on targets. */
  public get inFlight (): number {
    return this._inFlight.length
  }

  /** Takes the next step of one of the calls in flight. */
  public step (index: number): void {
    const [item] = this._inFlight.splice(index % Math.max(1, this._inFlight.length), 1)
    if (item === undefined) return
    this._nowMs++
    if (item.kind === 'call') this._accept(item)
    else if (item.kind === 'run') this._crash(item)
    else this._handleAnswer(item)
  }

  public stepAll (): void {
    while (this.inFlight > 0) this.step(0)
  }

  private _startConcurrentCalls (host: fixture.Host): void {
    for (const fingerprint of this._options.concurrentFingerprints ?? []) {
      const decision = host.calls.accept('entry', fixture.call(this._nowMs, { fingerprint }), this._nowMs)
      if (decision.kind === 'run') host.calls.start(decision.runId, this._nowMs)
    }
  }

  private _accept (item: InFlight & { kind: 'call' }): void {
    if (this._options.hasSerialTargets === true && this._inFlight.some(other => other.kind === 'run' && other.to === item.to)) {
      this._inFlight.push(item)
      return
    }
    const host = this._host(item.to)
    const decision = host.calls.accept('entry', item.call, this._nowMs)
    if (decision.kind === 'answer') this._reply(item, item.call.callId, decision.answer)
    else if (decision.kind === 'run') this._start(item, host, decision.runId)
  }

  private _start (item: InFlight & { kind: 'call' }, host: fixture.Host, runId: number): void {
    this._startConcurrentCalls(host)
    if (host.calls.start(runId, this._nowMs)) {
      this._inFlight.push({ kind: 'run', entry: item.entry, to: item.to, callId: item.call.callId, runId })
    } else {
      this._reply(item, item.call.callId, host.calls.finish(runId, { kind: 'not-started', reason: 'no-target' }, this._nowMs))
    }
  }

  /** Crashes the target and loses all calls that run on it. */
  private _crash (item: InFlight & { kind: 'run' }): void {
    const host = this._host(item.to)
    if (host.targetReady) this.lostTargets++
    host.targetReady = false
    this._reply(item, item.callId, host.calls.finish(item.runId, TARGET_DIED, this._nowMs))
    for (const other of this._inFlight.filter(other => other.kind === 'run' && other.to === item.to)) {
      if (other.kind !== 'run') continue
      this._inFlight.splice(this._inFlight.indexOf(other), 1)
      this._reply(other, other.callId, host.calls.finish(other.runId, TARGET_DIED, this._nowMs))
    }
  }

  private _handleAnswer (item: InFlight & { kind: 'answer' }): void {
    const decision = item.entry.calls.handleAnswer(item.answer.callId, item.to, item.answer, this._nowMs)
    if (decision !== undefined) this._perform(item.entry, decision)
  }

  private _reply (item: InFlight, callId: number, final: types.FinalAnswer): void {
    const { crashes, ...fields } = final
    const carried = crashes === undefined || this._options.omitsCrashRecords === true ? {} : { crashes }
    this._inFlight.push({ kind: 'answer', entry: item.entry, to: item.to, answer: mesh.answerOf(callId, { ...fields, ...carried }) })
  }

  private _perform (entry: Entry, decision: routing.EntryDecision): void {
    if (decision.kind !== 'send') return
    const { callId, to, attempt, fingerprint, crashes } = decision
    const carried = crashes === undefined || this._options.omitsCrashRecords === true ? {} : { crashes }
    const call = fixture.call(this._nowMs, { callId, attempt, fingerprint, ...carried })
    this._inFlight.push({ kind: 'call', entry, to, call })
  }

  private _host (nodeId: string): fixture.Host {
    const host = this._hosts.get(nodeId)
    if (host === undefined) throw new Error(`Unknown host ${nodeId}.`)
    return host
  }
}
