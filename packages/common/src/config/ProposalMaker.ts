/** Makes the record that proposes a document. */
import * as documentCheck from './DocumentCheck.js'
import * as documentPatch from './DocumentPatch.js'
import * as recordDecoder from './RecordDecoder.js'
import * as ruleSets from './RuleSets.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** What the caller knows about a proposal besides its document. */
export type ProposalOrigin = Pick<types.ProposalEnvelope, 'proposalId' | 'author' | 'proposedAtMs'>

/** A valid document with its digest. */
export type ProposedDocument = Pick<types.AcceptedState, 'document' | 'digest'>

/** Makes a proposal with a patch if that is shorter than the one with the whole document. Without a base it is the whole one. */
export function makeProposal (validator: services.IConfigValidator, origin: ProposalOrigin, base: types.AcceptedState | undefined, proposed: ProposedDocument): types.ProposalRecord | types.DeltaProposalRecord {
  const whole = makeWholeProposal(origin, base, proposed)
  if (base === undefined) return whole
  const patch = documentPatch.makePatch(base.document, proposed.document)
  const delta: types.DeltaProposalRecord = { ...whole, rulesVersion: ruleSets.DELTA_RULES_VERSION, document: null, patch }
  const isShorter = JSON.stringify(delta).length < JSON.stringify(whole).length
  return isShorter && leadsTo(validator, base, delta) ? delta : whole
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

/** A patch with too many operations or special paths would be rejected by every node. */
function leadsTo (validator: services.IConfigValidator, base: types.AcceptedState, delta: types.DeltaProposalRecord): boolean {
  const decoded = recordDecoder.decodeRecord(delta)
  return decoded.kind === 'proposal' && documentCheck.checkDocument(validator, decoded, base.document).kind === 'valid'
}
