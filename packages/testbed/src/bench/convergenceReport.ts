/** Tables of the convergence benchmark, in Markdown. */
import type * as types from './convergenceTypes.js'

export interface BenchOutput {
  readonly results: readonly types.CaseResult[]
  readonly micro: readonly types.MicroFigures[]
}

export function render (output: BenchOutput): string {
  return [
    convergenceTable(output.results),
    trafficTable(output.results),
    logTable(output.results),
    detectionTable(output.results),
    restartTable(output.results),
    microTable(output.micro)
  ].join('\n')
}

function convergenceTable (results: readonly types.CaseResult[]): string {
  const rows = results.flatMap(result => result.convergence.map(figures => [
    count(result.size), result.strategy, `${figures.deadRatio * 100} %`, count(figures.p50Ms), count(figures.p99Ms),
    figures.lastMs === undefined ? `${figures.unreached} not reached in 30 s` : count(figures.lastMs), count(figures.bytesPerNode)
  ]))
  return table('Convergence', ['nodes', 'strategy', 'dead', 'p50 ms', 'p99 ms', 'last node ms', 'bytes per node and change'], rows)
}

function trafficTable (results: readonly types.CaseResult[]): string {
  const rows = results.map(result => [
    count(result.size), result.strategy, traffic(result.idle), traffic(result.loaded), rate(result.loaded?.messagesPerS),
    result.cpuMsPerNodeS === undefined ? '' : (result.cpuMsPerNodeS / 10).toFixed(3)
  ])
  return table('Control traffic', ['nodes', 'strategy', 'idle B/s mean (max)', '11,000 changes/day B/s mean (max)', 'messages/s', 'CPU, % of a core'], rows)
}

function logTable (results: readonly types.CaseResult[]): string {
  const rows = results.flatMap(({ size, strategy, log }) => log === undefined
    ? []
    : [[count(size), strategy, count(log.bytesPerChange), count(log.readers), count(log.bytesPerReaderS)]])
  return table('Log', ['nodes', 'strategy', 'bytes per proposal', 'readers', 'bytes read per reader and second, 11,000 changes/day'], rows)
}

function detectionTable (results: readonly types.CaseResult[]): string {
  const rows = results.flatMap(result => {
    const { detection, detectionConnected } = result
    return [
      ...(detection === undefined ? [] : [detectionRow(result.size, 'VM vanishes', detection)]),
      ...(detectionConnected === undefined ? [] : [detectionRow(result.size, 'process killed, 3 connections break', detectionConnected)])
    ]
  })
  return table('Detection', ['nodes', 'failure', 'kills', 'first `suspect` p50 ms', 'max ms', 'first `dead` p50 ms', 'max ms', 'everywhere `dead` p50 ms', 'max ms'], rows)
}

function detectionRow (size: number, failure: string, figures: types.DetectionFigures): string[] {
  return [
    count(size), failure, count(figures.killed), count(figures.firstSuspectP50Ms), count(figures.firstSuspectMaxMs),
    count(figures.firstDeadP50Ms), count(figures.firstDeadMaxMs), count(figures.allDeadP50Ms), count(figures.allDeadMaxMs)
  ]
}

function restartTable (results: readonly types.CaseResult[]): string {
  const rows = results.flatMap(({ size, strategy, restart }) => restart === undefined
    ? []
    : [[
        count(size), strategy, restart.allEnforceMs === undefined ? '' : count(restart.allEnforceMs), count(restart.logReads),
        count(restart.peakLogReadsPerS), count(restart.peakNodeBytesPerS), count(restart.meanNodeBytes)
      ]])
  return table('Restart of the whole fleet', ['nodes', 'strategy', 'last node ms', 'log reads', 'peak log reads/s', 'busiest node B/s', 'mean bytes per node'], rows)
}

function microTable (figures: readonly types.MicroFigures[]): string {
  const rows = figures.map(({ size, memberTableMb, documentMb, applyMs }) => [
    count(size), memberTableMb.toFixed(2), documentMb.toFixed(2), applyMs.toFixed(2), (applyMs * 11_000 / 86_400 / 10).toFixed(3)
  ])
  return table('One node', ['nodes', 'member table MB', 'document MB', 'apply one change ms', '11,000 changes/day, % of a core'], rows)
}

function traffic (figures: types.TrafficFigures | undefined): string {
  return figures === undefined ? '' : `${count(figures.meanBytesPerS)} (${count(figures.maxBytesPerS)})`
}

function rate (perS: number | undefined): string {
  return perS === undefined ? '' : perS.toFixed(1)
}

function count (value: number): string {
  return Math.round(value).toLocaleString('en-US')
}

function table (title: string, heads: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [heads, heads.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`)
  return [`### ${title}`, '', ...lines, ''].join('\n')
}
