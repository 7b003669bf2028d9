/** Membership, configuration and ownership held in memory, for tests and benchmarks of this folder. */
import * as results from 'ts-results-es'
import * as uuid from 'uuid'
import * as digest from '../base/Digest.js'
import * as emitter from '../base/Emitter.js'
import * as random from '../base/Random.js'
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as hostingServices from '../hosting/Services.js'
import type * as hosting from '../hosting/Types.js'
import type * as membership from '../membership/Types.js'
import type * as messages from '../node/Messages.js'
import * as entryCalls from './EntryCalls.js'
import * as targetSelector from './TargetSelector.js'
import type * as types from './Types.js'
import * as testDocuments from '../config/TestDocuments.js'

const PARTITIONS = 64
const CALLS_TO_FILL_BUDGET = 100

export type RowFields = Partial<membership.MemberRow> & Pick<membership.MemberRow, 'nodeId'>

export function rowOf (fields: RowFields): membership.MemberRow {
  return {
    incarnation: 1,
    state: 'ready',
    peerAddress: `${fields.nodeId}:7000`,
    callerAddress: `${fields.nodeId}:8000`,
    adminAddress: `${fields.nodeId}:9000`,
    zone: 'vake',
    service: 'till',
    targetReady: true,
    targetReadySinceMs: -1_000_000,
    enforcedVersion: 1,
    revision: 0,
    successor: '',
    ...fields
  }
}

export function routeOf (fields: Partial<config.RouteConfig>): config.RouteConfig {
  return {
    name: 'price',
    match: { method: 'GET', pathPrefix: '/till/price' },
    service: 'till',
    idempotent: true,
    timeoutMs: 2_000,
    retry: { maxAttempts: 3 },
    limits: { maxQueueMs: 500, maxBodyBytes: 65_536 },
    ...fields
  }
}

export function documentOf (fields: Partial<config.ConfigDocument>): config.ConfigDocument {
  return {
    institution: 'kartuli',
    services: [{ name: 'till', slots: 15, connections: 120, coldStartMs: 1_000 }],
    targets: [{ service: 'till', zones: ['vake', 'saburtalo', 'didube'] }],
    routes: [routeOf({}), routeOf({ name: 'charge', match: { method: 'POST', pathPrefix: '/till/charge' }, idempotent: false, retry: { maxAttempts: 1 } })],
    terms: testDocuments.TEST_TERMS,
    ...fields
  }
}

/** The mesh as seen by one entry node. Keys are owned by the targets of the service, selected by a hash of the key. */
export class FakeMesh {
  /** Incarnation up to which each node has released its windows. */
  public readonly released = new Map<base.NodeId, base.Incarnation>()
  public lookup: hostingServices.OwnerLookup | undefined
  public self = rowOf({ nodeId: 'entry', service: '' })
  public current: config.AcceptedState | undefined
  private readonly _rows = new Map<base.NodeId, membership.MemberRow>()
  private readonly _targets = new Map<string, readonly membership.MemberRow[]>()
  private readonly _changes = new emitter.Emitter<membership.MemberChange>()
  private readonly _owners = new Map<string, readonly hosting.PartitionOwner[]>()

  constructor (rows: readonly membership.MemberRow[], document = documentOf({})) {
    this.enforce(document)
    for (const row of rows) this.put(row)
    this.assignOwners()
  }

  public get onChange (): base.IEvent<membership.MemberChange> {
    return this._changes.event
  }

  public enforce (document: config.ConfigDocument): void {
    this.current = { version: (this.current?.version ?? 0) + 1, digest: '', rulesVersion: 1, document }
  }

  public put (fields: RowFields): void {
    const previous = this._rows.get(fields.nodeId)
    const current = previous === undefined ? rowOf(fields) : { ...previous, ...fields }
    this._rows.set(current.nodeId, current)
    this._targets.delete(current.service)
    this._changes.fire({ previous, current, forgotten: false })
  }

