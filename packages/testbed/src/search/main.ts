/** Searches for faults after which a node without one gets a configuration too late, in virtual time, or plays a seed as a timeline. */
import * as rulesSearch from '@elmpost/node/direct/testing/RulesSearch.js'
import * as yargs from 'yargs'

/** Lengths of single faults. */
const LENGTHS_MS = [100, 600, 1_500, 2_500, 5_000]
const FROM_MS = -3_000
const UNTIL_MS = 1_000

async function main (): Promise<void> {
  const options = await yargs.default(process.argv.slice(2))
    .usage('Plays the distribution of configurations under faults in virtual time.')
    .option('seed', { type: 'number', describe: 'first seed; a new one if omitted' })
    .option('seeds', { type: 'number', default: 1, describe: 'number of seeds, each with random faults; a single one is shown as a timeline' })
    .option('single', { type: 'boolean', default: false, describe: 'instead, each single fault of each role, at each step around a version' })
    .option('step', { type: 'number', default: 10, describe: 'step of the single faults, in ms' })
    .option('nodes', { type: 'number', default: 10, describe: 'number of nodes for single faults' })
    .strict()
    .parseAsync()
  const late = options.single ? await playSingleFaults(options.nodes, options.step) : await playSeeds(options.seed ?? Date.now() % 1_000_000_000, options.seeds)
  process.exitCode = late === 0 ? 0 : 1
}

async function playSeeds (first: number, count: number): Promise<number> {
  let late = 0
  for (let seed = first; seed < first + count; seed++) {
    const played = rulesSearch.caseOf(seed)
    const { problems, trace } = await rulesSearch.play(played, count === 1)
    if (count === 1) process.stdout.write(`${JSON.stringify(played)}\n${trace.join('\n')}\n`)
    if (problems.length > 0) late += 1
    for (const problem of problems.slice(0, 3)) process.stdout.write(`seed ${seed}: ${problem}\n`)
  }
  process.stdout.write(`seeds ${first} to ${first + count - 1}: ${late} of ${count} cases with a node without a fault that was late\n`)
  return late
}

async function playSingleFaults (nodeCount: number, stepMs: number): Promise<number> {
  let late = 0
  let count = 0
  for (const kind of rulesSearch.KINDS) {
    for (const node of rulesSearch.ROLES) {
      for (const forMs of LENGTHS_MS) {
        for (let atMs = FROM_MS; atMs <= UNTIL_MS; atMs += stepMs) {
          const fault = { kind, node, atMs, forMs }
          const { problems } = await rulesSearch.play({ nodeCount, zoneCount: 3, faults: [fault], versionsAtMs: [0] })
          count += 1
          if (problems.length > 0) late += 1
          for (const problem of problems.slice(0, 1)) process.stdout.write(`${JSON.stringify(fault)}: ${problem}\n`)
        }
      }
    }
  }
  process.stdout.write(`${nodeCount} nodes, single faults each ${stepMs} ms: ${late} of ${count} cases with a node without a fault that was late\n`)
  return late
}

await main()
