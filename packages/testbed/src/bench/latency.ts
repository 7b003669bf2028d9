/**
 * Measures the latency that elmpost adds to a call. In the same run one caller alternates between the target itself, a
 * path through two processes that only forward bytes, and the path through two nodes (entry and host).
 */
import * as yargs from 'yargs'
import * as benchMesh from './BenchMesh.js'
import * as loadRun from './LoadRun.js'
import * as processUsage from './ProcessUsage.js'

const US_PER_MS = 1000
/** V8 optimizes the call path only after some 10,000 calls, which take half a minute at the usual load. */
const WARM_UP_CALLS_PER_S = 2000
const WARM_UP_MS = 8000
const REST_MS = 2000

interface Row {
  readonly callsPerS: number
  readonly directP50Ms: string
  readonly directP99Ms: string
  readonly relayP50Ms: string
  readonly relayP99Ms: string
  readonly meshP50Ms: string
  readonly meshP99Ms: string
  readonly addedP50Ms: string
  readonly addedP99Ms: string
  readonly entryCpuUsPerCall: string
  readonly hostCpuUsPerCall: string
  readonly relayCpuUsPerCall: string
  readonly entryMb: string
  readonly relayMb: string
  readonly hostMb: string
  readonly failures: number
}

async function main (): Promise<void> {
  const args = await yargs.default(process.argv.slice(2))
    .option('rates', { type: 'string', default: '50,319,1000,2000', describe: 'calls/s on each path, comma separated' })
    .option('seconds', { type: 'number', default: 10, describe: 'duration of each load' })
    .option('node-option', { type: 'string', array: true, default: [], describe: 'option of Node.js for the node processes' })
    .strict()
    .parseAsync()
  const mesh = new benchMesh.BenchMesh({ execArgv: args['node-option'] as string[], verbose: false })
  try {
    await mesh.start()
    const usages = [...mesh.nodes.map(node => node.pid), mesh.relay?.pid ?? 0].map(pid => new processUsage.ProcessUsage(pid))
    await sleep(REST_MS)
    process.stdout.write(`resident memory at rest: ${mesh.nodes.map((node, i) => `${node.name} ${usages[i]?.residentMb().toFixed(1) ?? ''} MB`).join(', ')}\n`)
    await measure(mesh, usages, WARM_UP_CALLS_PER_S, WARM_UP_MS)
    const rows: Row[] = []
    for (const rate of args.rates.split(',').map(Number)) rows.push(await measure(mesh, usages, rate, args.seconds * 1000))
    console.table(rows)
  } finally {
    await mesh.stop()
  }
}

async function measure (mesh: benchMesh.BenchMesh, usages: readonly processUsage.ProcessUsage[], callsPerS: number, durationMs: number): Promise<Row> {
  const run = new loadRun.LoadRun({ directUrl: mesh.directUrl, relayUrl: mesh.relayUrl, entryUrl: mesh.entryUrl, callsPerS, durationMs, path: '/till/price/visa' })
  const before = usages.map(usage => usage.cpuUs())
  await run.run()
  const calls = run.mesh.histogram.totalCount
  const cpu = usages.map((usage, i) => ((usage.cpuUs() - (before[i] ?? 0)) / calls).toFixed(0))
  const resident = usages.map(usage => usage.residentMb().toFixed(1))
  const [directP50, directP99, relayP50, relayP99, meshP50, meshP99] = [run.direct, run.relay, run.mesh].flatMap(({ histogram }) => [50, 99].map(percentile => histogram.getValueAtPercentile(percentile)))
  return {
    callsPerS,
    directP50Ms: toMs(directP50),
    directP99Ms: toMs(directP99),
    relayP50Ms: toMs(relayP50),
    relayP99Ms: toMs(relayP99),
    meshP50Ms: toMs(meshP50),
    meshP99Ms: toMs(meshP99),
    addedP50Ms: toMs((meshP50 ?? 0) - (directP50 ?? 0)),
    addedP99Ms: toMs((meshP99 ?? 0) - (directP99 ?? 0)),
    hostCpuUsPerCall: cpu[0] ?? '',
    entryCpuUsPerCall: cpu[1] ?? '',
    relayCpuUsPerCall: cpu[2] ?? '',
    hostMb: resident[0] ?? '',
    entryMb: resident[1] ?? '',
    relayMb: resident[2] ?? '',
    failures: run.mesh.failures + run.relay.failures + run.direct.failures
  }
}

function toMs (us: number | undefined): string {
  return ((us ?? 0) / US_PER_MS).toFixed(3)
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}

await main()
