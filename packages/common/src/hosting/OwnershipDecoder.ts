import * as jsonSchema from '../base/JsonSchema.js'
import * as ownershipChecks from '../generated/OwnershipChecks.js'
import * as results from 'ts-results-es'
import type * as types from './Types.js'

const CHECKS = ownershipChecks.CHECKS

/** An ownership record of the log, or an ownership update of a peer, does not match its schema. */
export class OwnershipDecodeError extends Error {
  public readonly kind = 'bad-ownership'

  constructor (detail: string) {
    super(`Ownership data from the log or a peer has an unknown form (${detail}) and is ignored. Check that all nodes run the same software version.`)
    this.name = 'OwnershipDecodeError'
  }
}

export function decodeRecord (data: unknown): results.Result<types.OwnershipRecord, OwnershipDecodeError> {
  if (CHECKS.record(data)) return results.Ok(data as types.OwnershipRecord)
  return results.Err(new OwnershipDecodeError(jsonSchema.describeErrors(CHECKS.record)))
}

export function decodeUpdate (data: unknown): results.Result<types.OwnershipUpdate, OwnershipDecodeError> {
  if (CHECKS.update(data)) return results.Ok(data as types.OwnershipUpdate)
  return results.Err(new OwnershipDecodeError(jsonSchema.describeErrors(CHECKS.update)))
}
