/** Types of direct calls: calls without a key, routed by host and path prefix, sent once unless they are idempotent. */
import type * as base from '../base/Types.js'

export type CallKind = 'idempotent' | 'non-idempotent'

/** Share of a route's calls that goes to one service. */
export interface SplitPart {
  readonly service: string
  readonly weight: number
}

export interface RouteRule {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: CallKind
  /** At least one part; weights are relative. */
  readonly parts: readonly SplitPart[]
  /** Maximum duration of a call. */
  readonly timeoutMs: base.Millis
  /** Time within which an answer is on time. */
  readonly objectiveMs: base.Millis
  /** Maximum number of targets that one call may be sent to. */
  readonly maxAttempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Calls on the route need no key, also where the configuration has customers. */
  readonly isPublic?: boolean
  /** Bodies of its requests are long, so the time on the links counts. */
  readonly hasLongBodies?: boolean
}

/** A customer of the institution. Its calls bear one of its keys. */
export interface CustomerRule {
  readonly name: string
  readonly keys: readonly string[]
  /** 0 is the most urgent. Goes before the priority of a route. */
  readonly priority: number
  /** Requests that it may send through all nodes together. Infinity if it has no limit. */
  readonly maxCallsPerS: number
  /** Requests beyond `maxCallsPerS` that it may send at once. */
  readonly burstCalls: number
}

/** How far the requests of a customer may exceed its limit. Whatever nodes do, in each window `(rate x window + burst) x (1 + overshoot) + slack` is the bound. */
export interface CustomerLimitTerms {
  readonly windowMs: base.Millis
  readonly overshoot: number
  readonly slack: number
}

/** Bounds for a new version of a service that turns out to be bad. */
export interface RolloutTerms {
  /** Share of the requests for the service that it may get. */
  readonly exposureShare: number
}

export interface ServiceRule {
  readonly name: string
  readonly healthPath: string
  /** Connections that a target accepts. */
  readonly maxConnections: number
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number
  /** Callers may reuse a connection that has been idle for less than this. */
  readonly idleTimeoutMs: base.Millis
}

/** One accepted configuration. */
export interface MeshRules {
  readonly version: number
  readonly routes: readonly RouteRule[]
  readonly services: readonly ServiceRule[]
  readonly limits: CallerLimits
  /** Undefined if requests bear no keys. */
  readonly customers?: readonly CustomerRule[] | undefined
}

/** Record of a node in the store, by which other nodes find it. */
export interface NodeRecord {
  /** Address of the node for other nodes; it identifies the node. */
  readonly nodeId: base.NodeId
  readonly zone: string
  readonly service: string
  /** Capacity of the VM's link, in Mbit/s; 0 if it is not known. */
  readonly linkMbps: number
  /** Last target that the node knew, so that its next process need not wait for an announcement. */
  readonly target: KnownTarget | undefined
  /** Crashes of the targets beside the node. Missing if there were none. */
  readonly crashes?: readonly StoredCrash[]
}

/** Crash of the target beside a node, as the node writes it to the store. */
export interface StoredCrash {
  readonly id: string
  /** Wall clock of the node; only for the age of the crash. */
  readonly atMs: base.Millis
  readonly requests: readonly CrashedRequest[]
}

/** One start of a target. A target may start again under the same id. */
export interface TargetStart {
  readonly targetId: string
  /** Clock of the target's VM when it started; 0 if it is not known. */
  readonly startedAtMs: base.Millis
}

/** What a host reports of its target. */
export interface ReportedTarget extends TargetStart {
  /** Whether the target has announced that it is leaving, or has ended. */
  readonly isLeaving: boolean
  /** Version of the service that the target runs. Undefined if it is not known. */
  readonly softwareVersion?: string | undefined
}

export interface KnownTarget extends ReportedTarget {
  readonly slots: number
}

