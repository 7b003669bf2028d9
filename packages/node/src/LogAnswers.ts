/** Decodes and validates the log service's answers. */
import * as errors from './Errors.js'
import * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import * as logAnswerChecks from './generated/LogAnswerChecks.js'
import * as results from 'ts-results-es'
import type * as messages from '@elmpost/common/node/Messages.js'

type Page = Pick<messages.LogReadResult, 'records' | 'firstOffset' | 'nextOffset' | 'retentionMs'>

/** Decodes a page of records. The offsets of the records must ascend. */
export function decodePage (text: string): results.Result<Page, errors.LogAnswerError> {
  const decoded = decode(text, logAnswerChecks.CHECKS.page)
  if (decoded.isErr()) return decoded
  const { records, firstOffset, nextOffset, retentionMs = 0 } = decoded.value as Page
  for (let i = 1; i < records.length; i++) {
    if ((records[i]?.offset ?? 0) <= (records[i - 1]?.offset ?? 0)) return refuse('the offsets of its records do not ascend')
  }
  return new results.Ok({ records, firstOffset, nextOffset, retentionMs })
}

/** Decodes the answer to an append and returns the offset of the appended record. */
export function decodeAppendAnswer (text: string): results.Result<number, errors.LogAnswerError> {
  const decoded = decode(text, logAnswerChecks.CHECKS.appended)
  return decoded.isErr() ? decoded : new results.Ok((decoded.value as { offset: number }).offset)
}

function decode (text: string, check: jsonSchema.Check): results.Result<unknown, errors.LogAnswerError> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return refuse('its body is not JSON')
  }
  return check(value) ? new results.Ok(value) : refuse(jsonSchema.describeErrors(check))
}

function refuse (detail: string): results.Err<errors.LogAnswerError> {
  return new results.Err(new errors.LogAnswerError(detail))
}
