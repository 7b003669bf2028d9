/** Builds proposal records. */
import * as documentCheck from './DocumentCheck.js'
import * as documentPatch from './DocumentPatch.js'
import * as recordDecoder from './RecordDecoder.js'
import * as ruleSets from './RuleSets.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Fields of a proposal that the caller supplies besides the document. */
export type ProposalOrigin = Pick<types.ProposalEnvelope, 'proposalId' | 'author' | 'proposedAtMs'>

/** A valid document with its digest. */
export type ProposedDocument = Pick<types.AcceptedState, 'document' | 'digest'>

/** Makes a proposal with a patch if a base is given and that record is shorter; otherwise one with the whole document. */
export function makeProposal (validator: services.IConfigValidator, origin: ProposalOrigin, base: types.AcceptedState | undefined, proposed: ProposedDocument): types.ProposalRecord | types.DeltaProposalRecord {
  const whole = makeWholeProposal(origin, base, proposed)
  if (base === undefined) return whole
  const patch = documentPatch.makePatch(base.document, proposed.document)
  const delta: types.DeltaProposalRecord = { ...whole, rulesVersion: ruleSets.DELTA_RULES_VERSION, document: null, patch }
  const isShorter = JSON.stringify(delta).length < JSON.stringify(whole).length
  return isShorter && isAcceptable(validator, base, delta) ? delta : whole
}

export function makeWholeProposal (origin: ProposalOrigin, base: types.AcceptedState | undefined, proposed: ProposedDocument): types.ProposalRecord {
  const baseVersion = base?.version ?? recordDecoder.GENESIS_VERSION
  return {
    kind: 'proposal',
    ...origin,
    version: baseVersion + 1,
    baseVersion,
    baseDigest: base?.digest ?? recordDecoder.GENESIS_DIGEST,
    digest: proposed.digest,
    rulesVersion: ruleSets.CURRENT_RULES_VERSION,
    document: proposed.document
  }
}

/** Whether nodes accept the patch; they reject patches with too many operations or special paths. */
function isAcceptable (validator: services.IConfigValidator, base: types.AcceptedState, delta: types.DeltaProposalRecord): boolean {
  const decoded = recordDecoder.decodeRecord(delta)
  return decoded.kind === 'proposal' && documentCheck.checkDocument(validator, decoded, base.document).kind === 'valid'
}
