/** Hosts and messages for the tests of this folder. */
import * as uuid from 'uuid'
import * as codec from '../WindowCodec.js'
import type * as config from '../../config/Types.js'
import * as crashes from '../CrashTable.js'
import * as hostCalls from '../HostCalls.js'
import * as keys from '../Keys.js'
import * as ownership from '../OwnershipTable.js'
import type * as messages from '../../node/Messages.js'
import type * as services from '../Services.js'
import type * as types from '../Types.js'
import * as testDocuments from '../../config/TestDocuments.js'

export const SERVICE = 'till'
export const T0 = 1_700_000_000_000

export const DOCUMENT: config.ConfigDocument = {
  institution: 'kartuli',
  services: [{ name: SERVICE, slots: 2, connections: 4, coldStartMs: 0 }],
  targets: [{ service: SERVICE, zones: ['vake'] }],
  routes: [
    { name: 'charge', match: { method: 'POST', pathPrefix: '/charge' }, service: SERVICE, idempotent: false, timeoutMs: 2000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 500, maxBodyBytes: 1000 } },
    { name: 'price', match: { method: 'GET', pathPrefix: '/price' }, service: SERVICE, idempotent: true, timeoutMs: 2000, retry: { maxAttempts: 2 }, limits: { maxQueueMs: 500, maxBodyBytes: 1000 } }
  ],
  terms: { ...testDocuments.TEST_TERMS, zonePreference: 'any' }
}

let keyNumber = 0

/** A key issued at the given time; the number replaces the random part. */
export function keyAt (timeMs: number, number = ++keyNumber): string {
  const random = Uint8Array.from({ length: 16 }, (_, i) => i < 12 ? 0 : (number >>> (8 * (15 - i))) & 255)
  return uuid.v7({ msecs: timeMs, seq: 0, random })
}

/** Windows that give all partitions of a service to one owner. */
export function windowsOfAllPartitions (owner: types.PartitionOwner, startsAtMs = 0, service = SERVICE): readonly types.ServiceWindows[] {
  return codec.pack(Array.from({ length: keys.PARTITIONS }, (_, partition) => ({ service, partition, startsAtMs, owner })))
}

let callNumber = 0

export function call (nowMs: number, change: Partial<messages.CallMessage> = {}): messages.CallMessage {
  return {
    kind: 'call',
    callId: ++callNumber,
    route: change.key === undefined ? 'price' : 'charge',
    service: SERVICE,
    version: 1,
    method: 'POST',
    path: '/charge',
    headers: {},
    body: undefined,
    remainingMs: 2_000,
    sentAtMs: nowMs,
    key: undefined,
    fingerprint: 'f1',
    depth: 0,
    attempt: 1,
    ...change
  }
}

export const ANSWER: types.RunResult & { kind: 'answered' } = {
  kind: 'answered', status: 200, headers: { 'x-a': 'b' }, body: new Uint8Array([1]), streamed: false, serviceMs: 20
}

/** A host that started 10 s ago and owns every key issued before the horizon. */
export class Host {
  public readonly self: types.PartitionOwner
  public readonly table = new ownership.OwnershipTable()
  public readonly crashes = new crashes.CrashTable()
  public readonly calls: hostCalls.HostCalls
  public document: config.ConfigDocument | undefined = DOCUMENT
  public targetReady = true
  public isCaughtUp = true
  public delegate: services.DelegateChoice | undefined
  /** Delegated calls that have ended, each as `NODE OUTCOME QUEUED`; `-` without a load report. */
  public readonly delegated: string[] = []

  constructor (options: Partial<hostCalls.HostCallsOptions> = {}, owner?: types.PartitionOwner) {
    this.self = options.self ?? { nodeId: 'a', incarnation: T0 - 10_000 }
    this.table.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services: windowsOfAllPartitions(owner ?? this.self) }, 0)
    this.table.apply({ kind: 'horizon', untilMs: T0 + 600_000 }, 1)
    this.calls = new hostCalls.HostCalls({
      self: this.self,
      currentIncarnation: () => this.self.incarnation,
      service: SERVICE,
      startedAtMs: this.self.incarnation,
      configuration: () => this.document,
      targetReady: () => this.targetReady,
      table: this.table,
      isCaughtUp: () => this.isCaughtUp,
      crashes: this.crashes,
      delegates: { select: () => this.delegate, recordEnd: (nodeId, { outcome }, load) => { this.delegated.push(`${nodeId} ${outcome} ${load?.queued ?? '-'}`) } },
      ...options
    })
  }

  /** Accepts a call and returns the id of its run. Throws if the call is not to be run here. */
  public expectRun (message: messages.CallMessage, nowMs: number): number {
    const decision = this.calls.accept('entry', message, nowMs)
    if (decision.kind !== 'run') throw new Error(`Expected a run: ${JSON.stringify(decision)}`)
    return decision.runId
  }

  /** Accepts a call and returns its answer. Throws if the call is not answered at once. */
  public expectAnswer (message: messages.CallMessage, nowMs: number): types.FinalAnswer {
    const decision = this.calls.accept('entry', message, nowMs)
    if (decision.kind !== 'answer') throw new Error(`Expected an answer: ${JSON.stringify(decision)}`)
    return decision.answer
  }

  /** Accepts a call that is answered at once, and returns outcome and reason of the answer. */
  public outcomeOf (message: messages.CallMessage, nowMs: number): string {
    const { outcome, reason } = this.expectAnswer(message, nowMs)
    return `${outcome} ${reason}`
  }
}
