import * as crypto from 'node:crypto'

/** SHA-256 of the UTF-8 form of a text as lower-case hexadecimal, by the code of Node.js. */
export function digestText (text: string): string {
  return crypto.createHash('sha256').update(text, 'utf8').digest('hex')
}
