/** Documents and records for tests of the configuration modules and of their users. */
import * as digests from '../base/Digest.js'
import * as documentPatch from './DocumentPatch.js'
import type * as types from './Types.js'

/** Terms of the example on the design page. */
export const TEST_TERMS: types.Terms = {
  drainMs: 10_000,
  retryBudgetRatio: 0.1,
  zonePreference: 'local-first',
  ownershipHorizonMs: 600_000,
  keyRetentionMs: 600_000,
  distribution: { preference: 'control-bytes', pushFanout: 4, gossipIntervalMs: 1000 }
}

/** The example of the design page. `coldStartMs` makes documents differ. */
export function testDocument (coldStartMs: number = 1000): types.ConfigDocument {
  return {
    institution: 'kartuli',
    services: [{ name: 'till', slots: 15, connections: 120, coldStartMs }],
    targets: [{ service: 'till', zones: ['vake', 'saburtalo', 'didube'] }],
    routes: [{
      name: 'charge',
      match: { method: 'POST', pathPrefix: '/till/charge' },
      service: 'till',
      idempotent: false,
      timeoutMs: 2000,
      retry: { maxAttempts: 1 },
      limits: { maxQueueMs: 500, maxBodyBytes: 65536 }
    }],
    terms: TEST_TERMS
  }
}

/** An accepted state, as the fold produces it. */
export function testState (version: number, document: types.ConfigDocument, asOfOffset?: number): types.AcceptedState {
  return {
    version,
    digest: digests.digestJson(document),
    rulesVersion: 1,
    document,
    ...(asOfOffset === undefined ? {} : { asOfOffset })
  }
}

/** A proposal of a whole document. Without a base it proposes version 1. */
export function testProposal (serial: number, base: types.AcceptedState | undefined, document: types.ConfigDocument): types.ProposalRecord {
  return {
    kind: 'proposal',
    proposalId: `00000000-0000-4000-8000-${String(serial).padStart(12, '0')}`,
    version: (base?.version ?? 0) + 1,
    baseVersion: base?.version ?? 0,
    baseDigest: base?.digest ?? '',
    digest: digests.digestJson(document),
    rulesVersion: 1,
    author: 'nino',
    proposedAtMs: 1_700_000_000_000,
    document
  }
}

/** The same proposal with a patch, even if that is longer. */
export function testDelta (serial: number, base: types.AcceptedState, document: types.ConfigDocument): types.DeltaProposalRecord {
  const whole = testProposal(serial, base, document)
  return { ...whole, rulesVersion: 2, document: null, patch: documentPatch.makePatch(base.document, document) }
}

/** The example with additional services, each with a target rule and a route. */
export function testDocumentWith (names: readonly string[], coldStartMs: number = 1000): types.ConfigDocument {
  const document = testDocument(coldStartMs)
  return {
    ...document,
    services: [...document.services, ...names.map(name => ({ name, slots: 1, connections: 1, coldStartMs: 0 }))],
    targets: [...document.targets, ...names.map(service => ({ service, zones: ['vake'] }))],
    routes: [...document.routes, ...document.routes.flatMap(route => names.map(name => ({ ...route, name, service: name, match: { method: 'GET', pathPrefix: `/${name}` } })))]
  }
}
