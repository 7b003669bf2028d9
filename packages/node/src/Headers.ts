/** Header names of the call path and the filter that applies to both directions. */
import type * as http from 'node:http'

export const KEY_HEADER = 'idempotency-key'
export const DEADLINE_HEADER = 'elmpost-deadline-ms'
export const DEPTH_HEADER = 'elmpost-depth'
export const ATTEMPT_HEADER = 'elmpost-attempt'

/** Headers that belong to one connection, or that elmpost sets itself. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length', KEY_HEADER, DEADLINE_HEADER, DEPTH_HEADER,
  ATTEMPT_HEADER, 'elmpost-outcome', 'elmpost-reason'
])

/** Joins repeated `set-cookie` headers; a line break cannot occur in a header value. */
const COOKIE_SEPARATOR = '\n'

/** Copies the headers that pass from hop to hop. */
export function forwardable (headers: http.IncomingHttpHeaders): Record<string, string> {
  const passed: Record<string, string> = {}
  const dropped = connectionHeaders(headers.connection)
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || NOT_FORWARDED.has(name) || dropped?.has(name) === true) continue
    if (typeof value === 'string') passed[name] = value
    else passed[name] = name === 'set-cookie' ? value.join(COOKIE_SEPARATOR) : value.join(', ')
  }
  return passed
}

/** Gives a header in the form that `http.ServerResponse` takes. */
export function toResponseValue (name: string, value: string): string | string[] {
  return name === 'set-cookie' ? value.split(COOKIE_SEPARATOR) : value
}

function connectionHeaders (connection: string | string[] | undefined): ReadonlySet<string> | undefined {
  if (typeof connection !== 'string' || connection === 'keep-alive' || connection === 'close') return undefined
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}
