import * as randoms from '@elmpost/common/base/Random.js'
import type * as base from '@elmpost/common/base/Types.js'
import * as acceptances from '@elmpost/common/config/Acceptance.js'
import * as deltas from '@elmpost/common/config/ConfigDelta.js'
import * as validators from '@elmpost/common/config/ConfigValidator.js'
import * as proposalMaker from '@elmpost/common/config/ProposalMaker.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as distributionTypes from '@elmpost/common/distribution/Types.js'
import type * as hosting from '@elmpost/common/hosting/Services.js'
import * as fakeLogs from './FakeLog.js'
import * as networks from './FakeNetwork.js'
import * as nodes from './SteppedNode.js'

const START_MS = 1_700_000_000_000
const SEED_COUNT = 3

export interface SteppedFleetOptions {
  readonly size: number
  readonly zones: readonly string[]
  readonly seed: number
  readonly retentionMs?: base.Millis
  readonly terms?: Partial<config.DistributionTerms>
  readonly strategy?: distributionTypes.DistributionStrategy
  readonly ownership?: (nodeId: base.NodeId) => hosting.IOwnershipTable
}

/** A fleet of stepped nodes with a log and an operator, for tests. */
export class SteppedFleet {
  public readonly random: randoms.Random
  public readonly log: fakeLogs.FakeLog
  public readonly network: networks.FakeNetwork
  public readonly nodes = new Map<base.NodeId, nodes.SteppedNode>()
  /** Highest version that each node has enforced, across its restarts. */
  public readonly highestVersions = new Map<base.NodeId, number>()
  /** Descriptions of each time that a node enforced a lower version than before, across its restarts. */
  public readonly reversals: string[] = []
  /** States that the operator proposed, ordered by version. */
  public readonly acceptedStates: config.AcceptedState[] = []
  private readonly _options: SteppedFleetOptions
  private readonly _validator = new validators.ConfigValidator()
  private readonly _delta = new deltas.ConfigDelta(this._validator)
  private _proposalCount = 0

  constructor (options: SteppedFleetOptions) {
    this._options = options
    this.random = new randoms.Random(options.seed)
    this.log = new fakeLogs.FakeLog({ retentionMs: options.retentionMs ?? 3_600_000 })
    this.network = new networks.FakeNetwork({ random: this.random, startMs: START_MS, log: this.log })
  }

  /** Ids of all nodes of the fleet, whether started or not. */
  public get ids (): readonly base.NodeId[] {
    return Array.from({ length: this._options.size }, (_, i) => `node-${String(i).padStart(4, '0')}`)
  }

  public startAll (): void {
    for (const id of this.ids) this.start(id)
  }

  /** Starts a process of the node; a running one is killed first. */
  public start (nodeId: base.NodeId): nodes.SteppedNode {
    this.kill(nodeId)
    const node = new nodes.SteppedNode({
      nodeId,
      zone: this._zoneOf(nodeId),
      incarnation: this.network.nowMs,
      seeds: this.ids.slice(0, SEED_COUNT).map(nodes.addressOf),
      seed: this._options.seed,
      acceptance: new acceptances.Acceptance(this._validator),
      validator: this._validator,
      delta: this._delta,
      strategy: this._options.strategy ?? 'hybrid',
      ...(this._options.ownership === undefined ? {} : { ownership: this._options.ownership(nodeId) })
    })
    node.enforcement.onEnforced(({ version }) => this._recordVersion(nodeId, version))
    this.nodes.set(nodeId, node)
    this.network.add(node)
    return node
  }

  public kill (nodeId: base.NodeId): void {
    const node = this.nodes.get(nodeId)
    if (node === undefined) return
    this.network.remove(node)
    this.nodes.delete(nodeId)
  }

  public get (nodeId: base.NodeId): nodes.SteppedNode {
    const node = this.nodes.get(nodeId)
    if (node === undefined) throw new Error(`${nodeId} is not running; start it first`)
    return node
  }

  /** Appends a proposal for the next version and returns the version. Contains a patch in the cases where `elmpost apply` creates one. */
  public propose (): number {
    const baseState = this.acceptedStates.at(-1)
    this._proposalCount++
    const document = this._createDocument(1000 + this._proposalCount)
    const { proposalId, author } = documents.testProposal(this._proposalCount, baseState, document)
    const proposed = documents.testState(0, document)
    const proposal = proposalMaker.makeProposal(this._validator, { proposalId, author, proposedAtMs: this.network.nowMs }, baseState, proposed)
    const asOfOffset = this.log.append('config', proposal, this.network.nowMs)
    this.acceptedStates.push(documents.testState(proposal.version, document, asOfOffset))
    return proposal.version
  }

  public allEnforce (version: number): boolean {
    for (const node of this.nodes.values()) if (node.version !== version) return false
    return true
  }

  /** Advances until all running nodes enforce the version. Returns the time that this took, or undefined if it took longer than `maxMs`. */
  public converge (version: number, maxMs: base.Millis): base.Millis | undefined {
    const startMs = this.network.nowMs
    const isConverged = this.network.advanceUntil(() => this.allEnforce(version), maxMs)
    return isConverged ? this.network.nowMs - startMs : undefined
  }

  private _createDocument (coldStartMs: number): config.ConfigDocument {
    const document = documents.testDocument(coldStartMs)
    const distribution = { ...document.terms.distribution, ...this._options.terms }
    return { ...document, terms: { ...document.terms, distribution } }
  }

  private _zoneOf (nodeId: base.NodeId): string {
    return this._options.zones[this.ids.indexOf(nodeId) % this._options.zones.length] ?? ''
  }

  private _recordVersion (nodeId: base.NodeId, version: number): void {
    const before = this.highestVersions.get(nodeId) ?? 0
    if (version < before) this.reversals.push(`${nodeId} enforced ${version} after ${before}`)
    this.highestVersions.set(nodeId, Math.max(before, version))
  }
}
