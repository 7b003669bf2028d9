import type * as base from '@elmpost/common/base/Types.js'
import type * as crashWatches from './CrashWatch.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface TargetHostOptions {
  readonly nodeId: base.NodeId
  readonly service: string
  readonly dialect: services.ICallDialect
  readonly client: () => services.ITargetClient
  /** Id that the target is expected to have. */
  readonly targetId: () => string | undefined
  readonly state: () => direct.TargetState
  readonly nowMs: () => base.Millis
  /** Time that the monotonic clock may have missed so far, because the VM was suspended. Never decreases. */
  readonly uncountedMs: () => base.Millis
  /** When this process ends. Infinite while it is not stopping. */
  readonly endsAtMs: () => base.Millis
  /** Finds out whether the target accepts a connection. */
  readonly probe: (onResult: (result: crashWatches.ProbeResult) => void) => void
  readonly newCrashId: () => string
  readonly crashes: services.ICrashGuard
  readonly nestedCalls: services.INestedCalls
  /** Part of the target that a customer is entitled to, relative to that of others. */
  readonly customerWeight: (customer: string) => number | undefined
  /** Start of the target; undefined if it is not known. */
  readonly start: () => direct.TargetStart | undefined
  /** Undefined if the service of the target is never rolled out. */
  readonly rollout?: services.IHostRollout | undefined
  readonly events: ITargetHostEvents
}

export interface ITargetHostEvents {
  /** The target does not accept connections. */
  onTargetUnreachable(code: string): void
  /** The target has calls and does not answer. */
  onTargetSilent(): void
  /** Another target answers at the address. */
  onTargetDisplaced(targetId: string): void
  /** A call ended without a valid answer from the target. */
  onCallFailed(call: types.CallMessage, reason: string, detail: string): void
  onCallRefused(call: types.CallMessage, reason: direct.RefusalReason, waitMs: base.Millis): void
  /** The entry node has cancelled the call `heldMs` after it arrived here. `isRunning`: it had been started. */
  onCallCancelled(call: types.CallMessage, isRunning: boolean, heldMs: base.Millis): void
  /** The call runs alone, because it may crash the target. */
  onTrial(call: types.CallMessage): void
  /** The target has ended while it was running these requests. Called again if further ones turn out to have been running. */
  onTargetCrashed(crash: crashWatches.TargetCrash): void
  /** An answer of the target contains this notice. */
  onTargetNotice(targetId: string, notice: direct.TargetNotice): void
}