  public get (nodeId: base.NodeId): membership.MemberRow | undefined {
    return nodeId === this.self.nodeId ? this._rows.get(nodeId) ?? this.self : this._rows.get(nodeId)
  }

  public targetsOf (service: string): readonly membership.MemberRow[] {
    let rows = this._targets.get(service)
    if (rows === undefined) {
      rows = [...this._rows.values()].filter(row => row.service === service && row.state === 'ready' && row.targetReady)
      this._targets.set(service, rows)
    }
    return rows
  }

  /** Assigns the partitions of every service to its current targets. */
  public assignOwners (): void {
    for (const service of new Set([...this._rows.values()].map(row => row.service))) {
      this._owners.set(service, this.targetsOf(service).map(row => ({ nodeId: row.nodeId, incarnation: row.incarnation })))
    }
  }

  public ownerOf (service: string, key: string): results.Result<hostingServices.OwnerLookup, Error> {
    if (this.lookup !== undefined) return results.Ok(this.lookup)
    const owners = this._owners.get(service) ?? []
    const owner = owners[(digest.placementHash(key) % PARTITIONS) % owners.length]
    return results.Ok(owner === undefined ? { kind: 'no-table' } : { kind: 'owner', owner, sendTo: owner.nodeId })
  }

  public isReleased (owner: hosting.PartitionOwner): boolean {
    return owner.incarnation <= (this.released.get(owner.nodeId) ?? 0)
  }

  public selector (seed: number, subsetSize?: number): targetSelector.TargetSelector {
    const size = subsetSize === undefined ? {} : { subsetSize }
    return new targetSelector.TargetSelector({ membership: this, enforcement: this, random: new random.Random(seed), ...size })
  }

  public entryCalls (seed: number, selector = this.selector(seed), crashes?: hostingServices.ICrashTable): entryCalls.EntryCalls {
    const known = crashes === undefined ? {} : { crashes }
    return new entryCalls.EntryCalls({ membership: this, enforcement: this, ownership: this, selector, random: new random.Random(seed + 1), ...known })
  }
}

/** Fills the retry budget of an entry node with calls that are cancelled at once. */
export function fillRetryBudget (calls: entryCalls.EntryCalls, nowMs: base.Millis, request = requestOf({})): entryCalls.EntryCalls {
  for (let attempt = 0; attempt < CALLS_TO_FILL_BUDGET; attempt++) calls.cancel(calls.begin(request, nowMs).callId, nowMs)
  return calls
}

/** A key as generated by a caller. */
export function keyOf (nowMs: base.Millis, source: base.IRandom): string {
  return uuid.v7({ msecs: Math.floor(nowMs), random: Uint8Array.from({ length: 16 }, () => source.nextInt(256)) })
}

export function requestOf (fields: Partial<types.EntryRequest>): types.EntryRequest {
  return {
    method: 'GET',
    path: '/till/price',
    headers: {},
    body: undefined,
    remainingMs: undefined,
    key: undefined,
    depth: 0,
    attempt: 1,
    ...fields
  }
}

export function answerOf (callId: number, fields: Partial<messages.AnswerMessage>): messages.AnswerMessage {
  return {
    kind: 'answer',
    callId,
    outcome: 'answered',
    reason: 'ok',
    status: 200,
    headers: {},
    body: undefined,
    last: true,
    retryAfterMs: 0,
    load: { inFlight: 0, queued: 0, slots: 15 },
    ...fields
  }
}

export type Send = Extract<types.EntryDecision, { kind: 'send' }>

/** Returns the decision as a send; throws for any other kind. */
export function asSend (decision: types.EntryDecision | undefined): Send {
  if (decision?.kind !== 'send') throw new Error(`Expected a send, got ${JSON.stringify(decision)}; check the targets and the request.`)
  return decision
}

/** Returns the final answer of the decision; throws for any other kind. */
export function asAnswer (decision: types.EntryDecision | undefined): hosting.FinalAnswer {
  if (decision?.kind !== 'answer') throw new Error(`Expected an answer, got ${JSON.stringify(decision)}; check the targets and the request.`)
  return decision.answer
}
