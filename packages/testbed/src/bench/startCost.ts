/**
 * Measures the start of a node process: time and processor time until it listens, time until it enforces the configuration
 * from the log, and resident memory at rest. The node has no peers and no target; each start is a new process.
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import * as url from 'node:url'
import * as yargs from 'yargs'
import * as institutions from '../harness/institutions.js'
import * as managed from '../harness/ManagedProcess.js'
import * as operator from '../harness/Operator.js'
import * as ports from '../harness/ports.js'
import * as processUsage from './ProcessUsage.js'

const DEFAULT_PROGRAM = url.fileURLToPath(new URL('../../../node/bin/elmpost-node.js', import.meta.url))
const LOG_RETENTION_MS = 3_600_000
const LISTEN_POLL_INTERVAL_MS = 5
/** Each poll costs the node time and memory, so polls are rare once the node listens. */
const IN_FORCE_POLL_INTERVAL_MS = 100
const START_TIMEOUT_MS = 30_000

interface Start {
  readonly listenMs: number
  readonly inForceMs: number
  readonly cpuMs: number
  readonly residentMb: number
}

async function main (): Promise<void> {
  const args = await yargs.default(process.argv.slice(2))
    .option('starts', { type: 'number', default: 10, describe: 'processes started, one after the other' })
    .option('rest', { type: 'number', default: 5, describe: 'seconds until the memory is read' })
    .option('program', { type: 'string', default: DEFAULT_PROGRAM, describe: 'absolute path of the node program, to compare another build' })
    .option('node-option', { type: 'string', array: true, default: [], describe: 'option of Node.js for the node process' })
    .strict()
    .parseAsync()
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-bench-'))
  const [logPort = 0] = await ports.findFreePorts(1)
  const log = new managed.ManagedProcess({ name: 'log', modulePath: 'standins/logMain.js', args: [JSON.stringify({ port: logPort, retentionMs: LOG_RETENTION_MS })] })
  try {
    const logUrl = `http://127.0.0.1:${logPort}`
    await waitFor(LISTEN_POLL_INTERVAL_MS, async () => await isAnswering(`${logUrl}/streams/config/records?from=0&limit=1&waitMs=0`))
    const applied = await new operator.Operator('bench', logUrl).apply(institutions.KARTULI.configFile)
    if (applied.exitCode !== 0) throw new Error(`apply failed: ${applied.stdout}${applied.stderr}`)
    const starts: Start[] = []
    for (let i = 0; i < args.starts; i++) starts.push(await measure(args.program, args['node-option'] as string[], directory, logUrl, args.rest))
    process.stdout.write(`load average ${os.loadavg().map(value => value.toFixed(1)).join(' ')}\n`)
    console.table(Object.fromEntries((['listenMs', 'inForceMs', 'cpuMs', 'residentMb'] as const).map(name => [name, summary(starts.map(start => start[name]))])))
  } finally {
    await log.stop()
    await fs.rm(directory, { recursive: true, force: true })
  }
}

async function measure (program: string, execArgv: readonly string[], directory: string, logUrl: string, restS: number): Promise<Start> {
  const [caller, peer, admin] = await ports.findFreePorts(3)
  const file = path.join(directory, 'node.json')
  await fs.writeFile(file, JSON.stringify({
    nodeId: 'bench',
    institution: institutions.KARTULI.name,
    zone: institutions.KARTULI.zones[0],
    callerAddress: `127.0.0.1:${caller}`,
    peerAddress: `127.0.0.1:${peer}`,
    adminAddress: `127.0.0.1:${admin}`,
    logUrl
  }))
  const startedAtMs = performance.now()
  const node = new managed.ManagedProcess({ name: 'node', modulePath: program, args: ['--settings', file], execArgv })
  try {
    await waitFor(LISTEN_POLL_INTERVAL_MS, async () => await isAnswering(`http://127.0.0.1:${admin}/healthz`))
    const listenMs = performance.now() - startedAtMs
    const usage = new processUsage.ProcessUsage(node.pid)
    const cpuMs = usage.cpuUs() / 1000
    await waitFor(IN_FORCE_POLL_INTERVAL_MS, async () => await isInForce(`http://127.0.0.1:${admin}/admin/status`))
    const inForceMs = performance.now() - startedAtMs
    await timers.setTimeout(restS * 1000)
    return { listenMs, inForceMs, cpuMs, residentMb: usage.residentMb() }
  } finally {
    await node.stop()
  }
}

async function waitFor (pollMs: number, condition: () => Promise<boolean>): Promise<void> {
  const endsAtMs = performance.now() + START_TIMEOUT_MS
  while (!await condition()) {
    if (performance.now() > endsAtMs) throw new Error('the process did not start in time')
    await timers.setTimeout(pollMs)
  }
}

async function isAnswering (address: string): Promise<boolean> {
  try {
    const response = await undici.request(address)
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    return false
  }
}

async function isInForce (address: string): Promise<boolean> {
  const response = await undici.request(address)
  const status = await response.body.json() as { readonly version: number }
  return status.version > 0
}

function summary (values: readonly number[]): Record<string, string> {
  const sorted = [...values].sort((a, b) => a - b)
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean: mean.toFixed(1), least: (sorted[0] ?? 0).toFixed(1), median: (sorted[Math.floor(sorted.length / 2)] ?? 0).toFixed(1), most: (sorted[sorted.length - 1] ?? 0).toFixed(1) }
}

await main()
