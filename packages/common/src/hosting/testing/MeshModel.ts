import * as fake from './FakeMembership.js'
import * as fixture from './Fixture.js'
import * as ledgers from './Ledger.js'
import type * as config from '../../config/Types.js'
import type * as members from '../../membership/Types.js'
import type * as messages from '../../node/Messages.js'
import * as modelLog from './ModelLog.js'
import * as processes from './ModelProcess.js'
import type * as types from '../Types.js'

const TICK_MS = 500
const LOG_RETENTION_MS = 60_000

/** Bounds the way through the rows of nodes that have left. */
const MAX_SUCCESSORS = 8

const DOCUMENT: config.ConfigDocument = {
  ...fixture.DOCUMENT,
  terms: { ...fixture.DOCUMENT.terms, drainMs: 6_000, ownershipHorizonMs: 8_000, keyRetentionMs: 15_000 }
}

/** A VM. Its clock has a fixed difference to the true time and does not step back. */
interface Vm {
  readonly nodeId: string
  readonly clockOffsetMs: number
  process: processes.ModelProcess | undefined
  isFrozen: boolean
  /** Reads and member rows do not arrive while set. */
  isLagging: boolean
}

type InFlight =
  | { readonly kind: 'call', readonly to: string, readonly from: string, readonly call: messages.CallMessage, readonly send: ledgers.Send, readonly owner?: processes.Job['owner'] }
  | { readonly kind: 'delegate-answer', readonly process: processes.ModelProcess, readonly runId: number, readonly result: types.RunResult }
  | { readonly kind: 'peer', readonly to: string, readonly from: string, readonly message: messages.LifecycleMessage }
  | { readonly kind: 'append', readonly process: processes.ModelProcess, readonly requestId: string, readonly data: unknown }

/** A small mesh with messages and appends that can be delayed, reordered, repeated and lost at will. */
export class MeshModel {
  public readonly ledger = new ledgers.Ledger()
  public readonly log = new modelLog.ModelLog(LOG_RETENTION_MS)
  public nowMs = fixture.T0
  /** Appends stay in flight until they are delivered. */
  public hasSlowLog = false
  private readonly _vms: Vm[]
  private readonly _rows = new Map<string, members.MemberRow>()
  private readonly _inFlight: InFlight[] = []
  private readonly _keys: string[] = []
  private _delegateChoice = 0

  constructor (nodes: number, private readonly _off: ReadonlySet<processes.Mechanism>) {
    this._vms = Array.from({ length: nodes }, (_, i) => ({
      nodeId: `n${i}`, clockOffsetMs: (i * 83) % 240 - 120, process: undefined, isFrozen: false, isLagging: false
    }))
    for (let i = 0; i < nodes; i++) this.restart(i)
    this.advance(10_000)
  }

  /** Sends a new key that a caller with a wrong clock has issued. */
  public sendNew (via: number, skewMs: number, direct: boolean): void {
    this._keys.push(fixture.keyAt(this.nowMs + skewMs, this._keys.length + 1))
    this.send(this._keys.length - 1, via, 'f1', direct)
  }

  /** Sends a key through an entry node by its own table, or directly to that node as if another table named it. */
  public send (keyIndex: number, via: number, fingerprint: string, direct: boolean): void {
    const key = pick(this._keys, keyIndex)
    const entry = this._running(via)
    if (key === undefined || entry === undefined) return
    const send = this.ledger.send(key, fingerprint)
    const to = direct ? entry.process.nodeId : ownerOf(entry.process, key)
    // An entry node that knows no owner cannot tell whether another send of the key was run.
    if (to === undefined) return
    const nowMs = this._clock(entry)
    const call = fixture.call(nowMs, { callId: entry.process.nextCallId++, key, fingerprint, remainingMs: 3_000 })
    this._inFlight.push({ kind: 'call', to, from: entry.nodeId, call, send })
  }

  public deliver (index: number, again: boolean): void {
    const item = pick(this._inFlight, index)
    if (item === undefined) return
    const vm = this._vms.find(candidate => candidate.nodeId === target(item))
    if (vm?.isFrozen === true && item.kind !== 'append') return
    if (!again) this._inFlight.splice(this._inFlight.indexOf(item), 1)
    this._receive(item, vm)
  }

  public deliverAll (): void {
    for (const item of [...this._inFlight]) this.deliver(this._inFlight.indexOf(item), false)
  }

  public drop (index: number): void {
    const item = pick(this._inFlight, index)
    if (item === undefined) return
    this._inFlight.splice(this._inFlight.indexOf(item), 1)
    if (item.kind === 'append') item.process.log.logAppended(appendResult(item.requestId, 'unknown', -1), this.nowMs)
  }

