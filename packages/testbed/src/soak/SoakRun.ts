import * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'
import * as customerLedger from './CustomerLedger.js'
import * as customerLoad from './CustomerLoad.js'
import * as documents from '@elmpost/platform/standins/Documents.js'
import * as faultPlan from './FaultPlan.js'
import * as fleetFaults from './FleetFaults.js'
import * as harmfulLedger from './HarmfulLedger.js'
import * as noticeLedger from './NoticeLedger.js'
import * as random from '@elmpost/common/base/Random.js'
import * as retryLedger from './RetryLedger.js'
import * as rulesFormat from '@elmpost/platform/RulesFormat.js'
import * as soakLedger from './SoakLedger.js'
import * as soakNode from './SoakNode.js'
import * as soakRollout from './SoakRollout.js'
import * as storeStandIn from '@elmpost/platform/standins/StoreStandIn.js'
import * as timers from 'node:timers/promises'
import * as touchLedger from './TouchLedger.js'
import * as versionWatch from './VersionWatch.js'
import type * as types from './Types.js'

const ZONES = ['vake', 'didube']
const SERVICES = ['till', 'vault']
const CALLS_PER_S = 120
/** Share of the idempotent calls with which targets crash, while faults are injected. */
const HARMFUL_SHARE = 0.01
/** Share of the idempotent calls whose callers leave early, and when. */
const LEAVING_SHARE = 0.15
const MIN_LEAVE_MS = 20
const MAX_LEAVE_MS = 600
/**
 * Settings of the targets, which the seeds take in turn: the share of answers lost by all targets while faults are injected, and
 * the slots of each target. Without free slots the host nodes refuse most retries, and these never reach a target.
 */
const TARGETS = [{ lostShare: 0, slots: 4 }, { lostShare: 0.05, slots: 4 }, { lostShare: 0.9, slots: 16 }] as const
const DEADLINE_MS = 1_500
const MAX_SENDS = 3
/** Answers after which a caller does not send its request again: a success, and the refusal of its key. */
const FINAL_STATUSES = [200, 401]
const MAX_RETRY_DELAY_MS = 400
const POLL_INTERVAL_MS = 50
const START_TIMEOUT_MS = 20_000
/** Required by the users: most calls are served again within this time after the last fault. */
const RECOVERY_TIMEOUT_MS = 15_000
const RECOVERED_SHARE = 0.95
const RECOVERY_CALLS = 100
/** Time for which a leaving target continues to serve. */
const TARGET_DRAIN_MS = 2_500
/** Time for which the store is away before it comes back from a copy. */
const OUTAGE_MS = 400
const NODES_TOPIC = 'keyed.elmpost-nodes'

/** One soak: real processes under load, faults from a seeded plan, and checks of what callers received and targets ran. */
export class SoakRun {
  private readonly _options: types.SoakOptions
  private readonly _random: random.Random
  private readonly _store = new storeStandIn.StoreStandIn()
  private readonly _touch = new touchLedger.TouchLedger()
  private readonly _ledger = new soakLedger.SoakLedger((names, fromMs, toMs) => this._touch.isCalm(names, fromMs, toMs))
  private readonly _retries = new retryLedger.RetryLedger()
  private readonly _notices = new noticeLedger.NoticeLedger()
  private readonly _harmful = new harmfulLedger.HarmfulLedger((requestId, atMs) => this._touch.isCalm([this._ledger.calls.find(call => call.requestId === requestId)?.entry ?? ''], atMs, atMs))
  private readonly _customers = new customerLedger.CustomerLedger((entry, fromMs, toMs) => this._touch.isCalm([entry, touchLedger.STORE], fromMs, toMs))
  private readonly _customerLoad: customerLoad.CustomerLoad
  private readonly _rollout: soakRollout.SoakRollout
  private readonly _harmfulRandom: random.Random
  private readonly _versions: versionWatch.VersionWatch
  private readonly _nodes: soakNode.SoakNode[] = []
  private readonly _pending = new Set<Promise<void>>()
  private _isLoading = true
  private readonly _targets: typeof TARGETS[number]
  private _isLosingAnswers = false
  private readonly _paused = new Set<soakNode.SoakNode>()
  private readonly _fleetFaults = new fleetFaults.FleetFaults({
    nodes: this._nodes,
    isPaused: node => this._paused.has(node),
    killNode: node => this._killNode(node),
    cutStore: (node, durationMs) => this._injectLinkFault(node, node.storeRelay, 'silent', durationMs),
    publish: () => { this._versions.publishNext() }
  })

