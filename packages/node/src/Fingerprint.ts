import * as crypto from 'node:crypto'
import type * as routing from '@elmpost/common/routing/Types.js'

/** SHA-256 of method, path and body; equal to the hash that the core computes in JavaScript. */
export function fingerprintOf (request: Pick<routing.EntryRequest, 'method' | 'path' | 'body'>): string {
  const head = `${request.method} ${request.path}\n`
  // The one-shot call avoids a hash object per call; requests without a body need no copy.
  if (request.body === undefined || request.body.length === 0) return crypto.hash('sha256', head, 'hex')
  return crypto.hash('sha256', Buffer.concat([Buffer.from(head), request.body]), 'hex')
}
