import * as jsoncParser from 'jsonc-parser'

export interface SyntaxFault {
  /** Counted from 1. */
  readonly line: number
  /** Counted from 1. */
  readonly column: number
}

/** Finds the first fault in a JSON text. Unlike the message of `JSON.parse`, the result contains nothing of the text. */
export function findSyntaxFault (text: string): SyntaxFault | undefined {
  const errors: jsoncParser.ParseError[] = []
  jsoncParser.parseTree(text, errors, { disallowComments: true, allowTrailingComma: false })
  const [first] = errors
  if (first === undefined) return undefined
  const lines = text.slice(0, first.offset).split('\n')
  return { line: lines.length, column: (lines.at(-1)?.length ?? 0) + 1 }
}
