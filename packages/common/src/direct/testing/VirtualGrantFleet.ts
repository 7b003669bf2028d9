import * as callGrants from '../CallGrants.js'
import * as grantIssuer from '../GrantIssuer.js'
import * as grantTerms from '../GrantTerms.js'
import * as issuerPlan from '../IssuerPlan.js'
import * as random from '../../base/Random.js'
import * as targetTable from '../TargetTable.js'
import type * as base from '../../base/Types.js'
import type * as types from '../Types.js'

export const TERMS: types.CustomerLimitTerms = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const TICK_MS = 100
/** Way of a message within a zone and between zones. */
const NEAR_MS = 1
const FAR_MS = 8
/** Time after a start until a node has read the records of all nodes. */
const READ_MS = 400
const ZONES = 3

/** Which nodes the calls of a customer enter at: one, all, or five that change each second. */
export type Pattern = 'one' | 'all' | 'moving'

export interface Demand {
  readonly customer: string
  readonly callsPerS: number
  readonly pattern: Pattern
  /** Whether a refused call comes back once, after `Retry-After`. */
  readonly returns?: boolean
  /** Whether the calls come at equal intervals. */
  readonly isRegular?: boolean
}

/** What became of the calls of a customer. */
export interface CustomerCalls {
  sent: number
  readonly grantedAtMs: number[]
  refused: number
  returned: number
  returnedGranted: number
  maxWaitMs: number
}

interface Call {
  readonly customer: string
  readonly sentAtMs: base.Millis
  readonly isReturn: boolean
  readonly returns: boolean
}

/** Ids in the order of the numbers of the nodes. */
const ID_DIGITS = 3

interface Process {
  readonly issuer: grantIssuer.GrantIssuer
  readonly grants: callGrants.CallGrants<Call>
  readonly table: targetTable.TargetTable
  readonly plan: issuerPlan.IssuerPlan
}

interface VirtualNode {
  readonly at: number
  readonly id: string
  readonly zone: string
  process: Process | undefined
  group: number
  pausedUntilMs: base.Millis
}

/** Nodes that exchange grants in virtual time, with faults. */
export class VirtualGrantFleet {
  public nowMs = 0
  public requests = 0
  public readonly calls = new Map<string, CustomerCalls>()
  private readonly _nodes: VirtualNode[]
  private readonly _random: random.Random
  private readonly _queue: { atMs: number, order: number, run: () => void }[] = []
  private readonly _held: { from: VirtualNode, to: VirtualNode, run: () => void }[] = []
  private _order = 0
  private _demands: readonly Demand[] = []

  constructor (size: number, private _rules: readonly types.CustomerRule[], seed: number) {
    this._random = new random.Random(seed)
    this._nodes = Array.from({ length: size }, (_, at) => ({ at, id: `n${String(at).padStart(ID_DIGITS, '0')}`, zone: `z${at % ZONES}`, process: undefined, group: 0, pausedUntilMs: 0 }))
    for (const node of this._nodes) this.start(node.at)
  }

  public get size (): number {
    return this._nodes.length
  }

  /** Nodes that all nodes choose as issuers while none leaves. */
  public get issuers (): readonly number[] {
    return (this._nodes[0]?.process?.plan.choose(grantTerms.maxIssuers(this._rules, TERMS)) ?? []).map(id => Number(id.slice(1)))
  }

  public callsOf (customer: string): CustomerCalls {
    let calls = this.calls.get(customer)
    if (calls === undefined) {
      calls = { sent: 0, grantedAtMs: [], refused: 0, returned: 0, returnedGranted: 0, maxWaitMs: 0 }
      this.calls.set(customer, calls)
    }
    return calls
  }

  public at (atMs: number, run: () => void): void {
    this._push(atMs, run)
  }

  /** Starts sending calls, at random times. Replaces earlier demands. */
  public setDemands (demands: readonly Demand[]): void {
    this._demands = demands
    for (const demand of demands) this._scheduleArrival(demand)
  }

  public setRules (rules: readonly types.CustomerRule[]): void {
    this._rules = rules
    for (const node of this._nodes) this._inProcess(node, process => { applyRules(process, rules) })
  }

  public kill (at: number): void {
    this._nodeAt(at).process = undefined
  }