/** What a target states about itself in an answer. */
export interface TargetNotice {
  /** Requests a second that it takes from all nodes together. Infinity if it advertises no rate limit; undefined if it advertises one that is not a number. */
  readonly maxCallsPerS: number | undefined
  /** It takes no new work. */
  readonly isLeaving: boolean
}

/** What a node knows of a target beside another node, from the answers that it has passed on and from that node. */
export interface KnownNotice extends TargetNotice, TargetStart {}

export type TargetState = 'ready' | 'leaving' | 'down' | 'absent'

/** Limit on the calls to a target, as kept by its host node. */
export interface CallLimit {
  readonly maxCallsPerS: number
  /** Calls that may start at once. */
  readonly permits: number
}

/** Load of a target, as counted by its host node. */
export interface TargetLoad {
  readonly running: number
  readonly queued: number
  /** Number of queued calls that are more urgent than the least urgent ones. */
  readonly urgentQueued: number
  /** Priority of the least urgent calls that the target receives. */
  readonly leastUrgent: number
  readonly slots: number
  /** Moving average of the time that a call takes on the target; 0 before the first answer. */
  readonly serviceMs: base.Millis
  /** Undefined if the target has advertised no rate limit. */
  readonly limit?: CallLimit | undefined
}

/** What a host node reports about itself and its target. */
export interface HostStatus {
  readonly state: TargetState
  readonly load: TargetLoad
  /** Configuration version in force. */
  readonly version: number
  /** Time since the node's last contact to the store. */
  readonly storeAgeMs: base.Millis
  /** Time since the last contact of any node to the store, as far as this node knows. */
  readonly fleetStoreAgeMs: base.Millis
  /** Era of the store; undefined if it is not known. */
  readonly storeEra?: number | undefined
  /** Part of the first status on a link and of each that tells a change. Undefined if the node knows no target, or runs a version that does not report it. */
  readonly target?: ReportedTarget | undefined
}

/** What a target announces about itself. */
export interface Announcement {
  readonly targetId: string
  readonly service: string
  readonly address: string
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Increases with each announcement of one start of a target. */
  readonly sequence: number
  /** Clock of the target's VM when it started, or 0; only compared with other starts at the same address. */
  readonly startedAtMs: base.Millis
  /** Version of the service that the target runs. Undefined if it does not state one. */
  readonly softwareVersion?: string | undefined
}

/** Where a request began: at a caller, or as a nested call that the target beside the node makes in a run or in a retried one. */
export type RequestOrigin = 'caller' | 'run' | 'retried-run'

/** For whom the target beside the node makes a call: the customer of the run in which it makes it. */
export interface RunCustomer {
  /** Undefined if the run is for no customer. */
  readonly name: string | undefined
  /** Urgency of the run. */
  readonly urgency: number
}

/** The properties of a caller's request that decisions depend on. */
export interface CallRequest {
  readonly host: string
  readonly path: string
  /** Time that the caller waits; undefined if it does not state one. */
  readonly remainingMs: base.Millis | undefined
  readonly bodyBytes: number
  /** Time by which the call must have ended, because the node stops then. */
  readonly endByMs: base.Millis
  readonly origin: RequestOrigin
  /** Crashes that the request took part in. Undefined if nothing is known of it. */
  readonly history?: IRequestHistory | undefined
  /** Key that the request bears. Undefined if it bears none, or more than one. */
  readonly customerKey?: string | undefined
  /** Run of the target beside this node in which the call is made. Undefined if it is no nested call, or the run is not known. */
  readonly run?: RunCustomer | undefined
}

/** What is known of a request that may crash targets. It may change while the request is under way. */
export interface IRequestHistory {
  readonly fingerprint: string
  readonly standing: Standing
  /** Time after which a blocked request is tried again. */
  readonly blockedForMs: base.Millis
}

export type RefusalReason =
  | 'no-configuration' | 'no-route' | 'unknown-key' | 'over-limit' | 'body-too-large' | 'body-late' | 'no-target' | 'busy' | 'target-refused' | 'deadline' | 'stopping' | 'crashes-targets'

