/** Interfaces between the parts of a node that carries direct calls, and to its platform. */
import type * as base from '@elmpost/common/base/Types.js'
import type * as blockBody from '../BlockBody.js'
import type * as callGrants from '@elmpost/common/direct/CallGrants.js'
import type * as crashWatches from './CrashWatch.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as http from 'node:http'
import type * as rollout from '@elmpost/common/direct/RolloutTypes.js'
import type * as requestIdentity from './RequestIdentity.js'
import type * as storeEra from '@elmpost/common/direct/StoreEra.js'
import type * as types from './Types.js'

/** Headers of callers and targets. */
export interface ICallDialect {
  readRequest(headers: http.IncomingHttpHeaders): types.CallerRequestInfo
  readAnswer(status: number, headers: http.IncomingHttpHeaders): types.TargetAnswerInfo
  /** Reads what a target states about itself in the headers of an answer. */
  readNotice(headers: types.RawHeaders): direct.TargetNotice
  /** Whether elmpost sets this header of a request itself. `name` is in lower case. */
  isSetByNode(name: string): boolean
  /** Whether elmpost sets or takes this header of a request where the configuration has customers. `name` is in lower case. */
  isForCustomers(name: string): boolean
  /** Whether a header of an answer is for the node alone. `name` is in lower case. */
  isForNode(name: string): boolean
  /** Headers that the entry node adds for a caller beside a target of `service`, and for the customer that the request is made for. */
  entryHeaders(service: string, customer: string | undefined): types.RawHeaders
  /** Customer that a request is made for, from the headers that an entry node passes on. Undefined if they name none. */
  customerOf(headers: types.RawHeaders): string | undefined
  /** Service beside which a request began, from the headers that an entry node passes on; empty if they do not name it. */
  callerOf(headers: types.RawHeaders): string
  /** Headers that the host node adds. */
  targetHeaders(requestId: string, remainingMs: base.Millis, targetId: string | undefined): types.RawHeaders
  /** Headers of the node's own answers. */
  answerHeaders(requestId: string): types.RawHeaders
  targetIdOf(headers: http.IncomingHttpHeaders): string | undefined
  /** For the id of a nested call: id of the request that its target runs. Undefined if the id does not contain it. */
  parentIdOf(requestId: string): string | undefined
}

/** Topics of the store that keep the newest record of each key. A failure is a result, never an exception. Timeouts are for the begin of an answer. */
export interface IKeyedStore extends base.IDisposable {
  /** Learns the era of each answer. Answers of an earlier era count as none. */
  readonly era: storeEra.StoreEra
  /** Newest record of each key. */
  newest(topic: string, timeoutMs: base.Millis): Promise<types.NewestResult>
  /** Records from an offset on. Waits up to `waitMs` for the next one, but not beyond a new era, in which offsets are given out again. */
  read(topic: string, fromOffset: number, waitMs: base.Millis, timeoutMs: base.Millis): Promise<types.ReadResult>
  /** Writes all of the records or none. With `atOffset`, only if the topic ends there. */
  put(topic: string, records: readonly types.KeyedRecord[], timeoutMs: base.Millis, atOffset?: number): Promise<types.PutResult>
}

/** Location of the accepted configuration in the store, and its format. */
export interface IRulesFormat {
  readonly topic: string
  readonly key: string
  /** Returns an error that states what is wrong if the record is invalid. */
  decode(bytes: Uint8Array): direct.MeshRules | Error
}

/** Final status of a roll-out, or that it goes on. */
export type RolloutStatus = 'running' | 'completed' | 'rolled_back'

/** Orders of roll-outs, which are in the topic of the configuration, and their statuses in the store. */
export interface IRolloutFormat {
  /** Topic of the statuses, which this system writes. */
  readonly statusTopic: string
  /** Key of the order and of the status of a service. */
  keyOf(service: string): string
  /** Whether the key is that of an order, or of a status. */
  isKey(key: string): boolean
  /** Returns an error that states what is wrong if the record is invalid. */
  decodeOrder(key: string, bytes: Uint8Array): Omit<rollout.RolloutOrder, 'offset' | 'digest'> | Error
  decodeStatus(bytes: Uint8Array): RolloutReport | Error
  encodeStatus(report: RolloutReport): Buffer
}

export interface RolloutReport {
  readonly service: string
  readonly state: RolloutStatus
  readonly targetVersion: string
}

/** What a host needs to know of a roll-out of its service. */
export interface IHostRollout {
  /** Whether the target beside the host may run calls in the phase of the roll-out. */
  readonly mayRun: boolean
  /** A call on the target has ended `tookMs` after its start. */
  recordRun(call: types.CallMessage, result: types.RunResult, tookMs: base.Millis): void
}

/** Receives the results of calls that were passed to a host node. */
export interface IHostCaller {
  handleHostResult(nodeId: base.NodeId, callId: number, result: types.HostResult, load: direct.TargetLoad): void
}

