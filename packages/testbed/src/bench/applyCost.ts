/**
 * Measures the processor time that one configuration change costs a node, step by step: a delta from a peer, a proposal
 * with a patch from the log, the enforcement and the route table. Every version builds on the one before, as in a running node.
 */
import * as hdr from 'hdr-histogram-js'
import * as yargs from 'yargs'
import * as helpers from 'yargs/helpers'
import * as acceptances from '@elmpost/common/config/Acceptance.js'
import * as deltas from '@elmpost/common/config/ConfigDelta.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as validators from '@elmpost/common/config/ConfigValidator.js'
import * as enforcements from '@elmpost/common/distribution/Enforcement.js'
import * as cachingValidator from '@elmpost/common/distribution/CachingValidator.js'
import * as digests from '@elmpost/common/base/Digest.js'
import * as nativeDigest from '@elmpost/node/NativeDigest.js'
import * as routeTables from '@elmpost/common/routing/RouteTable.js'
import type * as config from '@elmpost/common/config/Types.js'
import * as benchDocuments from './benchDocument.js'
import * as cases from './ConvergenceCase.js'

const US_PER_MS = 1_000

/** Records the processor time of one step over all changes. */
class Step {
  private readonly _us = hdr.build()

  public run<T> (work: () => T): T {
    const before = process.cpuUsage()
    const result = work()
    const used = process.cpuUsage(before)
    this._us.recordValue(used.user + used.system)
    return result
  }

  public figures (): Record<string, string> {
    return { meanMs: ms(this._us.mean), p50Ms: ms(this._us.getValueAtPercentile(50)), maxMs: ms(this._us.maxValue) }
  }
}

const options = await yargs.default(helpers.hideBin(process.argv))
  .option('size', { type: 'number', default: 6_900, describe: 'Nodes of the fleet, which gives the number of services' })
  .option('changes', { type: 'number', default: 60, describe: 'Changes measured' })
  .option('warm-up', { type: 'number', default: 10, describe: 'Changes before the measured ones' })
  .option('digest', { choices: ['native', 'portable'] as const, default: 'native' as const, describe: 'Implementation of SHA-256; nodes use the native one' })
  .strict()
  .parseAsync()

if (options.digest === 'native') digests.useTextDigest(nativeDigest.digestText)
const first = documents.testState(1, benchDocuments.benchDocument(options.size, cases.zoneCount(options.size), 1, 'convergence-time'), 0)
let steps = newSteps()
const validator = new cachingValidator.CachingValidator({ validator: new validators.ConfigValidator() })
const delta = new deltas.ConfigDelta(validator)
const enforcement = new enforcements.Enforcement({ validator })
const reader = new acceptances.Acceptance(new cachingValidator.CachingValidator({ validator: new validators.ConfigValidator() }))
enforcement.enforce(first, 0)
reader.apply({ offset: 0, data: documents.testProposal(1, undefined, first.document) })

let previous = first
for (let version = 2; version <= 1 + options['warm-up'] + options.changes; version++) {
  if (version === 2 + options['warm-up']) steps = newSteps()
  const document = benchDocuments.benchDocument(options.size, cases.zoneCount(options.size), version, 'convergence-time')
  const state = documents.testState(version, document, version - 1)
  applyChange(state)
  previous = state
}
console.table(Object.fromEntries(Object.entries(steps).map(([name, step]) => [name, step.figures()])))

function newSteps (): Record<'delta' | 'enforce' | 'routeTable' | 'proposal', Step> {
  return { delta: new Step(), enforce: new Step(), routeTable: new Step(), proposal: new Step() }
}

function applyChange (state: config.AcceptedState): void {
  const message = structuredClone(delta.make(previous, state))
  const proposal = structuredClone(documents.testDelta(state.version, previous, state.document))
  const current = enforcement.current ?? first
  const applied = steps.delta.run(() => delta.apply(current, message)).unwrap()
  if (!steps.enforce.run(() => enforcement.enforce(applied, 0))) throw new Error('The version was not enforced. Check benchDocument.')
  steps.routeTable.run(() => routeTables.RouteTable.of(enforcement.current ?? first))
  const verdict = steps.proposal.run(() => reader.apply({ offset: state.version - 1, data: proposal }))
  if (verdict.kind !== 'accepted') throw new Error(`The proposal was not accepted: ${verdict.reason}`)
}

function ms (us: number): string {
  return (us / US_PER_MS).toFixed(2)
}
