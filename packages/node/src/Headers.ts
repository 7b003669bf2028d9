/** Header names of calls, and the filter for forwarded headers in both directions. */
import type * as http from 'node:http'

export const KEY_HEADER = 'idempotency-key'
export const DEADLINE_HEADER = 'elmpost-deadline-ms'
export const DEPTH_HEADER = 'elmpost-depth'
export const ATTEMPT_HEADER = 'elmpost-attempt'

/** Headers that apply to one connection only, or that elmpost sets itself. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length', KEY_HEADER, DEADLINE_HEADER, DEPTH_HEADER,
  ATTEMPT_HEADER, 'elmpost-outcome', 'elmpost-reason'
])

/** Joins repeated `set-cookie` headers; a line break cannot occur in a header value. */
const COOKIE_SEPARATOR = '\n'

/** Copies the headers that are forwarded to the next hop. */
export function forwardable (headers: http.IncomingHttpHeaders): Record<string, string> {
  const forwarded: Record<string, string> = {}
  const dropped = connectionHeaders(headers.connection)
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || NOT_FORWARDED.has(name) || dropped?.has(name) === true) continue
    if (typeof value === 'string') forwarded[name] = value
    else forwarded[name] = name === 'set-cookie' ? value.join(COOKIE_SEPARATOR) : value.join(', ')
  }
  return forwarded
}

/** Converts a forwarded header to the form that `http.ServerResponse` expects. */
export function toResponseValue (name: string, value: string): string | string[] {
  return name === 'set-cookie' ? value.split(COOKIE_SEPARATOR) : value
}

/** Headers that the `connection` header names. */
function connectionHeaders (connection: string | string[] | undefined): ReadonlySet<string> | undefined {
  if (typeof connection !== 'string' || connection === 'keep-alive' || connection === 'close') return undefined
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}
