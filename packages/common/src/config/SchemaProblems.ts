/** Turns the errors of `ajv` into problems with a message and a remedy. */
import type * as ajv from 'ajv'
import type * as types from './Types.js'

/** Bounds the output, because a document from a faulty generator can have an error on every line. */
const MAX_PROBLEMS = 100

export function toConfigProblems (errors: readonly ajv.ErrorObject[]): readonly types.ConfigProblem[] {
  const problems = errors.slice(0, MAX_PROBLEMS).map(toProblem)
  const hidden = errors.length - problems.length
  if (hidden === 0) return problems
  return [...problems, {
    kind: 'schema',
    pointer: '',
    message: `${hidden} more problems are not shown.`,
    remedy: 'Correct the listed ones first.'
  }]
}

function toProblem (error: ajv.ErrorObject): types.ConfigProblem {
  const [message, remedy] = describe(error)
  return { kind: 'schema', pointer: pointerOf(error), message, remedy }
}

function pointerOf (error: ajv.ErrorObject): string {
  const name = error.params['missingProperty'] ?? error.params['additionalProperty']
  return name === undefined ? error.instancePath : `${error.instancePath}/${escapePointer(String(name))}`
}

function escapePointer (name: string): string {
  return name.replaceAll('~', '~0').replaceAll('/', '~1')
}

function describe (error: ajv.ErrorObject): [message: string, remedy: string] {
  const params = error.params
  switch (error.keyword) {
    case 'required': return [`The property '${params['missingProperty']}' is missing.`, 'Add it; every property is required.']
    case 'additionalProperties': return [`The property '${params['additionalProperty']}' is unknown.`, 'Remove it or correct its name.']
    case 'type': return [`The value is not of type ${params['type']}.`, `Write a value of type ${params['type']}.`]
    case 'minimum': return [`The value is below ${params['limit']}.`, `Set it to at least ${params['limit']}.`]
    case 'maximum': return [`The value is above ${params['limit']}.`, `Set it to at most ${params['limit']}.`]
    case 'minItems': return [`The list has fewer than ${params['limit']} entries.`, `Add entries until it has at least ${params['limit']}.`]
    case 'maxItems': return [`The list has more than ${params['limit']} entries.`, `Remove entries until it has at most ${params['limit']}.`]
    case 'uniqueItems': return [`The entries ${params['j']} and ${params['i']} are equal.`, 'Remove one of them.']
    case 'minLength': return ['The text is empty.', 'Write at least one character.']
    case 'maxLength': return [`The text has more than ${params['limit']} characters.`, 'Shorten it.']
    case 'enum': return ['The value is not one of the allowed ones.', `Use one of: ${params['allowedValues'].join(', ')}.`]
    case 'pattern': return ['The text has characters or a form that is not allowed.', `Write a text that matches ${params['pattern']}.`]
    default: return [`The value ${error.message ?? 'is not valid'}.`, 'Compare it with docs/config.schema.json.']
  }
}
