/** Runs soaks manually, with new seeds or to reproduce a given one. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as soakRun from './SoakRun.js'
import type * as types from './Types.js'
import * as url from 'node:url'
import * as yargs from 'yargs'

const ROOT = url.fileURLToPath(new URL('../../../../', import.meta.url))

const EXIT_INTERRUPTED = 130

async function main (): Promise<void> {
  // Exits explicitly, because the default action of these signals would leave the node processes running.
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { process.exit(EXIT_INTERRUPTED) })
  const options = await yargs.default(process.argv.slice(2))
    .usage('Runs the platform program as processes under seeded faults and checks the guarantees to callers and targets.')
    .option('seed', { type: 'number', describe: 'first seed; a new one if omitted' })
    .option('seeds', { type: 'number', default: 1, describe: 'number of seeds, one after the other' })
    .option('nodes', { type: 'number', default: 6, describe: 'number of nodes, each in its own process' })
    .option('length', { type: 'number', default: 12, describe: 'period in which faults start, in seconds' })
    .option('faults', { type: 'number', default: 10, describe: 'faults in one run' })
    .option('report', { type: 'string', default: path.join(os.tmpdir(), 'elmpost-soak'), describe: 'folder for the logs of failed runs' })
    .strict()
    .parseAsync()
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'elmpost-soak-run-'))
  const program = path.join(folder, 'elmpost-node.cjs')
  childProcess.execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${program}`], { cwd: ROOT, stdio: 'inherit' })
  const first = options.seed ?? Date.now() % 1_000_000
  let failed = 0
  for (let seed = first; seed < first + options.seeds; seed++) {
    const result = await new soakRun.SoakRun({ seed, nodeCount: options.nodes, lengthMs: options.length * 1000, faultCount: options.faults, program, folder }).run()
    process.stdout.write(`seed ${seed}: ${result.calls} calls, ${result.answered} answered, ${result.faults.length} faults, ${result.problems.length} violated guarantees\n`)
    if (result.problems.length === 0) continue
    failed += 1
    writeReport(result, options.report)
    for (const problem of result.problems.slice(0, 5)) process.stdout.write(`  ${problem}\n`)
  }
  fs.rmSync(folder, { recursive: true })
  process.stdout.write(`${options.seeds - failed} passed, ${failed} failed\n`)
  process.exitCode = failed === 0 ? 0 : 1
}

/** Writes the logs, faults and problems of a failed soak, so that it can be reproduced. */
function writeReport (result: types.SoakResult, folder: string): void {
  fs.mkdirSync(folder, { recursive: true })
  for (const [name, lines] of result.logs) fs.writeFileSync(`${folder}/${result.seed}-${name}.log`, `${lines.join('\n')}\n`)
  fs.writeFileSync(`${folder}/${result.seed}.json`, JSON.stringify({ faults: result.faults, problems: result.problems }, null, 2))
}

await main()
