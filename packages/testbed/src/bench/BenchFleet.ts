import * as digests from '@elmpost/common/base/Digest.js'
import * as randoms from '@elmpost/common/base/Random.js'
import type * as base from '@elmpost/common/base/Types.js'
import * as acceptances from '@elmpost/common/config/Acceptance.js'
import * as deltas from '@elmpost/common/config/ConfigDelta.js'
import * as validators from '@elmpost/common/config/ConfigValidator.js'
import * as proposalMaker from '@elmpost/common/config/ProposalMaker.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as distributionTypes from '@elmpost/common/distribution/Types.js'
import * as tables from '@elmpost/common/membership/MemberTable.js'
import * as wires from '@elmpost/common/membership/WireRow.js'
import * as fakeLogs from '../network/FakeLog.js'
import * as networks from '../network/FakeNetwork.js'
import * as nodes from '../network/SteppedNode.js'
import * as benchDocuments from './benchDocument.js'
import type * as benchTypes from './convergenceTypes.js'
import * as logMeters from './LogMeter.js'
import * as memos from './MemoConfig.js'
import * as meters from './MessageMeter.js'

const START_MS = 1_700_000_000_000
const SEED_COUNT = 3
const RETENTION_MS = 3_600_000
const ZONE_DELAY_MS = 1
const CROSS_ZONE_DELAY_MS = 2

export interface BenchFleetOptions {
  readonly size: number
  readonly zoneCount: number
  readonly seed: number
  readonly strategy: distributionTypes.DistributionStrategy
  readonly preference: config.DistributionPreference
  readonly proposals: benchTypes.ProposalForm
}

/** A simulated fleet for measurements. Each document is validated and digested once for all nodes. */
export class BenchFleet {
  public readonly network: networks.FakeNetwork
  public readonly log: fakeLogs.FakeLog
  public readonly meter = new meters.MessageMeter()
  public readonly logMeter = new logMeters.LogMeter()
  public readonly running = new Map<base.NodeId, nodes.SteppedNode>()
  public isMetering = false
  private readonly _options: BenchFleetOptions
  private readonly _random: randoms.Random
  private readonly _validator = new memos.MemoValidator(new validators.ConfigValidator())
  private readonly _delta = new memos.MemoDelta(new deltas.ConfigDelta(this._validator))
  private readonly _digest = new memos.MemoDigest()
  private readonly _enforcedAtMs = new Map<base.NodeId, base.Millis>()
  private _base: config.AcceptedState | undefined

  constructor (options: BenchFleetOptions) {
    this._options = options
    this._random = new randoms.Random(options.seed)
    this.log = new fakeLogs.FakeLog({
      retentionMs: RETENTION_MS,
      onAnswer: (node, result) => { if (this.isMetering) this.logMeter.countRead(node.nodeId, result) }
    })
    this.network = new networks.FakeNetwork({
      random: this._random,
      startMs: START_MS,
      log: this.log,
      delayMs: (from, to) => from.zone === to.zone ? ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS,
      onSend: (from, to, message) => { if (this.isMetering) this.meter.count(from.nodeId, to.nodeId, message) }
    })
  }

  /** The newest proposed version. */
  public get version (): number {
    return this._base?.version ?? 0
  }

  public get ids (): readonly base.NodeId[] {
    return Array.from({ length: this._options.size }, (_, i) => `vm-${String(i).padStart(5, '0')}`)
  }

  public startAll (): void {
    for (const [index, id] of this.ids.entries()) this._start(id, index)
  }

  /** Starts all nodes in the state they have after a long run: ready, and each with the rows of all members. */
  public startAllSettled (): void {
    const table = this._makeFullTable()
    for (const [index, id] of this.ids.entries()) this._start(id, index, table.copy())
    const rows = [...table.all()].slice(0, 1).map(wires.toWire)
    // Simulates the answer of a peer; without it every node would join the mesh again.
    for (const node of this.running.values()) {
      node.membership.receive(rows[0]?.[0] ?? '', { kind: 'table-rows', rows, wantedBuckets: [], bucketCount: 0 }, this.network.nowMs)
      node.drain()
    }
  }

  /** Appends a proposal that changes two numbers of the document, as `elmpost apply` does. Returns its version. */
  public propose (): number {
    const version = this.version + 1
    const document = benchDocuments.benchDocument(this._options.size, this._options.zoneCount, version, this._options.preference)
    const digest = digests.digestJson(document)
    const proposal = this._makeProposal({ document, digest })
    this._base = { version, digest, rulesVersion: 1, document }
    this.log.append('config', proposal, this.network.nowMs)
    if (this.isMetering) this.logMeter.countAppend(proposal)
    return version
  }

  public kill (node: nodes.SteppedNode): void {
    this.network.remove(node)
    this.running.delete(node.nodeId)
  }

  /** Returns `count` running nodes, selected at random. */
  public selectRandom (count: number): readonly nodes.SteppedNode[] {
    const pool = [...this.running.values()]
    for (let i = 0; i < count; i++) {
      const j = i + this._random.nextInt(pool.length - i)
      const a = pool[i]
      const b = pool[j]
      if (a === undefined || b === undefined) continue
      pool[i] = b
      pool[j] = a
    }
    return pool.slice(0, count)
  }

  public countBelow (version: number): number {
    let count = 0
    for (const node of this.running.values()) if (node.version < version) count++
    return count
  }

  /** Time from `startMs` until the last running node enforced its version. */
  public lastEnforcedMs (startMs: base.Millis): base.Millis {
    let lastMs = 0
    for (const atMs of this._enforcedAtMs.values()) lastMs = Math.max(lastMs, atMs - startMs)
    return lastMs
  }

  private _makeProposal (proposed: proposalMaker.ProposedDocument): config.ProposalRecord | config.DeltaProposalRecord {
    const version = this.version + 1
    const origin = {
      proposalId: `00000000-0000-4000-8000-${String(version).padStart(12, '0')}`,
      author: 'bench',
      proposedAtMs: this.network.nowMs
    }
    return this._options.proposals === 'whole'
      ? proposalMaker.makeWholeProposal(origin, this._base, proposed)
      : proposalMaker.makeProposal(this._validator, origin, this._base, proposed)
  }

  private _makeFullTable (): tables.MemberTable {
    const table = new tables.MemberTable()
    for (const [index, id] of this.ids.entries()) {
      table.merge({ ...nodes.selfOf(this._identityOf(id, index)), state: 'ready', revision: 1, successor: '' })
    }
    return table
  }

  private _identityOf (nodeId: base.NodeId, index: number): nodes.SteppedNodeIdentity {
    return {
      nodeId,
      zone: `zone-${index % this._options.zoneCount}`,
      service: benchDocuments.serviceOf(index, this._options.size),
      incarnation: this.network.nowMs
    }
  }

  private _start (nodeId: base.NodeId, index: number, table?: tables.MemberTable): void {
    const node = new nodes.SteppedNode({
      ...this._identityOf(nodeId, index),
      ...(table === undefined ? {} : { table }),
      seeds: this.ids.slice(0, SEED_COUNT).map(nodes.addressOf),
      seed: this._options.seed,
      acceptance: new acceptances.Acceptance(this._validator),
      validator: this._validator,
      delta: this._delta,
      strategy: this._options.strategy,
      digestOf: document => this._digest.digestOf(document)
    })
    node.enforcement.onEnforced(({ atMs }) => { this._enforcedAtMs.set(nodeId, atMs) })
    this.running.set(nodeId, node)
    this.network.add(node)
  }
}