  private _nextCall = 1

  constructor (options: types.SoakOptions) {
    this._options = options
    this._random = new random.Random(options.seed + 1)
    this._harmfulRandom = new random.Random(options.seed + 2)
    this._customerLoad = new customerLoad.CustomerLoad(options.seed)
    this._rollout = new soakRollout.SoakRollout(options.seed, SERVICES[0] ?? '', this._store)
    this._targets = TARGETS[options.seed % TARGETS.length] ?? TARGETS[0]
    this._versions = new versionWatch.VersionWatch(version => { this._configure(version) }, (name, fromMs, toMs) => this._touch.isCalm([name, touchLedger.STORE], fromMs, toMs))
  }

  public async run (): Promise<types.SoakResult> {
    const plan = faultPlan.createFaultPlan(this._options)
    try {
      await this._start()
      const load = this._generateLoad()
      const watch = this._versions.watch(this._nodes, () => this._isLoading)
      const rollout = this._rollout.run(this._nodes, () => this._isLoading)
      await this._injectFaults(plan)
      const problems = await this._recover()
      this._isLoading = false
      await Promise.all([load, watch, rollout])
      await Promise.all(this._pending)
      return this._collectResult(plan, problems)
    } finally {
      this._isLoading = false
      await Promise.all(this._nodes.map(async node => { await node.close() }))
      await this._store.close()
    }
  }

  private async _start (): Promise<void> {
    const storePort = Number((await this._store.listen()).split(':')[1])
    this._versions.publishNext()
    const { nodeCount, program, folder } = this._options
    for (let at = 0; at < nodeCount + this._rollout.countAdded(nodeCount); at++) {
      const service = SERVICES[at < nodeCount ? at % 2 : 0] ?? ''
      const node = new soakNode.SoakNode({ name: `vm-${at + 1}`, service, zone: ZONES[(at >> 1) % 2] ?? '', slots: this._targets.slots, program, folder, store: this._store, storePort })
      node.onLeavingAcknowledged = targetId => {
        if (!this._ledger.leavingAcknowledgedAtMs.has(targetId)) this._ledger.leavingAcknowledgedAtMs.set(targetId, performance.now())
      }
      this._instrumentTarget(node)
      if (at >= nodeCount) this._rollout.prepare(node)
      this._nodes.push(node)
    }
    await Promise.all(this._nodes.map(async node => { await node.start() }))
    if (!await this._waitUntil(START_TIMEOUT_MS, async () => await this._servedShare(2) === 1)) throw new Error('The nodes do not serve calls before the first fault.')
  }

  /** While faults are injected, targets lose answers and make nested calls, so that retries cause further retries. */
  private _instrumentTarget (node: soakNode.SoakNode): void {
    const { target, service } = node
    target.onArrival = requestId => {
      if (versionWatch.isProbe(requestId)) return
      this._retries.recordArrival(service, requestId)
      this._notices.recordArrival(target.targetId, requestId, performance.now())
    }
    this._harmful.instrument(target, replacing => { this._pending.add(replacing) }, downMs => node.crashTarget(downMs))
    target.shouldResetRun = () => this._isLosingAnswers && this._random.nextFloat() < this._targets.lostShare
    target.callNested = async (parentId, path) => {
      if (!this._isLosingAnswers || !path.startsWith('/price/')) return true
      const requestId = `${parentId}.${this._nextCall++}`
      this._retries.recordRequest(SERVICES[1] ?? '', requestId, parentId)
      this._ledger.nestedCallIds.add(requestId)
      this._notices.recordCall(requestId, node.name, performance.now())
      const answer = await node.caller.call({ requestId, method: 'GET', path: `/photo/${requestId}`, deadlineMs: DEADLINE_MS })
      this._notices.recordAnswer(node.name, answer, performance.now())
      return answer.kind === 'answer' && answer.status === 200
    }
  }

