import type * as direct from '@elmpost/common/direct/Services.js'
import type * as entryGate from './EntryGate.js'

const OUTCOMES = { answered: 'answered', refuse: 'not-run', fail: 'unknown' } as const
const FIRST_ERROR_STATUS = 500

/** Converts a call that has its final answer to what metrics record of it. */
export function measure (end: entryGate.CallEnd): direct.CallMeasured {
  const { outcome, reason, origin, rule, totalMs, sends } = end
  return { outcome: OUTCOMES[outcome], result: resultOf(end), reason, origin, priority: rule?.priority, totalMs, sends }
}

function resultOf ({ outcome, status, callerWaitMs, rule }: entryGate.CallEnd): direct.CallResult {
  if (outcome !== 'answered') return OUTCOMES[outcome]
  if (status >= FIRST_ERROR_STATUS) return 'error'
  return callerWaitMs <= (rule?.objectiveMs ?? 0) ? 'on-time' : 'late'
}
