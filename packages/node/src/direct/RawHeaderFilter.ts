/** Headers that pass from hop to hop, in their order and with their spelling. */
import type * as types from './Types.js'

/** Headers that belong to one connection, or whose value follows from the body as it is sent on. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Copies the headers that pass on. `isDropped` names more of them to leave out, in lower case. */
export function forwardable (raw: types.RawHeaders, isDropped: (name: string) => boolean): string[] {
  const passed: string[] = []
  const named = namedByConnection(raw)
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? ''
    const lower = name.toLowerCase()
    if (HOP_BY_HOP.has(lower) || isDropped(lower) || named?.has(lower) === true) continue
    passed.push(name, raw[at + 1] ?? '')
  }
  return passed
}

/** Headers that the `Connection` header declares to be for this connection. */
function namedByConnection (raw: types.RawHeaders): ReadonlySet<string> | undefined {
  let named: Set<string> | undefined
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if ((raw[at] ?? '').toLowerCase() !== 'connection') continue
    for (const part of (raw[at + 1] ?? '').toLowerCase().split(',')) {
      const name = part.trim()
      if (name !== 'keep-alive' && name !== 'close') (named ??= new Set()).add(name)
    }
  }
  return named
}
