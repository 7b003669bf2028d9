/** Command line of the goodput benchmark. Prints a table, and writes JSON with `--json`. */
import * as fs from 'node:fs'
import * as process from 'node:process'
import * as yargs from 'yargs'
import * as goodputRun from './GoodputRun.js'
import * as institutions from './institutions.js'
import * as report from './report.js'
import type * as types from './Types.js'

const faults: readonly types.Fault[] = ['none', 'killed', 'slow', 'fails-fast', 'hangs']
const policies: readonly types.PolicyName[] = ['elmpost', 'baseline', 'baseline-patient']
const names: readonly types.InstitutionName[] = ['kartuli', 'lakeshore']

const options = yargs.default(process.argv.slice(2))
  .option('institution', { choices: names, array: true, default: names, describe: 'institutions to run' })
  .option('policy', { choices: policies, array: true, default: policies, describe: 'policies to compare' })
  .option('load', { type: 'number', array: true, default: [0.5, 1, 2, 4], describe: 'offered load as multiples of the capacity' })
  .option('fault', { choices: faults, array: true, default: ['none' as types.Fault], describe: 'what happens to one target when the measured part begins' })
  .option('warmUpMs', { type: 'number', default: 3_000, describe: 'virtual time before the measured part' })
  .option('measureMs', { type: 'number', default: 10_000, describe: 'virtual time of the measured part' })
  .option('seed', { type: 'number', default: 1, describe: 'seed of arrivals, service times and choices' })
  .option('json', { type: 'string', describe: 'file for the results as JSON' })
  .strict()
  .parseSync()

const rows: report.ReportRow[] = []
for (const name of options.institution) {
  for (const fault of options.fault) {
    for (const load of options.load) {
      for (const policy of options.policy) {
        const { warmUpMs, measureMs, seed } = options
        const run = new goodputRun.GoodputRun({ institution: institutions.institutions[name], policy, fault, load, warmUpMs, measureMs, seed })
        for (const result of run.run()) rows.push({ institution: name, fault, load, policy, ...result })
      }
    }
  }
}
process.stdout.write(report.tableOf(rows))
if (options.json !== undefined) fs.writeFileSync(options.json, JSON.stringify(rows, undefined, 2) + '\n')
