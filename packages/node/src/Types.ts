/** Types of the node process. */
import type * as hosting from '@elmpost/common/hosting/Types.js'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal'

/** Settings of one node, as read from its file and the environment. */
export interface NodeSettings {
  readonly nodeId: string
  readonly institution: string
  readonly zone: string
  /** Service of the target beside the node; empty if it has none. */
  readonly service: string
  /** `host:port` of the endpoint for callers. */
  readonly callerAddress: string
  /** `host:port` of the endpoint for other nodes. */
  readonly peerAddress: string
  /** `host:port` at which other nodes reach `peerAddress`; differs only if addresses are translated in between. */
  readonly announcedPeerAddress: string
  /** `host:port` of the administration endpoint, loopback only. */
  readonly adminAddress: string
  readonly targetUrl: string
  readonly targetHealthPath: string
  readonly logUrl: string
  /** Peer addresses of nodes to join through. */
  readonly seeds: readonly string[]
  readonly logLevel: LogLevel
}

export interface Address {
  readonly host: string
  readonly port: number
}

/** Fields of a log line beside level, node, zone and version. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>

/** Whether a message was written to the connection, or queued until the connection is open. */
export type SendStatus = 'sent' | 'queued' | 'not-sent'

/** Handles the progress and result of a run on the target. Exactly one of `handleAnswer`, `handleEnd` or `handleFailure` is called last. */
export interface IRunListener {
  /** Called right before the request is written. False drops the run as not started. */
  confirmStart(run: TargetRequest): boolean
  /** The complete answer, if it was not streamed. */
  handleAnswer(run: TargetRequest, status: number, headers: Record<string, string>, body: Uint8Array | undefined, serviceMs: number): void
  /** Head of an answer that is too large to be buffered. */
  handleHead(run: TargetRequest, status: number, headers: Record<string, string>): void
  /** Part of a streamed body. False asks the runner to pause until `ITargetRunner.resume` is called. */
  handleChunk(run: TargetRequest, body: Uint8Array): boolean
  /** The streamed body is complete. */
  handleEnd(run: TargetRequest, serviceMs: number): void
  handleFailure(run: TargetRequest, result: hosting.RunResult): void
}

/** A request for the target beside the node. */
export interface TargetRequest {
  readonly runId: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
  /** Deadline by the clock of this node. */
  readonly deadlineAtMs: number
  readonly key: string | undefined
  readonly depth: number
  readonly attempt: number
}
