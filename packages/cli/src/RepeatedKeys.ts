import * as jsoncParser from 'jsonc-parser'
import type * as config from '@elmpost/common/config/Types.js'

/** Keys that an object of a JSON text has more than once. `JSON.parse` keeps the last value of them without an error. */
export function repeatedKeys (text: string): readonly config.ConfigProblem[] {
  const root = jsoncParser.parseTree(text)
  return root === undefined ? [] : [...problemsIn(root, '', text)]
}

function * problemsIn (node: jsoncParser.Node, pointer: string, text: string): Generator<config.ConfigProblem> {
  if (node.type === 'array') {
    for (const [index, item] of (node.children ?? []).entries()) yield * problemsIn(item, `${pointer}/${index}`, text)
  }
  if (node.type !== 'object') return
  const seen = new Set<string>()
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? []
    const name = String(key?.value)
    const child = `${pointer}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`
    if (seen.has(name)) {
      yield { kind: 'schema', pointer: child, message: `The key is repeated on line ${lineOf(text, property.offset)}.`, remedy: 'Remove one of the two.' }
    }
    seen.add(name)
    if (value !== undefined) yield * problemsIn(value, child, text)
  }
}

function lineOf (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}
