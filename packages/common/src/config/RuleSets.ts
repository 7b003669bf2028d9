/** The rule sets that this software knows. */
import * as configChecks from '../generated/ConfigChecks.js'
import * as referenceRules from './ReferenceRules.js'
import type * as jsonSchema from '../base/JsonSchema.js'

export const CURRENT_RULES_VERSION = 1

/**
 * Rule set of proposals that hold a patch. The resulting document is checked by rule set 1, and the accepted state has
 * rule set 1. The separate number makes software without support for patches stop judging instead of refusing the record.
 */
export const DELTA_RULES_VERSION = 2

/** Everything that decides whether a document is valid under one `rulesVersion`. It must never change once released. */
export interface RuleSet {
  readonly matchesSchema: jsonSchema.Check
  readonly references: referenceRules.ReferenceRules
}

/** Shared by all validators of the process. */
const CURRENT: RuleSet = { matchesSchema: configChecks.CHECKS.document, references: new referenceRules.ReferenceRules() }

/** Returns the rule set, or undefined if this software does not know it. */
export function findRuleSet (rulesVersion: number): RuleSet | undefined {
  return rulesVersion === CURRENT_RULES_VERSION ? CURRENT : undefined
}
