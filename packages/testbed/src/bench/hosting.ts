/** Measures the cost of calls on host nodes. Run with `node packages/testbed/lib/bench/hosting.js`. */
import * as codec from '@elmpost/common/hosting/WindowCodec.js'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as hdr from 'hdr-histogram-js'
import * as keys from '@elmpost/common/hosting/Keys.js'
import * as keyTables from '@elmpost/common/hosting/KeyTable.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as msgpackr from 'msgpackr'
import * as ownership from '@elmpost/common/hosting/OwnershipTable.js'
import * as ownershipTables from './ownershipTables.js'
import * as requests from '@elmpost/common/hosting/Requests.js'
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

const CALLS = 200_000
const WARM_UP_CALLS = 20_000
const STORED_KEYS = 100_000
const SERVICES = 810
const REPEATS = 20

v8.setFlagsFromString('--expose-gc')
const collectGarbage = vm.runInNewContext('gc') as () => void

/** Records the duration of single steps in nanoseconds. */
class Timer {
  private readonly _histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000_000, numberOfSignificantValueDigits: 3 })

  public measure<T> (step: () => T): T {
    const startedNs = process.hrtime.bigint()
    const result = step()
    this._histogram.recordValue(Math.max(1, Number(process.hrtime.bigint() - startedNs)))
    return result
  }

  public reset (): void {
    this._histogram.reset()
  }

  public report (name: string): void {
    const us = (ns: number): string => (ns / 1_000).toFixed(2)
    const { mean } = this._histogram
    const [p50, p99] = [50, 99].map(percentile => this._histogram.getValueAtPercentile(percentile))
    console.log(`${name}: mean ${us(mean)} us, p50 ${us(p50 ?? 0)} us, p99 ${us(p99 ?? 0)} us`)
  }
}

function usedHeapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers
}

function benchCalls (name: string, keyed: boolean): void {
  const host = new fixture.Host()
  const [accept, start, finish] = [new Timer(), new Timer(), new Timer()]
  for (let i = 0; i < CALLS + WARM_UP_CALLS; i++) {
    if (i === WARM_UP_CALLS) for (const timer of [accept, start, finish]) timer.reset()
    const nowMs = fixture.T0 + Math.floor(i / 100)
    const call: messages.CallMessage = fixture.call(nowMs, keyed ? { key: fixture.keyAt(nowMs) } : {})
    const decision = accept.measure(() => host.calls.accept('entry', call, nowMs))
    if (decision.kind !== 'run') throw new Error(`Not run: ${JSON.stringify(decision)}`)
    start.measure(() => host.calls.start(decision.runId, nowMs))
    finish.measure(() => host.calls.finish(decision.runId, fixture.ANSWER, nowMs))
  }
  accept.report(`${name} accept`)
  start.report(`${name} start`)
  finish.report(`${name} finish`)
}

function benchMemory (bodyBytes: number | undefined): void {
  const table = new keyTables.KeyTable({ forgottenUntilMs: 0, maxAnswerBytes: 256 * 1024 * 1024 })
  const before = usedHeapBytes()
  for (let i = 0; i < STORED_KEYS; i++) {
    const key = fixture.keyAt(fixture.T0 + i)
    const fingerprint = requests.shortFingerprint(`${i}`)
    table.addRunning(key, { service: fixture.SERVICE, fingerprint, keyTimeMs: fixture.T0 + i, runId: i }, fixture.T0 + i)
    if (bodyBytes === undefined) table.markUnknown(key, 'target-lost')
    else table.markAnswered(key, { status: 200, headers: { 'content-type': 'application/json' }, body: new Uint8Array(bodyBytes) })
  }
  const bytes = (usedHeapBytes() - before) / table.size
  console.log(`remembered key, ${bodyBytes === undefined ? 'no answer' : `answer with a body of ${bodyBytes} bytes`}: ${bytes.toFixed(0)} bytes`)
}

/** Moves the 8 partitions of one node of one service to another node, as after its crash. */
function movePartitions (table: ownership.OwnershipTable): void {
  const startsAtMs = table.horizonMs
  const entries = Array.from({ length: keys.PARTITIONS / ownershipTables.NODES_PER_SERVICE }, (_, i) => ({
    service: 'service-0', partition: i * ownershipTables.NODES_PER_SERVICE, startsAtMs, owner: { nodeId: 'vm-0-1', incarnation: fixture.T0 }
  }))
  const { tableVersion, asOfOffset } = table
  table.apply({ kind: 'partitions', baseTableVersion: tableVersion, startsAtMs, services: codec.pack(entries) }, asOfOffset)
}

function benchUpdate (name: string, table: ownership.OwnershipTable, sinceVersion: number, receiver: () => ownership.OwnershipTable): void {
  const [make, merge] = [new Timer(), new Timer()]
  let update = table.updateSince(sinceVersion)
  for (let i = 0; i < REPEATS; i++) {
    update = make.measure(() => table.updateSince(sinceVersion))
    const sink = receiver()
    merge.measure(() => sink.merge(update))
  }
  make.report(`${name} updateSince`)
  merge.report(`${name} merge`)
  console.log(`${name} size: ${msgpackr.pack(update).byteLength} bytes msgpackr, ${JSON.stringify(update).length} bytes JSON`)
}

function benchTable (): void {
  const before = usedHeapBytes()
  const table = ownershipTables.largeTable(SERVICES)
  console.log(`table of ${SERVICES} services in memory: ${((usedHeapBytes() - before) / 1e6).toFixed(1)} MB`)
  benchUpdate('whole table', table, 0, () => new ownership.OwnershipTable())
  const { tableVersion } = table
  movePartitions(table)
  benchUpdate('one move', table, tableVersion, () => ownershipTables.largeTable(SERVICES))
  benchUpdate('nothing new', table, table.tableVersion, () => ownershipTables.largeTable(SERVICES))
  const lookup = new Timer()
  for (let i = 0; i < CALLS; i++) {
    const key = fixture.keyAt(fixture.T0 + i)
    lookup.measure(() => table.ownerOf(`service-${i % SERVICES}`, key))
  }
  lookup.report('ownerOf')
}

benchCalls('idempotent', false)
benchCalls('keyed', true)
benchMemory(undefined)
benchMemory(0)
benchMemory(256)
benchTable()