  public stepAll (): void {
    const jobs = this._vms.reduce((sum, vm) => sum + (vm.process?.jobs.length ?? 0), 0)
    for (let i = 0; i < jobs; i++) this.step(i, false)
  }

  /** Takes the next step of an accepted call: ask to start, write to the target, answer. */
  public step (index: number, lose: boolean): void {
    const jobs = this._vms.flatMap(vm => vm.isFrozen || vm.process === undefined ? [] : vm.process.jobs.map(job => ({ vm, process: vm.process, job })))
    const chosen = pick(jobs, index)
    if (chosen?.process === undefined) return
    const { vm, process, job } = chosen
    const nowMs = this._clock(vm)
    if (job.stage === 'queued') {
      if (process.calls.start(job.runId, nowMs)) job.stage = 'started'
      else this._finish(process, job, { kind: 'not-started', reason: 'overloaded' }, nowMs)
    } else if (job.stage === 'started') {
      job.body = this.ledger.recordRun(job.cause)
      job.stage = 'written'
    } else if (lose) {
      this._finish(process, job, { kind: 'lost', reason: 'target-lost', targetDied: false }, nowMs)
    } else if (job.stage === 'written') {
      this._finish(process, job, { kind: 'answered', status: 200, headers: {}, body: job.body, streamed: false, serviceMs: 10 }, nowMs)
    }
  }

  public cancel (index: number): void {
    const vm = this._running(index)
    const job = pick(vm?.process.jobs ?? [], index)
    if (vm !== undefined && job !== undefined) vm.process.calls.cancel(job.runId, this._clock(vm))
  }

  public advance (ms: number): void {
    for (let left = ms; left > 0; left -= TICK_MS) {
      this.nowMs += Math.min(left, TICK_MS)
      this.log.expire(this.nowMs)
      for (const vm of this._vms) this._tick(vm)
    }
  }

  public crash (index: number): void {
    const vm = pick(this._vms, index)
    if (vm?.process === undefined) return
    const row = vm.process.membership.self
    vm.process = undefined
    vm.isFrozen = false
    if (row.state !== 'left') this._rows.set(vm.nodeId, { ...row, state: 'dead' })
  }

  /** Starts a process with empty memory; one that still exists, frozen or not, is killed first. */
  public restart (index: number): void {
    const vm = pick(this._vms, index)
    if (vm === undefined) return
    const startedAtMs = this._clock(vm)
    const incarnation = Math.max(startedAtMs, (this._rows.get(vm.nodeId)?.incarnation ?? 0) + 1)
    vm.isFrozen = false
    vm.process = new processes.ModelProcess({
      nodeId: vm.nodeId,
      startedAtMs,
      incarnation,
      document: DOCUMENT,
      onStateSet: row => { this._rows.set(row.nodeId, row) },
      chooseDelegate: from => this._chooseDelegate(from),
      disabled: this._off
    })
    this._rows.set(vm.nodeId, vm.process.membership.self)
  }

  public freeze (index: number, frozen: boolean): void {
    const vm = pick(this._vms, index)
    if (vm?.process === undefined || vm.isFrozen === frozen) return
    vm.isFrozen = frozen
    if (!frozen && this._rows.get(vm.nodeId)?.state === 'dead') this._refute(vm.process)
  }

  /** The others take a frozen node for dead. */
  public suspect (index: number): void {
    const vm = pick(this._vms, index)
    if (vm?.process !== undefined && vm.isFrozen) this._rows.set(vm.nodeId, { ...vm.process.membership.self, state: 'dead' })
  }

  public lag (index: number, lagging: boolean): void {
    const vm = pick(this._vms, index)
    if (vm !== undefined) vm.isLagging = lagging
  }

  public setTarget (index: number, ready: boolean): void {
    const vm = this._running(index)
    if (vm !== undefined) vm.process.targetReady = ready
  }

  public drain (index: number): void {
    const vm = this._running(index)
    if (vm !== undefined) this._update(vm.process, vm.process.lifecycle.beginDrain(this._clock(vm)))
  }

  public isRunning (index: number): boolean {
    return pick(this._vms, index)?.process !== undefined
  }

  public hasInherited (index: number): boolean {
    return (pick(this._vms, index)?.process?.calls.inherited.length ?? 0) > 0
  }

  public stop (index: number): void {
    const vm = this._running(index)
    if (vm !== undefined) this._update(vm.process, vm.process.lifecycle.beginStop(this._clock(vm)))
  }

  public undrain (index: number): void {
    const vm = this._running(index)
    if (vm !== undefined) vm.process.lifecycle.undrain(this._clock(vm))
  }