  private _configure (version: number): void {
    const customers = this._customerLoad.declare(version)
    if (customers !== undefined) this._customers.recordVersion(customers, performance.now())
    const routes = [
      { prefix: '/price/', service: 'till' },
      { prefix: '/photo/', service: 'vault' },
      { prefix: '/charge/', service: 'till', kind: 'non_idempotent' },
      { prefix: '/issue/', service: 'vault', kind: 'non_idempotent' },
      { prefix: versionWatch.getRoutePrefix(version), service: SERVICES[version % 2] ?? '', isPublic: customers !== undefined }
    ]
    const format = new rulesFormat.RulesFormat()
    this._store.put(format.topic, format.key, JSON.stringify(documents.configuration(version, routes, SERVICES, customers)))
  }

  private async _injectFaults (plan: readonly faultPlan.Fault[]): Promise<void> {
    const startedAtMs = performance.now()
    this._isLosingAnswers = true
    await Promise.all(plan.map(async fault => {
      await timers.setTimeout(startedAtMs + fault.atMs - performance.now())
      await this._injectFault(fault)
    }))
    await timers.setTimeout(Math.max(0, startedAtMs + this._options.lengthMs - performance.now()))
    this._isLosingAnswers = false
  }

  private async _injectFault ({ kind, node: index, durationMs, link, store, limit }: faultPlan.Fault): Promise<void> {
    const node = this._nodes[index]
    if (node === undefined) return
    switch (kind) {
      case 'kill': return await this._killNode(node)
      case 'pause': return await this._interruptNode(node, async () => {
        this._paused.add(node)
        node.signal('SIGSTOP')
        await timers.setTimeout(durationMs)
        node.signal('SIGCONT')
        this._paused.delete(node)
      })
      case 'stop': return await this._stopNode(node)
      case 'reload':
        node.signal('SIGHUP')
        return
      case 'links': return await this._injectLinkFault(node, node.peerRelay, link, durationMs)
      case 'store-link': return await this._injectLinkFault(node, node.storeRelay, link, durationMs)
      case 'target-link': return await this._injectLinkFault(node, node.targetRelay, link, durationMs)
      case 'store':
        return await this._disturb(touchLedger.STORE, async () => {
          this._store.mode = store
          await timers.setTimeout(durationMs)
          this._store.mode = 'up'
        })
      case 'store-returns': return await this._disturb(touchLedger.STORE, async () => { await this._returnStore(durationMs, link) })
      case 'starve':
      case 'readers-lose-store':
      case 'herd-restart': return await this._fleetFaults.inject(kind, index, durationMs)
      case 'target-leaves': return await node.replaceTarget(TARGET_DRAIN_MS)
      case 'target-signals-leaving': return await node.replaceTargetUnannounced(durationMs)
      case 'target-limits-rate': return await node.limitTarget(limit, durationMs, (targetId, maxCallsPerS) => { this._notices.recordLimit(targetId, maxCallsPerS, performance.now()) })
      case 'target-crashes': return await node.crashTarget(durationMs)
      case 'configure': this._versions.publishNext()
    }
  }

  /** Takes a copy of the store, from which it comes back after a short outage. Operators write again what it has lost. */
  private async _returnStore (durationMs: number, link: faultPlan.LinkFault): Promise<void> {
    const copy = this._store.copy()
    await timers.setTimeout(durationMs)
    this._store.mode = 'down'
    await timers.setTimeout(OUTAGE_MS)
    this._store.comeBackFrom(copy, link === 'reset' ? 'cut' : 'held')
    this._store.mode = 'up'
    this._versions.publishAgain()
    this._rollout.orderAgain()
  }

  private async _killNode (node: soakNode.SoakNode): Promise<void> {
    await this._interruptNode(node, async () => {
      node.signal('SIGKILL')
      await node.waitForExit()
    })
  }

