/** Runs the demo of both institutions as separate processes. Exits with 0 on success, else with 1. */
import * as institutions from '../harness/institutions.js'
import * as demoRun from './DemoRun.js'

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

const runs = [
  new demoRun.DemoRun({ spec: institutions.KARTULI, kinds: institutions.KARTULI_CALLS, callsPerSecond: 200, print }),
  new demoRun.DemoRun({ spec: institutions.LAKESHORE, kinds: institutions.LAKESHORE_CALLS, callsPerSecond: 100, print })
]
const failures: string[] = []
for (const run of runs) failures.push(...await run.run())
for (const failure of failures) print(`FAILED: ${failure}`)
print(failures.length === 0 ? 'ok' : `${failures.length} failures`)
process.exitCode = failures.length === 0 ? 0 : 1