/** A node that runs calls on its target. */
export interface IHost {
  /** Accepts a call. Ids are unique per caller. */
  accept(caller: IHostCaller, call: types.CallMessage): void
  /** Returns true if the call did not run and will not. */
  cancel(caller: IHostCaller, callId: number): boolean
  /** Abandons all calls of a caller that has disconnected. */
  abandon(caller: IHostCaller): void
}

/** A node that accepts the heads of calls with long bodies first. */
export interface IOfferedHost extends IHost {
  /** Reports that a call was refused before the host was asked. */
  recordRefusal(call: types.CallMessage, refusal: direct.HostRefusal): void
  readonly load: direct.TargetLoad
  /** Refusal of a call that the host takes in no case now. */
  refusalAtArrival(call: types.CallMessage): direct.HostRefusal | undefined
  /** Refusal of the call if its body had arrived in `transferMs`; undefined if it would be accepted, as far as is known now. */
  refusalOf(call: types.CallMessage, transferMs: base.Millis): direct.HostRefusal | undefined
}

/** Knows which requests crash the targets that run them. */
export interface ICrashGuard {
  standingOf(request: requestIdentity.IdentifiedRequest): direct.Standing
  /** Stays true while the request is under way. */
  historyOf(request: requestIdentity.IdentifiedRequest): direct.IRequestHistory
  /** What is held against the request, for the host that it is sent to. Undefined if nothing is. */
  reportsOf(request: requestIdentity.IdentifiedRequest): readonly direct.CrashReport[] | undefined
  /** A target has answered the request. */
  recordAnswer(request: requestIdentity.IdentifiedRequest, status: number): void
  recordCrash(crash: crashWatches.TargetCrash): void
  /** Takes over what another node knows. */
  recordReports(reports: readonly direct.CrashReport[]): void
}

/** Sends HTTP requests to the target. */
export interface ITargetClient extends base.IDisposable {
  /** `onNotice` is called for an answer to the request, before its body is complete. */
  run(request: ITargetRequest, onResult: (result: types.RunResult) => void, onNotice: (notice: direct.TargetNotice) => void): ITargetRun
  health(path: string, timeoutMs: base.Millis): Promise<types.TargetHealth | undefined>
}

export interface ITargetRequest {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: types.RawHeaders
  readonly body: blockBody.Body | undefined
  /** Whether the deadline of the call has passed. Asked before the request is written. */
  isExpired(): boolean
}

export interface ITargetRun {
  /** Aborts the exchange. It ends as failed, or as withdrawn if nothing was written. */
  abort(): void
}

/** One request of a caller and its answer. */
export interface IExchange {
  readonly method: string
  readonly host: string
  readonly path: string
  readonly headers: types.RawHeaders
  readonly body: blockBody.Body | undefined
  readonly info: types.CallerRequestInfo
  /** Time since the head of the request was read. */
  readonly waitedMs: base.Millis
  /** How long its connection may have waited before it was accepted, if this is the first request on it. */
  readonly acceptWaitMs: base.Millis
  answer(answer: types.TargetAnswer): void
  refuse(answer: direct.OwnAnswer): void
}

/** Handles the requests of callers. */
export interface IExchangeOwner {
  begin(exchange: IExchange): void
  /** Cancels the request of a caller that has disconnected. */
  cancel(exchange: IExchange): void
  /** Gives each request that has no answer its final one, because the node stops. */
  endAll(): void
}

/** What the platform integration needs from a node. */
export interface INodeControl {
  readonly isReady: boolean
  /** Resolves when the node has applied the announcement, to false if it is not about the target beside the node. */
  announce(announcement: direct.Announcement): Promise<boolean>
  /** Handles the end, present or imminent, of the target. */
  leave(targetId: string): Promise<boolean>
  /** Logs a message of a target or another writer that is invalid. */
  refuseMessage(problem: string): void
}

/** Receives the result for a call that has waited for a grant. */
export type GrantHandler = (settled: callGrants.Settled) => void

/** Limits of customers over all nodes. Each call of a customer with a limit takes a grant. */
export interface ICallLimits {
  /** Takes a grant for a call. `onSettled` is called, later, only if the call has to wait. */
  take(customer: string, onSettled: GrantHandler): callGrants.Taken
  /** Forgets a call that waits. */
  cancel(customer: string, onSettled: GrantHandler): void
  /** Returns the grant of a call that was refused unrun. */
  giveBack(grant: callGrants.Grant): void
}

/** Runs of the target beside this node, and the calls that it makes in them. */
export interface INestedCalls {
  beginRun(call: types.CallMessage): void
  endRun(call: types.CallMessage): void
  originOf(parentId: string | undefined): direct.RequestOrigin
  /** For whom a nested call is made. Undefined if it is none, or its run is not known. */
  customerOf(parentId: string | undefined): direct.RunCustomer | undefined
  /** A run has made a nested call to the service. */
  recordCall(parentId: string, service: string): void
  /** Whether the run may be started. False for a retry whose nested calls would be too many retries elsewhere. */
  mayRun(call: types.CallMessage): boolean
}