  public start (at: number): void {
    const node = this._nodeAt(at)
    const table = new targetTable.TargetTable()
    for (const { id, zone } of this._nodes) table.put(id, zone, 'till')
    const plan = new issuerPlan.IssuerPlan({ selfId: node.id, table })
    const startedAtMs = this.nowMs
    const nodeCount = (): number | undefined => this.nowMs - startedAtMs < READ_MS ? undefined : this._nodes.length
    const issuer = new grantIssuer.GrantIssuer({ terms: TERMS, nowMs: () => this.nowMs, nodeCount })
    const grants: callGrants.CallGrants<Call> = new callGrants.CallGrants<Call>({
      terms: TERMS,
      nowMs: () => this.nowMs,
      nodeCount,
      issuers: () => plan.choose(grantTerms.maxIssuers(this._rules, TERMS)),
      send: (to, request) => this._request(node, this._nodeAt(Number(to.slice(1))), request),
      onSettled: (call, settled) => { this._settle(node, call, settled) }
    })
    const process = { issuer, grants, table, plan }
    node.process = process
    applyRules(process, this._rules)
    this._tick(node, process)
  }

  /** Messages between nodes of different groups wait until the cut ends, as on connections that survive it. */
  public cut (groupOf: (at: number) => number): void {
    for (const node of this._nodes) node.group = groupOf(node.at)
    for (const message of this._held.splice(0)) this._deliver(message.from, message.to, message.run)
  }

  public pause (at: number, durationMs: number): void {
    this._nodeAt(at).pausedUntilMs = this.nowMs + durationMs
  }

  /** Half of the nodes learn that the node leaves or is back. */
  public tellHalf (at: number, isLeaving: boolean): void {
    this.tell(at, isLeaving, to => to % 2 === 0)
  }

  /** The chosen nodes learn that the node leaves or is back. */
  public tell (at: number, isLeaving: boolean, isChosen: (to: number) => boolean = () => true): void {
    for (const node of this._nodes) if (isChosen(node.at)) node.process?.table.recordLeaving(this._nodeAt(at).id, isLeaving)
  }

  /** Sends calls at once, which come back once if they are refused. */
  public burst (customer: string, count: number): void {
    for (let call = 0; call < count; call++) this._arrive(this._nodeAt(0), { customer, sentAtMs: this.nowMs, isReturn: false, returns: true })
  }

  public run (untilMs: number): void {
    for (;;) {
      const next = this._queue[0]
      if (next === undefined || next.atMs > untilMs) break
      this._pop()
      this.nowMs = next.atMs
      next.run()
    }
    this.nowMs = untilMs
  }

  /** Most calls of the customer that were granted in one window, from `fromMs` on. */
  public worstWindow (customer: string, fromMs = 0): number {
    const times = this.callsOf(customer).grantedAtMs
    let worst = 0
    let first = 0
    for (let last = 0; last < times.length; last++) {
      while ((times[first] ?? 0) < Math.max(fromMs, (times[last] ?? 0) - TERMS.windowMs)) first += 1
      worst = Math.max(worst, last - first + 1)
    }
    return worst
  }

  private _scheduleArrival (demand: Demand): void {
    const gapMs = (demand.isRegular === true ? 1 : -Math.log(1 - this._random.nextFloat())) * 1000 / demand.callsPerS
    this._push(this.nowMs + gapMs, () => {
      if (!this._demands.includes(demand)) return
      this._arrive(this._entryOf(demand), { customer: demand.customer, sentAtMs: this.nowMs, isReturn: false, returns: demand.returns === true })
      this._scheduleArrival(demand)
    })
  }

  private _entryOf ({ pattern }: Demand): VirtualNode {
    if (pattern === 'one') return this._nodeAt(0)
    if (pattern === 'all') return this._nodeAt(this._random.nextInt(this.size))
    return this._nodeAt((Math.floor(this.nowMs / 1000) * 17 + this._random.nextInt(5) * 3) % this.size)
  }

  private _arrive (node: VirtualNode, call: Call): void {
    // The caller of a node that does not run goes to another node.
    if (node.process === undefined) return
    const calls = this.callsOf(call.customer)
    if (call.isReturn) calls.returned += 1
    else calls.sent += 1
    this._inProcess(node, ({ grants }) => {
      const taken = grants.take(call.customer, call)
      if (taken.kind !== 'waiting') this._settle(node, call, taken)
      else this._tickGrants(node, grants)
    })
  }

