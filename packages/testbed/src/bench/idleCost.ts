/**
 * Measures the cost of the control traffic of a node process: processor time, control bytes and resident memory of every
 * node of one institution, first without configuration changes and then with a steady rate of changes.
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import * as yargs from 'yargs'
import type * as config from '@elmpost/common/config/Types.js'
import * as fleet from '../harness/Fleet.js'
import * as institutions from '../harness/institutions.js'
import * as ledger from '../harness/Ledger.js'
import * as operator from '../harness/Operator.js'
import * as processUsage from './ProcessUsage.js'

const START_TIMEOUT_MS = 60_000
const SETTLE_MS = 10_000
const US_PER_S = 1_000_000
const CONTROL_BYTES = /^elmpost_peer_bytes_total\{[^}]*traffic="control"[^}]*\} (\d+)/gm

interface Sample {
  readonly atMs: number
  readonly cpuUs: readonly number[]
  readonly controlBytes: readonly number[]
}

interface Row {
  readonly phase: string
  readonly cpuPercentMean: string
  readonly cpuPercentMax: string
  readonly controlBytesPerSMean: string
  readonly controlBytesPerSMax: string
  readonly residentMbMean: string
}

async function main (): Promise<void> {
  const args = await yargs.default(process.argv.slice(2))
    .option('seconds', { type: 'number', default: 30, describe: 'duration of each phase' })
    .option('changes', { type: 'number', default: 4, describe: 'changes applied in the second phase' })
    .strict()
    .parseAsync()
  const mesh = new fleet.Fleet({ spec: institutions.KARTULI, ledger: new ledger.Ledger() })
  try {
    await mesh.start()
    const applied = await new operator.Operator('bench', mesh.logUrl).apply(mesh.spec.configFile)
    if (applied.exitCode !== 0) throw new Error(`apply failed: ${applied.stdout}${applied.stderr}`)
    await mesh.waitForVersion(1, START_TIMEOUT_MS)
    await timers.setTimeout(SETTLE_MS)
    const idle = await measure('idle', mesh, async () => { await timers.setTimeout(args.seconds * 1000) })
    const loaded = await measure(`${args.changes} changes in ${args.seconds} s`, mesh, async () => { await applyChanges(mesh, args.changes, args.seconds * 1000) })
    console.table([idle, loaded])
  } finally {
    await mesh.stop()
  }
}

async function applyChanges (mesh: fleet.Fleet, count: number, durationMs: number): Promise<void> {
  const document = JSON.parse(await fs.readFile(mesh.spec.configFile, 'utf8')) as config.ConfigDocument
  const file = path.join(await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-bench-')), 'changed.json')
  const endsAtMs = performance.now() + durationMs
  for (let i = 1; i <= count; i++) {
    const [first, ...others] = document.routes
    await fs.writeFile(file, JSON.stringify({ ...document, routes: [{ ...first, timeoutMs: 2000 + i }, ...others] }))
    await new operator.Operator('bench', mesh.logUrl).apply(file)
    await timers.setTimeout(Math.max(0, (endsAtMs - performance.now()) / (count - i + 1)))
  }
}

async function measure (phase: string, mesh: fleet.Fleet, work: () => Promise<void>): Promise<Row> {
  const usages = mesh.workers.map(worker => new processUsage.ProcessUsage(worker.node.pid))
  const before = await sample(mesh, usages)
  await work()
  const after = await sample(mesh, usages)
  const seconds = (after.atMs - before.atMs) / 1000
  const cpuPercent = after.cpuUs.map((cpuUs, i) => (cpuUs - (before.cpuUs[i] ?? 0)) / US_PER_S / seconds * 100)
  const bytesPerS = after.controlBytes.map((bytes, i) => (bytes - (before.controlBytes[i] ?? 0)) / seconds)
  return {
    phase,
    cpuPercentMean: mean(cpuPercent).toFixed(2),
    cpuPercentMax: Math.max(...cpuPercent).toFixed(2),
    controlBytesPerSMean: mean(bytesPerS).toFixed(0),
    controlBytesPerSMax: Math.max(...bytesPerS).toFixed(0),
    residentMbMean: mean(usages.map(usage => usage.residentMb())).toFixed(1)
  }
}

async function sample (mesh: fleet.Fleet, usages: readonly processUsage.ProcessUsage[]): Promise<Sample> {
  const controlBytes = await Promise.all(mesh.workers.map(async worker => await readControlBytes(worker.adminAddress)))
  return { atMs: performance.now(), cpuUs: usages.map(usage => usage.cpuUs()), controlBytes }
}

/** Returns the control bytes sent and received. */
async function readControlBytes (adminAddress: string): Promise<number> {
  const response = await undici.request(`http://${adminAddress}/metrics`)
  const text = await response.body.text()
  return [...text.matchAll(CONTROL_BYTES)].reduce((sum, match) => sum + Number(match[1]), 0)
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

await main()
