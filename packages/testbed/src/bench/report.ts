import type * as goodputRun from './GoodputRun.js'
import type * as types from './Types.js'

export interface ReportRow extends goodputRun.ServiceResult {
  readonly institution: types.InstitutionName
  readonly fault: types.Fault
  readonly load: number
  readonly policy: types.PolicyName
}

const header = ['service', 'fault', 'load', 'policy', 'offered/s', 'goodput/s', 'p50 ms', 'p99 ms', 'late %', 'failed %', 'refused %', 'unknown %', 'refusal p99 ms', 'sends/call', 'duplicate runs']

/** Results as a Markdown table, one line per service and run. */
export function tableOf (rows: readonly ReportRow[]): string {
  const lines = rows.map(cellsOf)
  const rule = header.map((_, column) => column < 4 ? '---' : '---:')
  return [header, rule, ...lines].map(cells => `| ${cells.join(' | ')} |\n`).join('')
}

function cellsOf (row: ReportRow): readonly string[] {
  const { summary } = row
  return [
    row.service,
    row.fault,
    `${row.load}`,
    row.policy,
    summary.offeredPerS.toFixed(0),
    summary.goodputPerS.toFixed(0),
    summary.p50Ms.toFixed(1),
    summary.p99Ms.toFixed(1),
    summary.latePercent.toFixed(2),
    summary.failedPercent.toFixed(2),
    summary.refusedPercent.toFixed(2),
    summary.unknownPercent.toFixed(2),
    summary.refusalP99Ms.toFixed(1),
    summary.sendsPerCall.toFixed(2),
    `${summary.duplicateRuns}`
  ]
}
