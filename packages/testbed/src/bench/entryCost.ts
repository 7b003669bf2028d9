/** Microbenchmark: microseconds of one core per call at its entry node (`begin` and `handleAnswer`), without I/O. */
import * as crypto from 'node:crypto'
import * as process from 'node:process'
import * as random from '@elmpost/common/base/Random.js'
import * as keys from '@elmpost/common/hosting/Keys.js'
import * as ownershipTable from '@elmpost/common/hosting/OwnershipTable.js'
import * as windowCodec from '@elmpost/common/hosting/WindowCodec.js'
import * as entryCalls from '@elmpost/common/routing/EntryCalls.js'
import * as fakeMesh from '@elmpost/common/routing/FakeMesh.js'
import type * as routing from '@elmpost/common/routing/Types.js'
import * as hdr from 'hdr-histogram-js'
import * as yargs from 'yargs'

const START_MS = 1_700_000_000_000
const ZONES = ['vake', 'saburtalo', 'didube']
const NS_PER_US = 1_000

/** Calls in flight at the same time: about twice as many as on a node with 319 calls/s of 300 ms. */
const IN_FLIGHT = 200

interface CostCase {
  readonly name: string
  readonly targets: number
  readonly bodyBytes: number
  readonly idempotent: boolean
  readonly suppliesKey: boolean
  readonly nativeFingerprint: boolean
}

const cases: readonly CostCase[] = [
  { name: 'idempotent, 8 targets', targets: 8, bodyBytes: 0, idempotent: true, suppliesKey: false, nativeFingerprint: true },
  { name: 'idempotent, 500 targets', targets: 500, bodyBytes: 0, idempotent: true, suppliesKey: false, nativeFingerprint: true },
  { name: 'supplied key, 8 targets', targets: 8, bodyBytes: 500, idempotent: false, suppliesKey: true, nativeFingerprint: true },
  { name: 'generated key, 8 targets', targets: 8, bodyBytes: 500, idempotent: false, suppliesKey: false, nativeFingerprint: true },
  { name: 'idempotent, 64 KiB body', targets: 8, bodyBytes: 65_536, idempotent: true, suppliesKey: false, nativeFingerprint: true },
  { name: 'idempotent, 64 KiB body, SHA-256 in JavaScript', targets: 8, bodyBytes: 65_536, idempotent: true, suppliesKey: false, nativeFingerprint: false }
]

const options = yargs.default(process.argv.slice(2))
  .option('calls', { type: 'number', default: 100_000, describe: 'calls per case; a tenth of it for large bodies' })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON instead of a table' })
  .strict()
  .parseSync()

function callsOf (costCase: CostCase): entryCalls.EntryCalls {
  const rows = Array.from({ length: costCase.targets }, (_, i) => fakeMesh.rowOf({ nodeId: `till-${i}`, zone: ZONES[i % ZONES.length] ?? '' }))
  const mesh = new fakeMesh.FakeMesh(rows)
  const table = new ownershipTable.OwnershipTable()
  const services = windowCodec.pack(Array.from({ length: keys.PARTITIONS }, (_, partition) => ({
    service: 'till', partition, startsAtMs: 0, owner: { nodeId: `till-${partition % costCase.targets}`, incarnation: 1 }
  })))
  table.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 0, services }, 0)
  table.apply({ kind: 'horizon', untilMs: START_MS + 3_600_000 }, 1)
  return new entryCalls.EntryCalls({
    membership: mesh,
    enforcement: mesh,
    ownership: table,
    selector: mesh.selector(1),
    random: new random.Random(2),
    ...(costCase.nativeFingerprint ? { fingerprint: fingerprintOf } : {})
  })
}

function fingerprintOf (request: routing.EntryRequest): string {
  const hash = crypto.createHash('sha256').update(`${request.method} ${request.path}\n`)
  return hash.update(request.body ?? new Uint8Array()).digest('hex')
}

function requestsOf (costCase: CostCase): routing.EntryRequest[] {
  const source = new random.Random(3)
  return Array.from({ length: 1_000 }, () => fakeMesh.requestOf({
    ...(costCase.idempotent ? {} : { method: 'POST', path: '/till/charge' }),
    body: costCase.bodyBytes === 0 ? undefined : new Uint8Array(costCase.bodyBytes),
    key: costCase.suppliesKey ? fakeMesh.keyOf(START_MS, source) : undefined,
    remainingMs: 2_000
  }))
}

function measure (costCase: CostCase): { readonly name: string, readonly meanUs: number, readonly p99Us: number } {
  const calls = callsOf(costCase)
  const requests = requestsOf(costCase)
  const count = costCase.bodyBytes > 10_000 ? options.calls / 10 : options.calls
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 10_000_000_000 })
  const open: fakeMesh.Send[] = []
  let totalNs = 0
  for (let i = -count; i < count; i++) {
    const nowMs = START_MS + i / 10
    const request = requests[(i + count) % requests.length] ?? fakeMesh.requestOf({})
    const beginNs = process.hrtime.bigint()
    open.push(fakeMesh.asSend(calls.begin(request, nowMs)))
    const ended = open.length > IN_FLIGHT ? open.shift() : undefined
    if (ended !== undefined) calls.handleAnswer(ended.callId, ended.to, fakeMesh.answerOf(ended.callId, { load: { inFlight: 5, queued: 0, slots: 15 } }), nowMs)
    const elapsedNs = Number(process.hrtime.bigint() - beginNs)
    // The first half of the calls is a warm-up for the JIT compiler.
    if (i < 0) continue
    totalNs += elapsedNs
    histogram.recordValue(elapsedNs)
  }
  return { name: costCase.name, meanUs: totalNs / count / NS_PER_US, p99Us: histogram.getValueAtPercentile(99) / NS_PER_US }
}

const results = cases.map(measure)
const lines = results.map(({ name, meanUs, p99Us }) => `| ${name} | ${meanUs.toFixed(2)} | ${p99Us.toFixed(2)} |\n`)
const tableText = `| call | mean us | p99 us |\n| --- | ---: | ---: |\n${lines.join('')}`
process.stdout.write(options.json ? JSON.stringify(results, undefined, 2) + '\n' : tableText)