  private async _injectLinkFault (node: soakNode.SoakNode, relay: soakNode.SoakNode['peerRelay'], fault: faultPlan.LinkFault, durationMs: number): Promise<void> {
    await this._disturb(node.name, async () => {
      relay.setFault(fault)
      await timers.setTimeout(fault === 'reset' ? 0 : durationMs)
      relay.clearFault()
    })
  }

  private async _disturb (subject: string, disturbance: () => Promise<void>): Promise<void> {
    const end = this._touch.begin(subject, performance.now())
    await disturbance()
    end(performance.now())
  }

  private async _interruptNode (node: soakNode.SoakNode, interruption: () => Promise<void>): Promise<void> {
    const period = { subject: node.name, fromMs: performance.now(), toMs: Infinity }
    this._ledger.interruptions.push(period)
    await this._disturb(node.name, interruption)
    period.toMs = performance.now()
    this._notices.recordInterruption(node.name)
    this._versions.recordInterruption(node.name)
  }

  private async _stopNode (node: soakNode.SoakNode): Promise<void> {
    const fromMs = performance.now()
    await this._disturb(node.name, async () => {
      node.signal('SIGTERM')
      await node.waitForExit()
    })
    const period = { subject: node.name, fromMs, toMs: performance.now() }
    this._notices.recordInterruption(node.name)
    const wasInterrupted = this._ledger.interruptions.some(other => other.subject === node.name && other.toMs >= fromMs)
    if (!wasInterrupted) this._ledger.stops.push(period)
    this._versions.recordInterruption(node.name)
  }

  private async _generateLoad (): Promise<void> {
    const intervalMs = 1000 / CALLS_PER_S
    for (let nextAtMs = performance.now(); this._isLoading; nextAtMs += intervalMs / this._fleetFaults.load) {
      await timers.setTimeout(Math.max(0, nextAtMs - performance.now()))
      const pending = this._callUntilFinal().finally(() => { this._pending.delete(pending) })
      this._pending.add(pending)
    }
  }

  /** Retries like the callers of the platform: any request after a refusal, only an idempotent one after a failure. */
  private async _callUntilFinal (): Promise<void> {
    const node = this._nodes[this._random.nextInt(this._nodes.length)]
    const route = ['/price/', '/photo/', '/charge/', '/issue/'][this._random.nextInt(4)] ?? ''
    if (node === undefined || !node.isRunning) return
    const customer = this._customerLoad.draw()
    for (let sends = 1; sends <= MAX_SENDS; sends++) {
      const { call, retryAfterMs } = await this._callOnce(node, route, customer)
      const mayRetry = call.saysNotRun || (call.isIdempotent && !FINAL_STATUSES.includes(call.status))
      if (!mayRetry || !this._isLoading || call.leftAtMs < Infinity) return
      await timers.setTimeout(Math.min(MAX_RETRY_DELAY_MS, retryAfterMs))
    }
  }

  private async _callOnce (node: soakNode.SoakNode, route: string, claim: customerLoad.CustomerClaim): Promise<{ readonly call: soakLedger.SoakCall, readonly retryAfterMs: number }> {
    const requestId = `s${this._options.seed}-${this._nextCall++}`
    const isIdempotent = route === '/price/' || route === '/photo/'
    const call: soakLedger.SoakCall = {
      requestId,
      entry: node.name,
      customerKey: claim.customerKey,
      isIdempotent,
      path: isIdempotent && this._isLosingAnswers && this._harmfulRandom.nextFloat() < HARMFUL_SHARE ? harmfulLedger.harmfulPath(route) : `${route}${requestId}`,
      body: isIdempotent ? '' : `body of ${requestId}`,
      deadlineMs: DEADLINE_MS,
      startedAtMs: performance.now(),
      endedAtMs: Infinity,
      leftAtMs: Infinity,
      status: 0,
      saysNotRun: false,
      answerId: undefined,
      isMarked: false,
      answerBody: '',
      problem: ''
    }
    this._ledger.calls.push(call)
    this._retries.recordRequest(serviceOf(route), requestId)
    this._notices.recordCall(requestId, node.name, call.startedAtMs)
    const leaves = isIdempotent && this._isLosingAnswers && this._random.nextFloat() < LEAVING_SHARE
    const leavesAfterMs = MIN_LEAVE_MS + this._random.nextInt(MAX_LEAVE_MS - MIN_LEAVE_MS)
    const answer = await node.caller.call({ ...claim, requestId, method: isIdempotent ? 'GET' : 'POST', path: call.path, ...(isIdempotent ? {} : { body: call.body }), deadlineMs: DEADLINE_MS, ...(leaves ? { leavesAfterMs } : {}) })
    call.endedAtMs = performance.now()
    if (answer.kind === 'none' && answer.problem === callerStandIn.LEFT) call.leftAtMs = call.endedAtMs
    this._notices.recordAnswer(node.name, answer, performance.now())
    if (answer.kind === 'none') {
      call.problem = answer.problem
      return { call, retryAfterMs: MAX_RETRY_DELAY_MS }
    }
    call.status = answer.status
    call.saysNotRun = callerStandIn.isNotRunStatus(answer.status)
    call.answerId = answer.requestId
    call.isMarked = answer.isMarked
    call.answerBody = answer.body
    return { call, retryAfterMs: answer.retryAfterMs }
  }

