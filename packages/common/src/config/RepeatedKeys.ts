import * as jsoncParser from 'jsonc-parser'

export interface RepeatedKey {
  /** JSON pointer to the key. */
  readonly pointer: string
  /** Line of the repeated key, counted from 1. */
  readonly line: number
}

/** Finds keys that occur more than once in an object of a JSON text. `JSON.parse` silently keeps the last value. */
export function findRepeatedKeys (text: string): readonly RepeatedKey[] {
  const root = jsoncParser.parseTree(text)
  return root === undefined ? [] : [...repetitionsIn(root, '', text)]
}

function * repetitionsIn (node: jsoncParser.Node, pointer: string, text: string): Generator<RepeatedKey> {
  if (node.type === 'array') {
    for (const [index, item] of (node.children ?? []).entries()) yield * repetitionsIn(item, `${pointer}/${index}`, text)
  }
  if (node.type !== 'object') return
  const seen = new Set<string>()
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? []
    const name = String(key?.value)
    const child = `${pointer}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`
    if (seen.has(name)) yield { pointer: child, line: lineOf(text, property.offset) }
    seen.add(name)
    if (value !== undefined) yield * repetitionsIn(value, child, text)
  }
}

function lineOf (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}