  /** A table update from one peer to another. */
  public push (from: number, to: number): void {
    const [source, sink] = [this._running(from), this._running(to)]
    if (source === undefined || sink === undefined) return
    sink.process.table.merge(structuredClone(source.process.table.updateSince(sink.process.table.tableVersion)))
  }

  /** A record that moves every partition at once, as a faulty reader could append it. */
  public moveCarelessly (to: number, by: number, aheadMs: number): void {
    const [source, owner] = [this._running(by), this._running(to)]
    if (source === undefined || owner === undefined || !this.log.isUp) return
    const startsAtMs = this.nowMs + aheadMs
    const services = fixture.windowsOfAllPartitions({ nodeId: owner.nodeId, incarnation: owner.process.incarnation }, startsAtMs)
    this.log.append({ kind: 'partitions', baseTableVersion: source.process.table.tableVersion, startsAtMs, services }, this.nowMs)
  }

  public chooseDelegates (choice: number): void {
    this._delegateChoice = choice
  }

  private _tick (vm: Vm): void {
    if (vm.process === undefined || vm.isFrozen) return
    const { process } = vm
    if (!vm.isLagging) {
      process.sync(this._rows.values())
      this.push(this._vms.indexOf(vm) + 1, this._vms.indexOf(vm))
    }
    const nowMs = this._clock(vm)
    this._update(process, process.tick(nowMs, vm === this._vms[0] || vm === this._vms[1]))
    for (const effect of process.effects.splice(0)) this._perform(vm, process, effect, nowMs)
    if (process.lifecycle.canExit(nowMs)) this.crash(this._vms.indexOf(vm))
  }

  private _perform (vm: Vm, process: processes.ModelProcess, effect: messages.Effect, nowMs: number): void {
    if (effect.kind === 'send') {
      const { message } = effect
      if (message.kind === 'handover' || message.kind === 'handover-ack' || message.kind === 'handover-refusal') {
        this._inFlight.push({ kind: 'peer', to: effect.to, from: vm.nodeId, message: structuredClone(message) })
      }
    } else if (effect.kind === 'read-log') {
      const result = this.log.read(effect.fromOffset, effect.limit)
      process.log.logRead(vm.isLagging ? { ...result, ok: false, records: [] } : result, nowMs)
    } else {
      const item: InFlight = { kind: 'append', process, requestId: effect.requestId, data: effect.data }
      if (this.hasSlowLog) this._inFlight.push(item)
      else this._receive(item, vm)
    }
  }

  private _receive (item: InFlight, vm: Vm | undefined): void {
    if (item.kind === 'append') this._append(item.process, item.requestId, item.data)
    else if (item.kind === 'delegate-answer') this._delegateAnswered(item)
    else if (vm?.process !== undefined) this._receiveAt(vm, vm.process, item)
  }

  private _receiveAt (vm: Vm, process: processes.ModelProcess, item: InFlight & { kind: 'peer' | 'call' }): void {
    if (item.kind === 'peer') process.lifecycle.receive(item.from, item.message, this._clock(vm))
    else this._accept(vm, process, item)
  }

  private _accept (vm: Vm, process: processes.ModelProcess, item: InFlight & { kind: 'call' }): void {
    // With this mechanism off, the owner cannot tell how long a send was on its way.
    const call = this._off.has('stale-send') ? { ...item.call, sentAtMs: this._clock(vm) } : item.call
    const decision = process.calls.accept(item.from, call, this._clock(vm))
    if (decision.kind === 'answer') this._answer(item, decision.answer)
    else if (decision.kind === 'join') process.jobs.find(job => job.runId === decision.runId)?.sends.push(item.send)
    else this._addJob(process, decision, item)
  }

  private _addJob (process: processes.ModelProcess, decision: types.HostDecision & { kind: 'run' | 'delegate' }, item: InFlight & { kind: 'call' }): void {
    const job: processes.Job = {
      runId: decision.runId,
      cause: item.send,
      sends: item.owner === undefined ? [item.send] : [],
      stage: decision.kind === 'run' ? 'queued' : 'delegated',
      body: undefined,
      ...(item.owner === undefined ? {} : { owner: item.owner })
    }
    process.jobs.push(job)
    if (decision.kind === 'delegate') this._delegate(process, job, decision.to)
  }

  private _delegate (process: processes.ModelProcess, job: processes.Job, to: string): void {
    const vm = this._vms.find(candidate => candidate.process === process)
    const nowMs = vm === undefined ? this.nowMs : this._clock(vm)
    const { key, fingerprint } = job.cause
    const call = fixture.call(nowMs, { callId: process.nextCallId++, key, fingerprint, remainingMs: 3_000, delegatedBy: process.nodeId })
    this._inFlight.push({ kind: 'call', to, from: process.nodeId, call, send: job.cause, owner: { process, runId: job.runId } })
  }

