import * as crashes from '../CrashTable.js'
import * as fake from './FakeMembership.js'
import * as fixture from './Fixture.js'
import * as hostCalls from '../HostCalls.js'
import * as lifecycles from '../Lifecycle.js'
import type * as config from '../../config/Types.js'
import type * as ledgers from './Ledger.js'
import type * as members from '../../membership/Types.js'
import type * as messages from '../../node/Messages.js'
import * as ownership from '../OwnershipTable.js'
import * as ownershipLog from '../OwnershipLog.js'
import * as random from '../../base/Random.js'
import type * as types from '../Types.js'

/** A call that a process has accepted and not completed. */
export interface Job {
  runId: number
  /** The send that caused the run. Other sends have joined it. */
  readonly cause: ledgers.Send
  readonly sends: ledgers.Send[]
  stage: 'queued' | 'started' | 'written' | 'delegated'
  body: Uint8Array | undefined
  /** Owner of the key and its run; present on a delegate. */
  readonly owner?: { readonly process: ModelProcess, readonly runId: number }
}

/** Mechanisms that a test can switch off to verify that the checks detect it. */
export type Mechanism =
  | 'horizon-check' | 'restart-guard' | 'refusal-memory' | 'key-table' | 'stale-send' | 'release-record' | 'catch-up' | 'delegation-memory'

export interface ModelProcessOptions {
  readonly nodeId: string
  readonly startedAtMs: number
  readonly incarnation: number
  readonly document: config.ConfigDocument
  readonly onStateSet: (row: members.MemberRow) => void
  readonly chooseDelegate: (from: ModelProcess) => { readonly nodeId: string, readonly address: string } | undefined
  readonly disabled: ReadonlySet<Mechanism>
}

/** One process of a node: the real classes of this folder, connected as in a node. */
export class ModelProcess {
  public readonly nodeId: string
  public readonly startedAtMs: number
  public readonly effects: messages.Effect[] = []
  public readonly membership: fake.FakeMembership
  public readonly table = new ownership.OwnershipTable()
  public readonly log: ownershipLog.OwnershipLog
  public readonly calls: hostCalls.HostCalls
  public readonly lifecycle: lifecycles.Lifecycle
  public readonly jobs: Job[] = []
  public incarnation: number
  public targetReady = true
  public nextCallId = 1

  constructor (options: ModelProcessOptions) {
    this.nodeId = options.nodeId
    this.startedAtMs = options.startedAtMs
    this.incarnation = options.incarnation
    this.membership = new fake.FakeMembership(options.nodeId, options.onStateSet)
    this.membership.set(fake.memberRow(options.nodeId, options.incarnation, { state: 'joining' }))
    const { membership, table, effects } = this
    const configuration = (): config.ConfigDocument => options.document
    this.log = new ownershipLog.OwnershipLog({ table, membership, effects, configuration, random: new random.Random(options.incarnation) })
    this.calls = new hostCalls.HostCalls({
      self: { nodeId: options.nodeId, incarnation: options.incarnation },
      currentIncarnation: () => this.incarnation,
      service: fixture.SERVICE,
      startedAtMs: options.disabled.has('restart-guard') ? 0 : options.startedAtMs,
      configuration,
      targetReady: () => this.targetReady,
      table,
      isCaughtUp: () => options.disabled.has('catch-up') || this.log.isCaughtUp,
      crashes: new crashes.CrashTable(),
      delegates: { select: () => options.chooseDelegate(this), recordEnd: () => {} }
    })
    this.lifecycle = new lifecycles.Lifecycle({ calls: this.calls, membership, effects, service: fixture.SERVICE, drainMs: () => options.document.terms.drainMs })
    this._disable(options.disabled)
  }

  /** Takes the rows of the other nodes; the own row is kept. */
  public sync (rows: Iterable<members.MemberRow>): void {
    for (const row of rows) {
      if (row.nodeId !== this.nodeId) this.membership.set(row)
    }
  }

  public tick (nowMs: number, isReader: boolean): readonly types.HostUpdate[] {
    if (this.membership.self.state === 'joining' && nowMs >= this.startedAtMs + 2_000) this.membership.setState('ready', nowMs)
    const updates = this.calls.tick(nowMs)
    this.log.tick(nowMs, isReader)
    this.lifecycle.tick(nowMs)
    return updates
  }

  private _disable (off: ReadonlySet<Mechanism>): void {
    const keyTable: unknown = Reflect.get(this.calls, '_keys')
    const delegations: unknown = Reflect.get(this.calls, '_delegations')
    if (off.has('horizon-check')) replace(this.table, '_isAllowed', () => true)
    if (off.has('release-record')) replace(this.table, 'isReleased', () => false)
    if (off.has('refusal-memory')) replace(keyTable, 'refusal', () => undefined)
    if (off.has('key-table')) replace(keyTable, 'get', () => undefined)
    if (off.has('delegation-memory')) replace(delegations, 'get', () => undefined)
  }
}

function replace (object: unknown, method: string, by: () => unknown): void {
  if (object === null || typeof object !== 'object' || !(method in object)) throw new Error(`Cannot switch off ${method}: the object has no such method.`)
  Reflect.set(object, method, by)
}
