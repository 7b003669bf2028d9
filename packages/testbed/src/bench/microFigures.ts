import * as v8 from 'node:v8'
import * as vm from 'node:vm'
import * as digests from '@elmpost/common/base/Digest.js'
import * as randoms from '@elmpost/common/base/Random.js'
import * as deltas from '@elmpost/common/config/ConfigDelta.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as validators from '@elmpost/common/config/ConfigValidator.js'
import * as enforcements from '@elmpost/common/distribution/Enforcement.js'
import * as cachingValidator from '@elmpost/common/distribution/CachingValidator.js'
import * as tables from '@elmpost/common/membership/MemberTable.js'
import type * as memberTypes from '@elmpost/common/membership/Types.js'
import * as nativeDigest from '@elmpost/node/NativeDigest.js'
import * as benchDocuments from './benchDocument.js'
import * as cases from './ConvergenceCase.js'
import type * as types from './convergenceTypes.js'

const APPLY_RUNS = 20

/** Measures a single node: nothing is shared between nodes, and digests use the implementation of a node process. */
export function measure (size: number): types.MicroFigures {
  digests.useTextDigest(nativeDigest.digestText)
  return { size, memberTableMb: memberTableMb(size), documentMb: documentMb(size), applyMs: applyMs(size) }
}

function memberTableMb (size: number): number {
  const random = new randoms.Random(1)
  return heapMb(() => {
    const table = new tables.MemberTable()
    for (let i = 0; i < size; i++) table.merge(rowOf(i, size, random.nextInt(2 ** 30)))
    return table
  })
}

function rowOf (index: number, size: number, salt: number): memberTypes.MemberRow {
  const nodeId = `vm-${String(index).padStart(5, '0')}`
  return {
    nodeId,
    incarnation: 1_700_000_000_000 + salt,
    state: 'ready',
    peerAddress: `10.0.${index >> 8}.${index & 255}:7000`,
    callerAddress: `10.0.${index >> 8}.${index & 255}:8000`,
    adminAddress: '127.0.0.1:9000',
    zone: `zone-${index % cases.zoneCount(size)}`,
    service: benchDocuments.serviceOf(index, size),
    targetReady: true,
    targetReadySinceMs: 1_700_000_000_000,
    enforcedVersion: 1,
    revision: 0,
    successor: ''
  }
}

function documentMb (size: number): number {
  return heapMb(() => benchDocuments.benchDocument(size, cases.zoneCount(size), 1, 'convergence-time'))
}

/** Processor time to apply the delta of one change, validate the result and enforce it. */
function applyMs (size: number): number {
  const validator = new cachingValidator.CachingValidator({ validator: new validators.ConfigValidator() })
  const delta = new deltas.ConfigDelta(validator)
  const states = Array.from({ length: APPLY_RUNS + 1 }, (_, i) =>
    documents.testState(i + 1, benchDocuments.benchDocument(size, cases.zoneCount(size), i + 1, 'convergence-time')))
  const [first] = states
  if (first === undefined) return 0
  const enforcement = new enforcements.Enforcement({ validator })
  enforcement.enforce(first, 0)
  const messages = states.slice(1).map((state, i) => delta.make(states[i] ?? first, state))
  const before = process.cpuUsage()
  for (const message of messages) {
    const applied = delta.apply(enforcement.current ?? first, message)
    if (applied.isErr() || !enforcement.enforce(applied.value, 0)) throw new Error('The delta did not apply. Check benchDocument.')
  }
  const used = process.cpuUsage(before)
  return (used.user + used.system) / 1_000 / APPLY_RUNS
}

function collectGarbage (): void {
  v8.setFlagsFromString('--expose-gc')
  vm.runInNewContext('gc')()
}

function heapMb (make: () => unknown): number {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const kept = make()
  collectGarbage()
  const used = process.memoryUsage().heapUsed - before
  return kept === undefined ? 0 : used / 2 ** 20
}
