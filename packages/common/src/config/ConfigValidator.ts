import * as results from 'ts-results-es'
import * as checkedEntries from './CheckedEntries.js'
import * as configSchema from './ConfigSchema.js'
import * as documentText from './DocumentText.js'
import * as ruleSets from './RuleSets.js'
import * as schemaProblems from './SchemaProblems.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Checks documents against the rule set that `rulesVersion` names. Instances share the compiled rule sets. */
export class ConfigValidator implements services.IConfigValidator {
  private readonly _checkedEntries = new checkedEntries.CheckedEntries()

  public supports (rulesVersion: number): boolean {
    return rulesVersion === ruleSets.CURRENT_RULES_VERSION
  }

  public validate (document: unknown, rulesVersion: number): results.Result<types.ConfigDocument, readonly types.ConfigProblem[]> {
    const rules = ruleSets.findRuleSet(rulesVersion)
    if (rules === undefined) return results.Err([unsupportedRules(rulesVersion)])
    if (!this._checkedEntries.matches(rules.matchesSchema, document)) return results.Err(schemaProblems.toConfigProblems(rules.matchesSchema.errors ?? []))
    const typed = document as types.ConfigDocument
    const problems = rules.references.check(typed)
    if (problems.length > 0) return results.Err(problems)
    return this._isTooLarge(typed) ? results.Err([tooLarge()]) : results.Ok(typed)
  }

  private _isTooLarge (document: types.ConfigDocument): boolean {
    // Valid documents are ASCII, so one character is one byte. The order of keys does not change the length.
    const length = documentText.cachedTextLength(document) ?? JSON.stringify(document).length
    return length > configSchema.MAX_DOCUMENT_BYTES
  }
}

function unsupportedRules (rulesVersion: number): types.ConfigProblem {
  return {
    kind: 'unsupported-rules',
    pointer: '',
    message: `This software does not know the rule set ${String(rulesVersion)}; it knows ${ruleSets.CURRENT_RULES_VERSION}.`,
    remedy: 'Upgrade elmpost on this machine.'
  }
}

function tooLarge (): types.ConfigProblem {
  return {
    kind: 'too-large',
    pointer: '',
    message: `The document is larger than ${configSchema.MAX_DOCUMENT_BYTES} bytes.`,
    remedy: 'Remove unused services and routes, or split the institution.'
  }
}