  private _answer (item: InFlight & { kind: 'call' }, answer: types.FinalAnswer): void {
    if (item.owner === undefined) this.ledger.recordAnswer(item.send, answer)
    else this._inFlight.push({ kind: 'delegate-answer', ...item.owner, result: toResult(answer) })
  }

  private _delegateAnswered (item: InFlight & { kind: 'delegate-answer' }): void {
    const vm = this._vms.find(candidate => candidate.process === item.process)
    const job = item.process.jobs.find(candidate => candidate.runId === item.runId)
    if (vm !== undefined && job !== undefined) this._finish(item.process, job, item.result, this._clock(vm))
  }

  private _finish (process: processes.ModelProcess, job: processes.Job, result: types.RunResult, nowMs: number): void {
    const answer = process.calls.finish(job.runId, result, nowMs)
    this._end(process, job, answer)
  }

  private _end (process: processes.ModelProcess, job: processes.Job, answer: types.FinalAnswer): void {
    process.jobs.splice(process.jobs.indexOf(job), 1)
    for (const send of job.sends) this.ledger.recordAnswer(send, answer)
    if (job.owner !== undefined) this._inFlight.push({ kind: 'delegate-answer', ...job.owner, result: toResult(answer) })
  }

  private _update (process: processes.ModelProcess, updates: readonly types.HostUpdate[]): void {
    for (const update of updates) {
      const job = process.jobs.find(candidate => candidate.runId === update.runId)
      if (job === undefined) continue
      if (update.kind === 'answer') {
        this._end(process, job, update.answer)
      } else {
        Object.assign(job, { runId: update.delegateRunId, stage: 'delegated' })
        this._delegate(process, job, update.to)
      }
    }
  }

  private _append (process: processes.ModelProcess, requestId: string, data: unknown): void {
    const result = this.log.isUp ? appendResult(requestId, 'appended', this.log.append(data, this.nowMs)) : appendResult(requestId, 'unknown', -1)
    const vm = this._vms.find(candidate => candidate.process === process)
    if (vm === undefined || vm.isFrozen) return
    process.log.logAppended(result, this._clock(vm))
    process.lifecycle.logAppended(result, this._clock(vm))
  }

  private _refute (process: processes.ModelProcess): void {
    process.incarnation++
    const row = { ...process.membership.self, incarnation: process.incarnation }
    process.membership.set(row)
    this._rows.set(row.nodeId, row)
  }

  private _chooseDelegate (from: processes.ModelProcess): { nodeId: string, address: string } | undefined {
    if (this._delegateChoice === 0) return undefined
    const others = this._vms.filter(vm => vm.nodeId !== from.nodeId)
    const { nodeId } = pick(others, this._delegateChoice) ?? { nodeId: '' }
    return nodeId === '' ? undefined : { nodeId, address: fake.memberRow(nodeId, 0).peerAddress }
  }

  private _running (index: number): Vm & { process: processes.ModelProcess } | undefined {
    const vm = pick(this._vms, index)
    return vm?.process === undefined || vm.isFrozen ? undefined : vm as Vm & { process: processes.ModelProcess }
  }

  private _clock (vm: Vm): number {
    return this.nowMs + vm.clockOffsetMs
  }
}

function pick<T> (list: readonly T[], index: number): T | undefined {
  return list.length === 0 ? undefined : list[index % list.length]
}

function target (item: InFlight): string {
  return 'to' in item ? item.to : item.process.nodeId
}

/** The owner by this node's table, or its successor by the table or by the row of the owner. */
function ownerOf (process: processes.ModelProcess, key: string): string | undefined {
  const lookup = process.table.ownerOf(fixture.SERVICE, key).unwrapOr(undefined)
  if (lookup?.kind !== 'owner') return undefined
  let to = lookup.sendTo
  for (let hops = 0; hops < MAX_SUCCESSORS; hops++) {
    const row = process.membership.get(to)
    if (row?.state !== 'left' || row.successor === '') break
    to = row.successor
  }
  return to
}

function toResult (answer: types.FinalAnswer): types.RunResult {
  const { status, headers, body, reason } = answer
  if (answer.outcome === 'answered') return { kind: 'answered', status, headers, body, streamed: false, serviceMs: 10 }
  if (answer.outcome === 'not-run') return { kind: 'not-started', reason }
  return { kind: 'lost', reason, targetDied: false }
}

function appendResult (requestId: string, status: messages.LogAppendResult['status'], offset: number): messages.LogAppendResult {
  return { stream: 'ownership', requestId, status, offset }
}
