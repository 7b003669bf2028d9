import * as digest from '@elmpost/common/base/Digest.js'
import * as randoms from '@elmpost/common/base/Random.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as configServices from '@elmpost/common/config/Services.js'
import type * as config from '@elmpost/common/config/Types.js'
import * as distributions from '@elmpost/common/distribution/Distribution.js'
import * as enforcements from '@elmpost/common/distribution/Enforcement.js'
import * as readerSelections from '@elmpost/common/distribution/ReaderSelection.js'
import * as terms from '@elmpost/common/distribution/Terms.js'
import type * as distributionTypes from '@elmpost/common/distribution/Types.js'
import type * as hosting from '@elmpost/common/hosting/Services.js'
import type * as tables from '@elmpost/common/membership/MemberTable.js'
import * as memberships from '@elmpost/common/membership/Membership.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as fakeLogs from './FakeLog.js'

export interface SteppedNodeIdentity {
  readonly nodeId: base.NodeId
  readonly zone: string
  readonly service?: string
  readonly incarnation: base.Incarnation
}

export interface SteppedNodeOptions extends SteppedNodeIdentity {
  /** Initial member table. */
  readonly table?: tables.MemberTable
  readonly seeds: readonly string[]
  readonly seed?: number
  readonly acceptance: configServices.IAcceptance
  readonly validator: configServices.IConfigValidator
  readonly delta: configServices.IConfigDelta
  readonly strategy?: distributionTypes.DistributionStrategy
  readonly ownership?: hosting.IOwnershipTable
  readonly digestOf?: (document: config.ConfigDocument) => string
}

/** Membership and distribution of one node, without calls, stepped by a `FakeNetwork`. */
export class SteppedNode implements fakeLogs.ILogReaderNode {
  public readonly nodeId: base.NodeId
  public readonly address: string
  public readonly zone: string
  public readonly membership: memberships.Membership
  public readonly enforcement: enforcements.Enforcement
  public readonly readers: readerSelections.ReaderSelection
  public readonly distribution: distributions.Distribution
  public readonly malformed: Error[] = []
  private _effects: messages.Effect[] = []

  constructor (options: SteppedNodeOptions) {
    this.nodeId = options.nodeId
    this.zone = options.zone
    this.address = addressOf(options.nodeId)
    const effects: messages.IEffects = { push: effect => { this._effects.push(effect) } }
    const random = new randoms.Random(digest.placementHash(`${options.seed ?? 0}/${options.nodeId}/${options.incarnation}`) | 0)
    const onMalformed = (error: Error): void => { this.malformed.push(error) }
    const table = options.table === undefined ? {} : { table: options.table }
    const ownership = options.ownership === undefined ? {} : { ownership: options.ownership }
    this.enforcement = new enforcements.Enforcement({ validator: options.validator })
    this.membership = new memberships.Membership({
      self: selfOf(options),
      seeds: options.seeds,
      random,
      effects,
      terms: () => terms.termsOf(this.enforcement.current),
      onMalformed,
      ...table,
      ...ownership
    })
    this.readers = new readerSelections.ReaderSelection({ membership: this.membership })
    this.distribution = new distributions.Distribution({
      membership: this.membership,
      enforcement: this.enforcement,
      readers: this.readers,
      acceptance: options.acceptance,
      delta: options.delta,
      random,
      effects,
      strategy: options.strategy ?? 'hybrid',
      onMalformed,
      ...ownership,
      ...(options.digestOf === undefined ? {} : { digestOf: options.digestOf })
    })
  }

  public get version (): number {
    return this.enforcement.current?.version ?? 0
  }

  public tick (nowMs: base.Millis): void {
    this.membership.tick(nowMs)
    this.distribution.tick(nowMs)
    if (this.membership.self.state === 'joining' && this.distribution.readiness().ready) this.membership.setState('ready', nowMs)
  }

  public receive (from: base.NodeId, message: messages.ControlMessage, nowMs: base.Millis): void {
    switch (message.kind) {
      case 'push':
      case 'push-ack':
      case 'pull':
      case 'state':
      case 'busy':
        return this.distribution.receive(from, message, nowMs)
      case 'handover':
      case 'handover-ack':
      case 'handover-refusal':
        return
      default:
        return this.membership.receive(from, message, nowMs)
    }
  }

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    this.distribution.logRead(result, nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    this.distribution.logAppended(result, nowMs)
  }

  public drain (): readonly messages.Effect[] {
    const effects = this._effects
    this._effects = []
    return effects
  }
}

export function addressOf (nodeId: base.NodeId): string {
  return `${nodeId}.mesh:7000`
}

/** The row that the node announces about itself. */
export function selfOf (options: SteppedNodeIdentity): memberships.MembershipOptions['self'] {
  const { nodeId, zone, incarnation } = options
  return {
    nodeId,
    incarnation,
    zone,
    peerAddress: addressOf(nodeId),
    callerAddress: `${nodeId}.mesh:8000`,
    adminAddress: '127.0.0.1:9000',
    service: options.service ?? '',
    targetReady: true,
    targetReadySinceMs: 0,
    enforcedVersion: 0
  }
}
