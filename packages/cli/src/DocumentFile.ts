import * as configErrors from '@elmpost/common/config/ConfigErrors.js'
import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as repeatedKeys from '@elmpost/common/config/RepeatedKeys.js'
import * as results from 'ts-results-es'
import * as ruleSets from '@elmpost/common/config/RuleSets.js'
import * as cliError from './CliError.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as services from './Services.js'

/** Some editors write a byte order mark, which JSON does not allow. */
const BYTE_ORDER_MARK = /^\uFEFF/

/** Reads and validates a document. The error lists every problem with its file. */
export async function readDocument (files: services.IFiles, path: string): Promise<results.Result<config.ConfigDocument, cliError.CliError>> {
  const text = await results.Result.wrapAsync(() => files.readText(path))
  if (text.isErr()) return invalid(`${path} cannot be read (${messageOf(text.error)}). Check the path and its permissions.`)
  const json = text.value.replace(BYTE_ORDER_MARK, '')
  const parsed = results.Result.wrap<unknown, unknown>(() => JSON.parse(json))
  if (parsed.isErr()) return invalid(`${path} is not JSON (${messageOf(parsed.error)}). Correct the syntax.`)
  const checked = new configValidator.ConfigValidator().validate(parsed.value, ruleSets.CURRENT_RULES_VERSION)
  // The search for repeated keys throws on values that are nested too deeply; the validator reports those.
  const repeated = results.Result.wrap(() => repeatedKeys.findRepeatedKeys(json)).unwrapOr([]).map(problemOf)
  const problems = [...repeated, ...checked.isErr() ? checked.error : []]
  if (checked.isOk() && problems.length === 0) return checked
  return results.Err(new cliError.CliError('invalid-input',
    `${path} has ${problems.length === 1 ? '1 problem' : `${problems.length} problems`}. Correct the file and try again.`,
    problems.map(problem => `${path}: ${configErrors.formatProblem(problem)}`)))
}

function problemOf ({ pointer, line }: repeatedKeys.RepeatedKey): config.ConfigProblem {
  return { kind: 'schema', pointer, message: `The key is repeated on line ${line}.`, remedy: 'Remove one of the two.' }
}

function invalid (message: string): results.Result<never, cliError.CliError> {
  return results.Err(new cliError.CliError('invalid-input', message))
}

function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