export type FailureReason = 'timeout' | 'peer-lost' | 'target-lost' | 'bad-answer' | 'node-stopped'

/** A host node's statement that a call has not run and will not run. */
export interface HostRefusal {
  readonly reason: RefusalReason
  /** Whether the call was written to the target, which refused it. */
  readonly reachedTarget: boolean
  /** Expected time until the target has capacity for the call. */
  readonly waitMs: base.Millis
}

/** Decision to send a call to a host node. */
export interface SendDecision {
  readonly kind: 'send'
  readonly callId: number
  readonly nodeId: base.NodeId
  readonly service: string
  readonly rule: RouteRule
  /** 0 is the most urgent. */
  readonly urgency: number
  readonly deadlineAtMs: base.Millis
  /** Since when the caller waits, including earlier requests that were refused. */
  readonly beganAtMs: base.Millis
  /** Whether an earlier send of the call reached a target, or may have, or the call is a nested call of a retried run. */
  readonly isRetry: boolean
}

/** Slots of the targets of a service that a node can send calls to, as far as it knows. */
export interface SlotView {
  readonly targets: number
  readonly slots: number
  readonly free: number
}

/** Final answer given by the node itself. */
export interface OwnAnswer {
  readonly kind: 'refuse' | 'fail'
  readonly callId: number
  readonly reason: RefusalReason | FailureReason
  readonly retryAfterMs: base.Millis
  /** Route of the call, if one was found. */
  readonly rule: RouteRule | undefined
  readonly sends: number
  /** What the node knew of the slots of the service when it refused the call. */
  readonly seen?: SlotView
}

/** `answer`: the newest answer of a target is returned to the caller. */
export type FinalDecision = OwnAnswer | { readonly kind: 'answer', readonly callId: number }

export type CallDecision = SendDecision | FinalDecision

/** Reason to retry a call that reached a target, or may have, on another one. */
export type RetryCause = FailureReason | 'error' | 'declined' | 'peer-silent'

/** What a node knows when it decides on a retry. The counts are for one service, at this node, in the last window. */
export interface RetryView {
  readonly firstSends: number
  readonly retries: number
  /** Nested calls that the target beside this node made in retried runs. */
  readonly callsBelow: number
  /** Number of nodes that share the slack of the fleet; undefined if not known. */
  readonly nodeCount: number | undefined
  /** Age of this process. */
  readonly lifeMs: base.Millis
}

/** Decision whether a call may be retried after it reached a target, or may have. */
export interface RetryDecided {
  readonly callId: number
  readonly service: string
  readonly route: string
  readonly cause: RetryCause
  readonly isAllowed: boolean
  readonly view: RetryView
}

/** Bound on sends beyond the first of each call, for the whole fleet. */
export interface RetryTerms {
  /** Retries per first send. */
  readonly ratio: number
  /** Retries in each window beyond the ratio, for all nodes together. */
  readonly slack: number
  readonly windowMs: base.Millis
}

/** When a request that was running at a crash has been answered without an error, anywhere in the fleet as far as is known. */
export type AnswerTime = 'never' | 'before' | 'after'

/** A request that a target was running when it crashed. */
export interface CrashedRequest {
  /** The same for a request that comes again under another id. */
  readonly fingerprint: string
  /** Whether it ran alone, to find out whether it crashes targets. */
  readonly isTrial: boolean
  readonly answered: AnswerTime
}

/** Crash of a target, or a part of what is known of it. */
export interface CrashReport {
  readonly id: string
  /** Service of the target. */
  readonly service: string
  readonly ageMs: base.Millis
  readonly requests: readonly CrashedRequest[]
}

/**
 * How a request may run, by the crashes that it took part in. `suspect`: where little else runs. `trial`: alone on its target.
 * `blocked`: not at all.
 */
export type Standing = 'free' | 'suspect' | 'trial' | 'blocked'
