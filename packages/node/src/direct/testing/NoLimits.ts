import type * as services from '../Services.js'

/** For tests without customers that have limits. */
export const NO_LIMITS: services.ICallLimits = {
  take: customer => ({ kind: 'granted', grant: { customer, expiresAtMs: -Infinity } }),
  cancel: () => {},
  giveBack: () => {}
}