  /** Ends all faults, waits until calls are served again, and returns the problems found. */
  private async _recover (): Promise<string[]> {
    this._store.mode = 'up'
    for (const node of this._nodes) node.signal('SIGCONT')
    const isRecovered = await this._waitUntil(RECOVERY_TIMEOUT_MS, async () => await this._servedShare(Math.ceil(RECOVERY_CALLS / this._nodes.length)) >= RECOVERED_SHARE)
    const problems = isRecovered ? [] : [`fewer than ${RECOVERED_SHARE * 100} in 100 calls were served ${RECOVERY_TIMEOUT_MS / 1000} s after the last fault`]
    if (!await this._waitUntil(RECOVERY_TIMEOUT_MS, async () => await this._versions.isEnforcedOnAll(this._nodes))) problems.push('the newest configuration is not in force on each node')
    if (!await this._waitUntil(RECOVERY_TIMEOUT_MS, () => Promise.resolve(this._store.values(NODES_TOPIC).size === this._nodes.length))) problems.push(`the store has the records of ${this._store.values(NODES_TOPIC).size} of ${this._nodes.length} nodes`)
    return problems
  }

  /** Sends the calls to each node one at a time, because a node rightly refuses a burst. */
  private async _servedShare (callsEach: number): Promise<number> {
    let served = 0
    await Promise.all(this._nodes.map(async node => {
      for (let at = 0; at < callsEach; at++) {
        const { call } = await this._callOnce(node, at % 2 === 0 ? '/price/' : '/issue/', this._customerLoad.steady)
        if (call.status === 200) served += 1
      }
    }))
    return served / (callsEach * this._nodes.length)
  }

  private async _waitUntil (timeoutMs: number, condition: () => Promise<boolean>): Promise<boolean> {
    const endAtMs = performance.now() + timeoutMs
    while (performance.now() < endAtMs) {
      if (await condition()) return true
      await timers.setTimeout(POLL_INTERVAL_MS)
    }
    return false
  }

  private _collectResult (faults: readonly faultPlan.Fault[], recoveryProblems: readonly string[]): types.SoakResult {
    const runs = this._nodes.flatMap(({ target }) => target.runs)
    const called = runs.filter(({ requestId }) => !versionWatch.isProbe(requestId))
    this._ledger.runs.push(...called)
    const problems = [...recoveryProblems, ...this._versions.problems, ...this._ledger.check(), ...this._retries.check(), ...this._notices.check(), ...this._harmful.check(runs), ...this._rollout.check(this._ledger.calls, this._nodes), ...this._customers.check(this._ledger.calls, called)]
    const logs = new Map(problems.length === 0 ? [] : this._nodes.map(({ name, logLines }) => [name, logLines]))
    const statuses = this._ledger.countByStatus()
    return { seed: this._options.seed, faults, calls: this._ledger.calls.length, answered: statuses.get(200) ?? 0, statuses, problems, logs }
  }
}

function serviceOf (route: string): string {
  return (route === '/price/' || route === '/charge/' ? SERVICES[0] : SERVICES[1]) ?? ''
}
