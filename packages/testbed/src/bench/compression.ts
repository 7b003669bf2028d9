/**
 * Measures the compression of messages between nodes: size and processor time per message, for states, pages of rows
 * and documents with random names.
 */
import * as commonRandom from '@elmpost/common/base/Random.js'
import * as zlib from 'node:zlib'
import * as msgpackr from 'msgpackr'
import * as helpers from 'yargs/helpers'
import * as yargs from 'yargs'
import * as benchDocuments from './benchDocument.js'
import * as ownershipTables from './ownershipTables.js'

const LEVELS = [1, 6]
const ZONES = 7
const SERVICES = 810
const MAX_INFLATED_BYTES = 32 * 1024 * 1024
const ADDRESS_SPACE = 2 ** 31

const options = await yargs.default(helpers.hideBin(process.argv))
  .scriptName('compression')
  .option('rounds', { type: 'number', default: 30, describe: 'Repetitions of each measurement' })
  .option('seed', { type: 'number', default: 1, describe: 'Seed of the random names' })
  .strict()
  .parseAsync()

const random = new commonRandom.Random(options.seed)
const packr = new msgpackr.Packr({ useRecords: false })
const messages: readonly (readonly [string, object])[] = [
  ...[4, 16, 32, 64, 256].map(count => [`table-rows, ${count} rows`, makePage(count)] as const),
  ...[100, 300, 1_000, 6_900].map(size => [`state of ${size} nodes`, makeState(size, false)] as const),
  ['state of 6900 nodes, random names', makeState(6_900, true)],
  [`ownership table, ${SERVICES} services`, { kind: 'state', ownership: ownershipTables.largeTable(SERVICES).updateSince(0) }],
  ['random bytes, 64 KiB', { data: Buffer.from(Array.from({ length: 65_536 }, () => random.nextInt(256))) }]
]

console.log('| message | packed B | pack + unpack ms | level | compressed B | compress ms | decompress ms |')
console.log('| --- | --- | --- | --- | --- | --- | --- |')
for (const [name, message] of messages) {
  const packed = packr.pack(message)
  const packMs = cpuMs(() => { packr.unpack(packr.pack(message)) })
  for (const level of LEVELS) {
    const deflated = zlib.deflateRawSync(packed, { level })
    const compressMs = cpuMs(() => { zlib.deflateRawSync(packed, { level }) })
    const decompressMs = cpuMs(() => { zlib.inflateRawSync(deflated, { maxOutputLength: MAX_INFLATED_BYTES }) })
    const figures = [name, packed.length, packMs.toFixed(3), level, deflated.length, compressMs.toFixed(3), decompressMs.toFixed(3)]
    console.log(`| ${figures.join(' | ')} |`)
  }
}

/** Mean processor time of one call of `action`, including all threads of the process. */
function cpuMs (action: () => void): number {
  for (let i = 0; i < options.rounds / 2; i++) action()
  const before = process.cpuUsage()
  for (let i = 0; i < options.rounds; i++) action()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / 1_000 / options.rounds
}

function makePage (count: number): object {
  const rows = Array.from({ length: count }, (_, i) => [
    `vm-${String(i).padStart(5, '0')}`, 1_700_000_000_000 + random.nextInt(1_000_000), randomAddress(), randomAddress(), '127.0.0.1:9000',
    `zone-${random.nextInt(ZONES)}`, `service-${random.nextInt(SERVICES)}`, true, 0, 'ready', random.nextInt(9), '', random.nextInt(999)
  ])
  return { kind: 'table-rows', rows, wantedBuckets: [], bucketCount: 0 }
}

function makeState (size: number, hasRandomNames: boolean): object {
  const text = JSON.stringify(benchDocuments.benchDocument(size, ZONES, 1, 'convergence-time'))
  const renamed = hasRandomNames ? text.replaceAll(/"name":"[^"]*"/g, () => `"name":"${randomName()}"`) : text
  return { kind: 'state', state: { version: 1, digest: 'a'.repeat(64), rulesVersion: 1, document: JSON.parse(renamed) as unknown } }
}

function randomAddress (): string {
  const bits = random.nextInt(ADDRESS_SPACE)
  return `10.${(bits >> 16) & 255}.${(bits >> 8) & 255}.${bits & 255}:7000`
}

function randomName (): string {
  return random.nextInt(ADDRESS_SPACE).toString(36) + random.nextInt(ADDRESS_SPACE).toString(36)
}
