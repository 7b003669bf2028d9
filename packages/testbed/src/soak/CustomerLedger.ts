import type * as documents from '@elmpost/platform/standins/Documents.js'
import type * as soakLedger from './SoakLedger.js'

/** A node in touch refuses a key from this time after the version that withdraws it was published. */
const WITHDRAWN_MS = 2_500
const UNKNOWN_KEY_STATUS = 401
const OVER_LIMIT_STATUS = 429
/** Answers to a withdrawn key: none, refused, or refused by a node without a configuration. */
const REFUSED_STATUSES: readonly number[] = [0, UNKNOWN_KEY_STATUS, 503]
const WINDOW_MS = 5_000
const OVERSHOOT = 0.1
const SLACK_CALLS = 20
const MS_PER_S = 1000

export type CustomerCall = Pick<soakLedger.SoakCall, 'requestId' | 'entry' | 'customerKey' | 'startedAtMs' | 'endedAtMs' | 'status'>

export interface CustomerRun {
  readonly requestId: string
  readonly targetId: string
  /** Name of the customer that the target was told. */
  readonly customer: string | undefined
  /** Key that the target got. */
  readonly customerKey: string | undefined
  readonly atMs: number
}

interface Key {
  readonly customer: string
  readonly isInFirstVersion: boolean
  /** When the version that withdraws the key was published. */
  withdrawnAtMs: number
}

/** Checks that targets run only requests of customers, in their names and within their limits. */
export class CustomerLedger {
  private readonly _keys = new Map<string, Key>()
  private readonly _customers = new Map<string, documents.TestCustomer>()

  /** `isInTouch`: whether promises with a time bound hold for the node in this period. */
  constructor (private readonly _isInTouch: (entry: string, fromMs: number, toMs: number) => boolean) {}

  /** Records the customers of a version that is published. */
  public recordVersion (customers: readonly documents.TestCustomer[], atMs: number): void {
    const isInFirstVersion = this._keys.size === 0
    for (const customer of customers) {
      this._customers.set(customer.name, customer)
      for (const key of customer.keys) if (!this._keys.has(key)) this._keys.set(key, { customer: customer.name, isInFirstVersion, withdrawnAtMs: Infinity })
    }
    const held = new Set(customers.flatMap(({ keys }) => keys))
    for (const [key, state] of this._keys) if (!held.has(key)) state.withdrawnAtMs = Math.min(state.withdrawnAtMs, atMs)
  }

  /** Violated guarantees, one line each. Runs of requests that are in none of the calls are nested ones, with the id of their run before the last dot. */
  public check (calls: readonly CustomerCall[], runs: readonly CustomerRun[]): string[] {
    if (this._keys.size === 0) return []
    const callsById = new Map(calls.map(call => [call.requestId, call]))
    const runsById = new Map<string, CustomerRun>()
    for (const run of runs) if (run.atMs < (runsById.get(run.requestId)?.atMs ?? Infinity)) runsById.set(run.requestId, run)
    return [
      ...runs.flatMap(run => this._findProblemsOfRun(run, callsById.get(run.requestId) ?? callsById.get(run.requestId.slice(0, run.requestId.lastIndexOf('.'))))),
      ...calls.flatMap(call => this._findProblemsOfCall(call, runsById.get(call.requestId))),
      ...[...this._customers.values()].flatMap(customer => this._findBreach(customer, calls, runsById))
    ]
  }

  private _findProblemsOfRun ({ requestId, targetId, customer: name, customerKey }: CustomerRun, call: CustomerCall | undefined): string[] {
    const customer = this._keyOf(call)?.customer
    if (customer === undefined) return [`${targetId} ran ${requestId}, which has the key ${call?.customerKey ?? '(none)'} of no customer`]
    return [
      ...(name === customer ? [] : [`${targetId} got ${requestId} of ${customer} with the name ${name ?? '(none)'}`]),
      ...(customerKey === undefined ? [] : [`${targetId} got the key of ${requestId}`])
    ]
  }

  private _findProblemsOfCall (call: CustomerCall, run: CustomerRun | undefined): string[] {
    const { requestId, entry, startedAtMs, endedAtMs, status } = call
    const key = this._keyOf(call)
    const name = `${requestId} through ${entry} with the key ${call.customerKey ?? '(none)'}, status ${status}`
    const problems: string[] = []
    if (status === UNKNOWN_KEY_STATUS && run !== undefined) problems.push(`was refused for its key and ran on ${run.targetId}: ${name}`)
    if (key === undefined) return problems
    if (status === UNKNOWN_KEY_STATUS && key.isInFirstVersion && endedAtMs <= key.withdrawnAtMs) problems.push(`has a key that all versions hold and was refused for it: ${name}`)
    if (status === OVER_LIMIT_STATUS && !(limitOf(this._customers.get(key.customer)) > 0)) problems.push(`is of a customer without a limit and was refused for it: ${name}`)
    const sinceMs = startedAtMs - key.withdrawnAtMs
    if (sinceMs >= WITHDRAWN_MS && (run !== undefined || !REFUSED_STATUSES.includes(status)) && this._isInTouch(entry, startedAtMs, endedAtMs)) problems.push(`was sent ${Math.round(sinceMs)} ms after its key was withdrawn and not refused: ${name}`)
    return problems
  }

  /** The window in which the requests of a customer that were sent and began in it exceed its limit by most. */
  private _findBreach (customer: documents.TestCustomer, calls: readonly CustomerCall[], runs: ReadonlyMap<string, CustomerRun>): string[] {
    const limit = limitOf(customer)
    if (limit === 0) return []
    const begun = calls.filter(call => this._keyOf(call)?.customer === customer.name).flatMap(({ requestId, startedAtMs }) => {
      const run = runs.get(requestId)
      return run === undefined ? [] : [{ sentAtMs: startedAtMs, atMs: run.atMs }]
    })
    const windows = begun.map(({ sentAtMs: fromMs }) => ({ fromMs, count: begun.filter(({ sentAtMs, atMs }) => sentAtMs >= fromMs && atMs <= fromMs + WINDOW_MS).length }))
    const worst = windows.reduce((one, other) => other.count > one.count ? other : one, { fromMs: 0, count: 0 })
    const allowed = (limit * WINDOW_MS / MS_PER_S + (customer.burstCalls ?? 0)) * (1 + OVERSHOOT) + SLACK_CALLS
    return worst.count <= allowed ? [] : [`${customer.name} was served ${worst.count} requests in the window from ${Math.round(worst.fromMs)} ms, ${Math.floor(allowed)} are allowed`]
  }

  private _keyOf (call: CustomerCall | undefined): Key | undefined {
    return call?.customerKey === undefined ? undefined : this._keys.get(call.customerKey)
  }
}

/** Calls a second; 0 for no limit. */
function limitOf (customer: documents.TestCustomer | undefined): number {
  return customer?.maxCallsPerS ?? 0
}
