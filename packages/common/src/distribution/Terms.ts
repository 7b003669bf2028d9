/** Distribution terms in force on a node. */
import type * as config from '../config/Types.js'

/** Used until a configuration is known. */
export const DEFAULT_TERMS: config.DistributionTerms = { preference: 'convergence-time', pushFanout: 4, gossipIntervalMs: 1_000 }

/** Terms of the state in force, or the defaults. */
export function termsOf (state: config.AcceptedState | undefined): config.DistributionTerms {
  return state?.document.terms.distribution ?? DEFAULT_TERMS
}
