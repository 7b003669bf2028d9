import * as digests from '../base/Digest.js'
import * as configSchema from './ConfigSchema.js'
import * as errors from './ConfigErrors.js'
import type * as recordDecoder from './RecordDecoder.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Longest reason of a verdict. Verdicts are kept in memory and written to the audit stream. */
const MAX_REASON_LENGTH = 1_000

/** The checks of a record that need no other record. */
export type DocumentVerdict =
  | { readonly kind: 'valid', readonly document: types.ConfigDocument }
  | { readonly kind: 'invalid' | 'too-large', readonly reason: string }

/** Checks size, digest and content of the document in a record of a supported rule set. */
export function checkDocument (validator: services.IConfigValidator, record: recordDecoder.DecodedRecord): DocumentVerdict {
  // A valid document is ASCII, so the length of a document that could be accepted is its size in bytes.
  if (record.documentText.length > configSchema.MAX_DOCUMENT_BYTES) {
    return { kind: 'too-large', reason: `The document is larger than ${configSchema.MAX_DOCUMENT_BYTES} bytes.` }
  }
  if (digests.digestText(record.documentText) !== record.digest) {
    return { kind: 'invalid', reason: 'The digest is not that of the document.' }
  }
  const checked = validator.validate(record.document, record.rulesVersion)
  if (checked.isOk()) return { kind: 'valid', document: checked.value }
  return { kind: 'invalid', reason: checked.error.map(errors.formatProblem).join(' ').slice(0, MAX_REASON_LENGTH) }
}
