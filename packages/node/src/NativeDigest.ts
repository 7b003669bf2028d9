import * as crypto from 'node:crypto'

/** Returns the SHA-256 of a text in UTF-8 as lower-case hexadecimal, computed by the crypto module of Node.js. */
export function digestText (text: string): string {
  return crypto.createHash('sha256').update(text, 'utf8').digest('hex')
}
