import type * as base from '@elmpost/common/base/Types.js'
import type * as customerShares from '@elmpost/common/direct/CustomerShares.js'
import type * as services from './Services.js'
import type * as slotQueue from '@elmpost/common/direct/SlotQueue.js'
import type * as slotUse from '@elmpost/common/direct/SlotUse.js'
import type * as types from './Types.js'

/** Service time that is assumed for a call before the first answer to a call with the same objective, as a share of that objective. */
const ASSUMED_SHARE = 1 / 3
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

export interface SlotCallContext {
  readonly dialect: Pick<services.ICallDialect, 'customerOf' | 'parentIdOf'>
  readonly customerWeight: (customer: string) => number | undefined
}

export function slotCallOf (id: number, message: types.CallMessage, nowMs: base.Millis, context: SlotCallContext): slotQueue.SlotCall {
  return {
    id,
    priority: message.priority,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + message.remainingMs,
    objectiveAtMs: nowMs + message.objectiveMs - message.elapsedMs,
    isNested: context.dialect.parentIdOf(message.requestId) !== undefined,
    workClass: message.objectiveMs,
    assumedMs: message.objectiveMs * ASSUMED_SHARE,
    customer: customerOf(message, context)
  }
}

function customerOf ({ headers }: types.CallMessage, { dialect, customerWeight }: SlotCallContext): customerShares.WeightedCustomer | undefined {
  const name = dialect.customerOf(headers)
  const weight = name === undefined ? undefined : customerWeight(name)
  return name === undefined || weight === undefined ? undefined : { name, weight }
}

/** What the slot of a call has been used for. */
export function purposeOf ({ objectiveAtMs }: HostedCall, result: types.RunResult, nowMs: base.Millis): slotUse.SlotPurpose {
  if (result.kind !== 'answered') return 'lost'
  if (result.answer.status >= FIRST_ERROR_STATUS) return 'error'
  return nowMs <= objectiveAtMs ? 'on-time' : 'late'
}
