/** Interfaces between the core, its process and addons. */
import type * as base from '../base/Types.js'
import type * as distribution from '../distribution/Services.js'
import type * as distributionTypes from '../distribution/Types.js'
import type * as hosting from '../hosting/Services.js'
import type * as hostingTypes from '../hosting/Types.js'
import type * as membership from '../membership/Services.js'
import type * as messages from './Messages.js'
import type * as routing from '../routing/Services.js'

/** The services that make up the decision core of one node. */
export interface NodeServices {
  readonly membership: membership.IMembership
  readonly enforcement: distribution.IEnforcement
  readonly distribution: distribution.IDistribution
  readonly ownershipTable: hosting.IOwnershipTable
  readonly ownershipLog: hosting.IOwnershipLog
  readonly crashTable: hosting.ICrashTable
  readonly host: hosting.IHostCalls
  readonly entry: routing.IEntryCalls
  readonly lifecycle: hosting.ILifecycle
}

/** Effects that the core has requested and the process has not yet carried out. */
export interface IEffectQueue extends messages.IEffects {
  readonly length: number
  /** Removes and returns the effects in the order in which they were requested. */
  drain(): readonly messages.Effect[]
}

/** The final answer to a call that entered the mesh at this node was sent. */
export interface CallFinished {
  readonly outcome: hostingTypes.Outcome
  readonly reason: hostingTypes.OutcomeReason
  /** Time from the arrival of the request until its answer was written. */
  readonly totalMs: base.Millis
  /** Part of `totalMs` spent by the target; 0 if it did not run the call. */
  readonly targetMs: base.Millis
}

/** Kinds of traffic between nodes. `control` is everything but calls and their answers. */
export type TrafficKind = 'control' | 'call'

/** Sources of untrusted input, which is validated when it is decoded. */
export type InputSource = 'peer' | 'log' | 'operator'

export interface MessageRefused {
  readonly source: InputSource
  readonly reason: string
}

/** A record of the log that has no effect on this node, because it cannot be read or breaks the rules. */
export interface RecordSkipped {
  readonly stream: messages.StreamName
  readonly offset: number
  /** Description of the problem, with a remedy. */
  readonly problem: string
}

/** Current values of a node, read on request. */
export interface NodeGauges {
  readonly enforcedVersion: number
  readonly floorVersion: number
  readonly members: Readonly<Record<string, number>>
  readonly entryInFlight: number
  readonly load: hostingTypes.LoadReport
  readonly openLinks: number
  readonly residentBytes: number
  readonly readiness: distributionTypes.Readiness
}

/** Interface through which an addon observes a node. */
export interface INodeView {
  readonly nodeId: base.NodeId
  readonly zone: string
  readonly onCallFinished: base.IEvent<CallFinished>
  readonly onBytes: base.IEvent<{ readonly direction: 'sent' | 'received', readonly traffic: TrafficKind, readonly bytes: number }>
  readonly onMessageRefused: base.IEvent<MessageRefused>
  readonly onEnforced: base.IEvent<distributionTypes.VersionEnforced>
  gauges(): NodeGauges
}

/** Text that an addon serves under the administration address. */
export interface IExposition {
  readonly contentType: string
  render(): Promise<string>
}

/** An optional part of a node, loaded and activated by its process. */
export interface INodeAddon extends base.IDisposable {
  /** Served at `/metrics`, if the addon offers it. */
  readonly exposition?: IExposition
  activate(node: INodeView): void
}
