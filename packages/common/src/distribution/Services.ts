import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as messages from '../node/Messages.js'
import type * as types from './Types.js'

/** Chooses the nodes of this node's zone that read the log. */
export interface IReaderSelection {
  /** Readers of this node's zone, the first one first. */
  readonly readers: readonly base.NodeId[]
  /** Position of this node among the readers of its zone; -1 if it is not a reader. */
  readonly ownRank: number
  /** Whether this node writes the fleet-wide records. */
  readonly isFirstOfFleet: boolean
}

/** Holds the state in force. Its version never decreases. */
export interface IEnforcement {
  readonly onEnforced: base.IEvent<types.VersionEnforced>
  readonly current: config.AcceptedState | undefined
  readonly floorVersion: number
  /** Raises the lowest version that may be enforced. */
  raiseFloor(version: number): void
  /** Validates a state and puts it in force. Returns false if it is not newer, below the floor or invalid. */
  enforce(state: config.AcceptedState, nowMs: base.Millis): boolean
}

/** Reads the log when this node is a reader, pushes new versions and repairs nodes that are behind. */
export interface IDistribution {
  readonly isReader: boolean
  tick(nowMs: base.Millis): void
  receive(from: base.NodeId, message: messages.DistributionMessage, nowMs: base.Millis): void
  /** Result of a `read-log` effect on the stream `config`. */
  logRead(result: messages.LogReadResult, nowMs: base.Millis): void
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
  readiness(nowMs: base.Millis): types.Readiness
}