  private _settle (node: VirtualNode, call: Call, settled: callGrants.Settled): void {
    const calls = this.callsOf(call.customer)
    calls.maxWaitMs = Math.max(calls.maxWaitMs, this.nowMs - call.sentAtMs)
    if (settled.kind === 'granted') {
      calls.grantedAtMs.push(this.nowMs)
      if (call.isReturn) calls.returnedGranted += 1
      return
    }
    calls.refused += 1
    if (call.returns && !call.isReturn) this._push(this.nowMs + settled.retryAfterMs, () => { this._arrive(node, { ...call, sentAtMs: this.nowMs, isReturn: true }) })
  }

  private _request (from: VirtualNode, to: VirtualNode, { requestId, customer, waiting, wanted, part }: callGrants.GrantsRequest): boolean {
    if (to.process === undefined) return false
    const sender = from.process
    if (customer !== '') this.requests += 1
    this._deliver(from, to, () => {
      const issuer = to.process?.issuer
      if (issuer === undefined) return
      issuer.recordPart(from.id, part)
      const { count, waitMs } = customer === '' ? { count: 0, waitMs: 0 } : issuer.issue(customer, waiting, wanted)
      this._deliver(to, from, () => {
        if (from.process !== sender) return
        sender?.grants.handleGrants(to.id, requestId, count, waitMs)
        if (sender !== undefined) this._tickGrants(from, sender.grants)
      })
    })
    return true
  }

  private _deliver (from: VirtualNode, to: VirtualNode, run: () => void): void {
    if (from.group !== to.group) {
      this._held.push({ from, to, run })
      return
    }
    const wayMs = from === to ? 0 : (from.zone === to.zone ? NEAR_MS : FAR_MS) * (1 + 0.5 * this._random.nextFloat())
    this._push(this.nowMs + wayMs, () => { this._inProcess(to, run) })
  }

  /** Runs in the node's process, after a pause if there is one. */
  private _inProcess (node: VirtualNode, run: (process: Process) => void): void {
    const { process } = node
    if (process === undefined) return
    if (this.nowMs < node.pausedUntilMs) this._push(node.pausedUntilMs, () => { if (node.process === process) run(process) })
    else run(process)
  }

  private _tick (node: VirtualNode, process: Process): void {
    if (node.process !== process) return
    this._inProcess(node, () => {
      process.issuer.tick()
      process.grants.tick()
      this._push(this.nowMs + TICK_MS, () => { this._tick(node, process) })
    })
  }

  private _tickGrants (node: VirtualNode, grants: callGrants.CallGrants<Call>): void {
    const dueMs = grants.nextDueMs
    if (dueMs < Infinity) this._push(dueMs, () => { this._inProcess(node, process => { if (process.grants === grants) grants.tick() }) })
  }

  private _nodeAt (at: number): VirtualNode {
    const node = this._nodes[at]
    if (node === undefined) throw new Error(`no node ${at}; the fleet has ${this._nodes.length}`)
    return node
  }

  private _push (atMs: number, run: () => void): void {
    const entry = { atMs: Math.max(atMs, this.nowMs), order: this._order++, run }
    let at = this._queue.length
    this._queue.push(entry)
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (isBefore(this._queue[parent], entry)) break
      this._queue[at] = this._queue[parent] ?? entry
      at = parent
    }
    this._queue[at] = entry
  }

  private _pop (): void {
    const last = this._queue.pop()
    if (last === undefined || this._queue.length === 0) return
    let at = 0
    for (;;) {
      let child = 2 * at + 1
      if (child >= this._queue.length) break
      if (child + 1 < this._queue.length && !isBefore(this._queue[child], this._queue[child + 1])) child += 1
      if (isBefore(last, this._queue[child])) break
      this._queue[at] = this._queue[child] ?? last
      at = child
    }
    this._queue[at] = last
  }
}

function isBefore (one: { atMs: number, order: number } | undefined, other: { atMs: number, order: number } | undefined): boolean {
  if (one === undefined || other === undefined) return false
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
}

function applyRules ({ issuer, grants }: Process, rules: readonly types.CustomerRule[]): void {
  issuer.setCustomers(rules)
  grants.setCustomers(rules)
}

/** Bound on the calls of a customer in one window. */
export function boundOf ({ maxCallsPerS, burstCalls }: types.CustomerRule): number {
  return (maxCallsPerS * TERMS.windowMs / 1000 + burstCalls) * (1 + TERMS.overshoot) + TERMS.slack
}
