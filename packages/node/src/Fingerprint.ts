import * as crypto from 'node:crypto'
import type * as routing from '@elmpost/common/routing/Types.js'

/** SHA-256 of method, path and body, equal to the one that the core computes in JavaScript. */
export function fingerprintOf (request: Pick<routing.EntryRequest, 'method' | 'path' | 'body'>): string {
  const hash = crypto.createHash('sha256').update(`${request.method} ${request.path}\n`)
  if (request.body !== undefined) hash.update(request.body)
  return hash.digest('hex')
}
