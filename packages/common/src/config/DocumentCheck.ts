import * as digests from '../base/Digest.js'
import * as configSchema from './ConfigSchema.js'
import * as errors from './ConfigErrors.js'
import * as documentText from './DocumentText.js'
import * as patchedDocument from './PatchedDocument.js'
import type * as recordDecoder from './RecordDecoder.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Maximum characters in the reason of a verdict. Verdicts are kept in memory and written to the audit stream. */
const MAX_REASON_LENGTH = 1_000

/** Result of the checks that need only the record and the document of its base. */
export type DocumentVerdict =
  | { readonly kind: 'valid', readonly document: types.ConfigDocument }
  | { readonly kind: 'invalid' | 'too-large', readonly reason: string }

/**
 * Checks size, digest and content of the document in a record of a supported rule set.
 * `base` is the document of the version that the record names as its base; only a record with a patch needs it.
 */
export function checkDocument (validator: services.IConfigValidator, record: recordDecoder.DecodedRecord, base?: types.ConfigDocument): DocumentVerdict {
  if (record.patch === undefined) return checkContent(validator, record, record.document, record.contentText)
  if (base === undefined) return invalid('No document is in force to which the patch could be applied.')
  const patched = patchedDocument.applyPatch(base, record.patch)
  if (patched.isErr()) return invalid(patched.error)
  const text = documentText.documentText(patched.value)
  if (text === undefined) return invalid('The result of the patch is nested too deeply or has too many parts.')
  return checkContent(validator, record, patched.value, text)
}

function checkContent (validator: services.IConfigValidator, record: recordDecoder.DecodedRecord, document: unknown, text: string): DocumentVerdict {
  // Valid documents are ASCII, so for any document that can be accepted the length is the size in bytes.
  if (text.length > configSchema.MAX_DOCUMENT_BYTES) {
    return { kind: 'too-large', reason: `The document is larger than ${configSchema.MAX_DOCUMENT_BYTES} bytes.` }
  }
  if (digests.digestText(text) !== record.digest) return invalid('The digest is not that of the document.')
  const checked = validator.validate(document, record.documentRulesVersion)
  if (checked.isOk()) return { kind: 'valid', document: checked.value }
  return invalid(checked.error.map(errors.formatProblem).join(' '))
}

function invalid (reason: string): DocumentVerdict {
  return { kind: 'invalid', reason: reason.slice(0, MAX_REASON_LENGTH) }
}
