/** Interfaces between the parts of the node process. */
import type * as base from '@elmpost/common/base/Types.js'
import type * as http from 'node:http'
import type * as hosting from '@elmpost/common/hosting/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import type * as types from './Types.js'

/** Writes structured log lines. */
export interface ILogger {
  isEnabled(level: types.LogLevel): boolean
  /** `event` is an event name that `docs/operators.md` lists. */
  log(level: types.LogLevel, event: string, context?: types.LogContext): void
}

/** Binds servers to their addresses. */
export interface IServerBinder {
  /** Resolves with the port when the server listens. */
  bind(server: http.Server, address: types.Address): Promise<number>
}

/** A connection to another node, or to this node itself. Carries calls and control messages in both directions. */
export interface IPeerLink {
  readonly nodeId: base.NodeId
  /** Ids of the runs on this host that the peer waits for, by the peer's call id. */
  readonly runs: Map<number, number>
  /** Writes a call and tracks it until `release`, or queues it until the connection is open. */
  sendCall(call: messages.CallMessage): types.SendStatus
  /** Stops tracking a call that has its final answer or is abandoned. */
  release(callId: number): void
  /** Writes a message immediately. False if it was certainly not written. */
  send(message: messages.PeerMessage): boolean
}

/** Opens connections to other nodes when they are needed. */
export interface IPeerLinks {
  linkTo(nodeId: base.NodeId, address: string): IPeerLink
  sendControl(to: base.NodeId, address: string, message: messages.ControlMessage): void
}

/** Handles the messages and events of links. */
export interface ILinkReceiver {
  handleMessage(link: IPeerLink, message: messages.PeerMessage): void
  /** The connection has closed: `calls` were sent on it and have no final answer, `unsent` were never written. */
  handleLost(link: IPeerLink, calls: Iterable<number>, unsent: readonly messages.CallMessage[], planned: boolean): void
  handleRefusal(link: IPeerLink, error: Error): void
  /** Whether the peer may send a handover that is larger than other messages. */
  mayHandOver(link: IPeerLink): boolean
  /** Counts bytes of the traffic between nodes. */
  recordBytes(direction: 'sent' | 'received', kind: messages.PeerMessage['kind'], bytes: number): void
}

/** Runs requests on the target. */
export interface ITargetRunner {
  run(request: types.TargetRequest): void
  /** Drops a queued request or aborts a started one. */
  abort(runId: number, reason: hosting.OutcomeReason): void
  /** Resumes a streamed answer that its listener has paused. */
  resume(runId: number): void
  setLimits(slots: number, connections: number): void
  /** Ends started runs whose deadline has passed. */
  expire(nowMs: base.Millis): void
}

/** Identifies a call that entered at this node. The id changes when the call is retried. */
export interface ICallHandle {
  readonly callId: number
}

/** The caller's side of one call: its request, and the writer of its answer. */
export interface ICallSink {
  readonly request: routing.EntryRequest
  /** Sends a complete answer. */
  answer(answer: hosting.FinalAnswer, key: string | undefined): void
  /** Sends the head of a streamed answer. */
  writeHead(answer: hosting.FinalAnswer, key: string | undefined): void
  /** Sends a part of a streamed body. False if the caller is slow; `IExchangeOwner.handleWritable` follows. */
  writeChunk(body: Uint8Array): boolean
  end(): void
  /** Destroys the caller's connection, so that a truncated answer cannot be taken for a complete one. */
  destroy(): void
}

/** Client of the log service. */
export interface ILogClient extends base.IDisposable {
  read(stream: messages.StreamName, fromOffset: number, limit: number, waitMs: base.Millis): Promise<messages.LogReadResult>
  append(stream: messages.StreamName, requestId: string, data: unknown): Promise<messages.LogAppendResult>
}
