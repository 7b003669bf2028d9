/**
 * Convergence benchmark. Simulates whole fleets in virtual time and measures convergence, traffic, failure detection and
 * restart. Prints tables, and writes JSON, text and a plot if the options name files for them.
 */
import * as fs from 'node:fs/promises'
import * as workerThreads from 'node:worker_threads'
import * as yargs from 'yargs'
import * as helpers from 'yargs/helpers'
import * as micro from './microFigures.js'
import * as plots from './ConvergencePlot.js'
import * as reports from './convergenceReport.js'
import type * as types from './convergenceTypes.js'

const STRATEGIES: readonly types.BenchStrategy[] = ['tree', 'gossip', 'hybrid', 'hybrid-bytes', 'every-node-polls']
/** Heap limit of one worker. A fleet of 6,900 nodes needs most of it. */
const MAX_HEAP_MB = 8_192

const options = await yargs.default(helpers.hideBin(process.argv))
  .scriptName('convergence')
  .option('sizes', { type: 'string', default: '10,100,1000,6900', describe: 'Fleet sizes, comma-separated' })
  .option('strategies', { type: 'string', default: STRATEGIES.join(','), describe: 'Strategies, comma-separated' })
  .option('dead', { type: 'string', default: '0,0.05,0.3', describe: 'Shares of nodes that die during a push' })
  .option('restart-up-to', { type: 'number', default: 1_000, describe: 'Largest fleet whose restart as a whole is measured' })
  .option('detection-up-to', { type: 'number', default: 1_000, describe: 'Largest fleet whose failure detection is measured' })
  .option('kills', { type: 'number', default: 10, describe: 'Nodes killed per kind of failure to measure the failure detection' })
  .option('traffic-up-to', { type: 'number', default: 10_000, describe: 'Largest fleet whose idle and loaded traffic is measured' })
  .option('seed', { type: 'number', default: 1, describe: 'Seed of the random choices' })
  .option('proposals', { choices: ['apply', 'whole'] as const, default: 'apply' as const, describe: 'Proposals as elmpost apply makes them, or always whole documents' })
  .option('include', { type: 'string', default: '', describe: 'JSON files of earlier runs whose results are shown as well, comma-separated' })
  .option('json', { type: 'string', describe: 'File for the results' })
  .option('text', { type: 'string', describe: 'File for the tables' })
  .option('svg', { type: 'string', describe: 'File for the plot' })
  .strict()
  .parseAsync()

const earlier = await readEarlier()
const results: types.CaseResult[] = earlier.flatMap(run => run.results)
for (const size of numbers(options.sizes)) {
  for (const strategy of options.strategies.split(',') as types.BenchStrategy[]) {
    const result = await runCase(specOf(size, strategy))
    results.push(result)
    await writeJson([])
    console.error(`${size} ${strategy}: ${result.wallS.toFixed(0)} s, ${result.peakRssMb.toFixed(0)} MB`)
  }
}
const figures = [...earlier.flatMap(run => run.micro), ...numbers(options.sizes).map(size => micro.measure(size))]
await writeJson(figures)
const text = reports.render({ results, micro: figures })
console.log(text)
if (options.text !== undefined) await fs.writeFile(options.text, text)
if (options.svg !== undefined) await fs.writeFile(options.svg, new plots.ConvergencePlot(results).render())

async function readEarlier (): Promise<readonly reports.BenchOutput[]> {
  const files = options.include === '' ? [] : options.include.split(',')
  return await Promise.all(files.map(async file => JSON.parse(await fs.readFile(file, 'utf8')) as reports.BenchOutput))
}

/** Called after each case, so that a run that is stopped early keeps its results. */
async function writeJson (singleNode: readonly types.MicroFigures[]): Promise<void> {
  if (options.json === undefined) return
  await fs.writeFile(options.json, JSON.stringify({ seed: options.seed, results, micro: singleNode }, null, 2) + '\n')
}

function specOf (size: number, strategy: types.BenchStrategy): types.CaseSpec {
  const isProduct = strategy === 'hybrid' || strategy === 'hybrid-bytes'
  return {
    size,
    strategy,
    seed: options.seed,
    proposals: options.proposals,
    deadRatios: numbers(options.dead),
    withBytes: size <= options['traffic-up-to'],
    withDetection: strategy === 'hybrid' && size <= options['detection-up-to'],
    detectionKills: options.kills,
    withRestart: isProduct && size <= options['restart-up-to']
  }
}

function numbers (list: string): readonly number[] {
  return list === '' ? [] : list.split(',').map(Number)
}

async function runCase (spec: types.CaseSpec): Promise<types.CaseResult> {
  const url = new URL('./convergenceWorker.js', import.meta.url)
  const worker = new workerThreads.Worker(url, { workerData: spec, resourceLimits: { maxOldGenerationSizeMb: MAX_HEAP_MB } })
  return await new Promise((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
}
