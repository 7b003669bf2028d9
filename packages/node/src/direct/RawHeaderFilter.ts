/** Selects the headers that are forwarded to the next hop, in their order and with their spelling. */
import type * as types from './Types.js'

/** Headers that apply to one connection only, or that are derived from the forwarded body. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Returns the headers to forward. `isDropped` excludes further ones; it gets names in lower case. */
export function forwardable (raw: types.RawHeaders, isDropped: (name: string) => boolean): string[] {
  const forwarded: string[] = []
  const connectionHeaders = listedInConnection(raw)
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? ''
    const lower = name.toLowerCase()
    if (HOP_BY_HOP.has(lower) || isDropped(lower) || connectionHeaders?.has(lower) === true) continue
    forwarded.push(name, raw[at + 1] ?? '')
  }
  return forwarded
}

/** Headers that the `Connection` header declares to be specific to this connection. */
function listedInConnection (raw: types.RawHeaders): ReadonlySet<string> | undefined {
  let connectionHeaders: Set<string> | undefined
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if ((raw[at] ?? '').toLowerCase() !== 'connection') continue
    for (const part of (raw[at + 1] ?? '').toLowerCase().split(',')) {
      const name = part.trim()
      if (name !== 'keep-alive' && name !== 'close') (connectionHeaders ??= new Set()).add(name)
    }
  }
  return connectionHeaders
}
