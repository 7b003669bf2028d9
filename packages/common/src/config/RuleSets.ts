/** The rule sets that this software knows, compiled once per process. */
import * as ajv from 'ajv'
import * as configSchema from './ConfigSchema.js'
import * as referenceRules from './ReferenceRules.js'

export const CURRENT_RULES_VERSION = 1

/**
 * Rule set of proposals that hold a patch. It checks the resulting document as rule set 1 does, and the accepted state
 * has rule set 1. The number of its own makes software that does not know patches stop judging instead of refusing.
 */
export const DELTA_RULES_VERSION = 2

/** Everything that decides whether a document is valid under one `rulesVersion`. It must never change once released. */
export interface RuleSet {
  readonly matchesSchema: ajv.ValidateFunction
  readonly references: referenceRules.ReferenceRules
}

/** Rule sets are shared by all validators of the process, because compiling a schema takes milliseconds. */
const compiled = new Map<number, RuleSet>()

/** Returns the rule set, or undefined if this software does not know it. */
export function ruleSet (rulesVersion: number): RuleSet | undefined {
  const known = compiled.get(rulesVersion)
  if (known !== undefined || rulesVersion !== CURRENT_RULES_VERSION) return known
  // A test checks the schema itself. Doing it here would triple the time of the first validation.
  const schemas = new ajv.Ajv({ allErrors: true, strict: true, validateSchema: false })
  const created = {
    matchesSchema: schemas.compile(configSchema.CONFIG_SCHEMA),
    references: new referenceRules.ReferenceRules()
  }
  compiled.set(rulesVersion, created)
  return created
}
