import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as slotQueue from '@elmpost/common/direct/SlotQueue.js'
import type * as slotUse from '@elmpost/common/direct/SlotUse.js'
import type * as types from './Types.js'

const FIRST_ERROR_STATUS = 500

/** Call that a host has accepted. */
export interface HostedCall extends slotQueue.SlotCall {
  readonly caller: services.IHostCaller
  readonly message: types.CallMessage
  run: services.ITargetRun | undefined
  startedAtMs: base.Millis
  /** On the monotonic clock. Infinite until the call is started. */
  overdueAtMs: base.Millis
}

/** What the slot of a call has been used for. */
export function purposeOf ({ objectiveAtMs }: HostedCall, result: types.RunResult, nowMs: base.Millis): slotUse.SlotPurpose {
  if (result.kind !== 'answered') return 'lost'
  if (result.answer.status >= FIRST_ERROR_STATUS) return 'error'
  return nowMs <= objectiveAtMs ? 'on-time' : 'late'
}
