import * as results from 'ts-results-es'
import * as digests from '../base/Digest.js'
import * as documentPatch from './DocumentPatch.js'
import * as documentText from './DocumentText.js'
import * as errors from './ConfigErrors.js'
import * as jsonText from './JsonText.js'
import * as patchedDocument from './PatchedDocument.js'
import type * as patches from 'fast-json-patch'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** The operations that `make` emits. `copy` is excluded because each one can double the size of the document. */
const ALLOWED_OPERATIONS: ReadonlySet<unknown> = new Set(['add', 'remove', 'replace'])

type DeltaResult<T> = results.Result<T, errors.ConfigDeltaError>

/** Makes and applies JSON Patches between versions. `apply` never throws and never changes its arguments. */
export class ConfigDelta implements services.IConfigDelta {
  constructor (private readonly _validator: services.IConfigValidator) {}

  public make (from: types.AcceptedState, to: types.AcceptedState): types.ConfigDeltaMessage {
    return {
      version: to.version,
      rulesVersion: to.rulesVersion,
      baseVersion: from.version,
      baseDigest: from.digest,
      digest: to.digest,
      ...(to.asOfOffset === undefined ? {} : { asOfOffset: to.asOfOffset }),
      patch: documentPatch.makePatch(from.document, to.document)
    }
  }

  public apply (base: types.AcceptedState, delta: types.ConfigDeltaMessage): DeltaResult<types.AcceptedState> {
    return this._checkBase(base, delta)
      .andThen(() => this._applyPatch(base, delta.patch))
      .andThen(document => this._checkResult(document, delta))
  }

  private _checkBase (base: types.AcceptedState, delta: types.ConfigDeltaMessage): DeltaResult<void> {
    const shapeProblem = findShapeProblem(delta)
    if (shapeProblem !== undefined) return fail('malformed', shapeProblem)
    if (delta.baseVersion !== base.version || delta.baseDigest !== base.digest) {
      return fail('wrong-base', `The delta starts at version ${delta.baseVersion}, but this node is at version ${base.version} or holds another document.`)
    }
    return results.Ok(undefined)
  }

  private _applyPatch (base: types.AcceptedState, patch: readonly unknown[]): DeltaResult<unknown> {
    return patchedDocument.applyPatch(base.document, patch as readonly patches.Operation[])
      .mapErr(problem => new errors.ConfigDeltaError('patch-failed', problem))
  }

  private _checkResult (document: unknown, delta: types.ConfigDeltaMessage): DeltaResult<types.AcceptedState> {
    const text = documentText.documentText(document)
    if (text === undefined || digests.digestText(text) !== delta.digest) {
      return fail('digest-mismatch', `The result of the delta to version ${delta.version} does not have the digest that the sender stated.`)
    }
    return this._validator.validate(document, delta.rulesVersion)
      .map(valid => ({
        version: delta.version,
        digest: delta.digest,
        rulesVersion: delta.rulesVersion,
        document: valid,
        ...(delta.asOfOffset === undefined ? {} : { asOfOffset: delta.asOfOffset })
      }))
      .mapErr(problems => new errors.ConfigDeltaError('invalid-result',
        `The result of the delta to version ${delta.version} is not valid: ${problems.map(errors.formatProblem).join(' ')}`))
  }
}

/** Describes the first fault in the shape of a delta from a peer; undefined if there is none. */
function findShapeProblem (delta: unknown): string | undefined {
  if (!jsonText.isObject(delta)) return 'The delta is not an object.'
  for (const field of ['version', 'baseVersion', 'rulesVersion']) {
    if (!Number.isSafeInteger(delta[field])) return `The field '${field}' of the delta is not an integer.`
  }
  if (delta['asOfOffset'] !== undefined && !Number.isSafeInteger(delta['asOfOffset'])) return "The field 'asOfOffset' of the delta is not an integer."
  if (Number(delta['version']) <= Number(delta['baseVersion'])) return 'The delta does not lead to a newer version.'
  const patch = delta['patch']
  if (!Array.isArray(patch)) return "The field 'patch' of the delta is not a list."
  if (jsonText.canonicalText(patch) === undefined) return 'The patch is not JSON or is nested too deeply.'
  if (!patch.every(operation => jsonText.isObject(operation) && ALLOWED_OPERATIONS.has(operation['op']))) {
    return 'The patch has operations other than add, remove and replace.'
  }
  return undefined
}

function fail (kind: errors.ConfigDeltaErrorKind, problem: string): results.Result<never, errors.ConfigDeltaError> {
  return results.Err(new errors.ConfigDeltaError(kind, problem))
}
