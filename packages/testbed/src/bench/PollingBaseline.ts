import * as hdr from 'hdr-histogram-js'
import * as randoms from '@elmpost/common/base/Random.js'
import type * as base from '@elmpost/common/base/Types.js'
import * as logReaders from '@elmpost/common/distribution/LogReader.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as fakeLogs from '../network/FakeLog.js'
import * as networks from '../network/FakeNetwork.js'
import * as benchDocuments from './benchDocument.js'
import * as cases from './ConvergenceCase.js'
import type * as types from './convergenceTypes.js'

const START_MS = 1_700_000_000_000
const SETTLE_MS = 10_000
const TIMEOUT_MS = 30_000
const CHANGES_PER_S = 11_000 / 86_400

/** A node that only long-polls the log. */
class PollingNode implements fakeLogs.ILogReaderNode {
  public readonly address = ''
  public readonly zone = ''
  public lastRecordAtMs = 0
  private _effects: messages.Effect[] = []
  private readonly _log: logReaders.LogReader

  constructor (public readonly nodeId: base.NodeId, random: base.IRandom) {
    this._log = new logReaders.LogReader({ random, effects: { push: effect => { this._effects.push(effect) } } })
  }

  public tick (nowMs: base.Millis): void {
    this._log.tick(true, true, nowMs)
  }

  public receive (): void {}

  public logRead (result: messages.LogReadResult, nowMs: base.Millis): void {
    if (this._log.handleResult(result, nowMs) && result.records.length > 0) this.lastRecordAtMs = nowMs
    this._log.tick(true, true, nowMs)
  }

  public logAppended (): void {}

  public drain (): readonly messages.Effect[] {
    return this._effects.splice(0)
  }
}

/** Baseline in which every node long-polls the log for whole documents. The log stand-in has unlimited capacity, so times are lower bounds. */
export function runPollingBaseline (spec: types.CaseSpec): types.CaseResult {
  const startedMs = performance.now()
  const log = new fakeLogs.FakeLog({ retentionMs: 3_600_000 })
  const random = new randoms.Random(spec.seed)
  const network = new networks.FakeNetwork({ random, startMs: START_MS, log })
  const fleet = Array.from({ length: spec.size }, (_, i) => new PollingNode(`vm-${i}`, random))
  for (const node of fleet) network.add(node)
  network.advance(SETTLE_MS)
  const bytes = cases.documentBytes(spec.size)
  const readsBefore = log.readCount
  network.advance(SETTLE_MS)
  const idleReadsPerS = (log.readCount - readsBefore) / (SETTLE_MS / 1_000)
  log.append('config', { document: benchDocuments.benchDocument(spec.size, cases.zoneCount(spec.size), 1, 'convergence-time') }, network.nowMs)
  const atMs = network.nowMs
  const isDone = network.advanceUntil(() => fleet.every(node => node.lastRecordAtMs >= atMs), TIMEOUT_MS)
  const histogram = hdr.build()
  for (const node of fleet) histogram.recordValue(node.lastRecordAtMs - atMs)
  // Computed, not measured: each change sends the whole document to each node.
  const perNode = bytes * CHANGES_PER_S
  return {
    size: spec.size,
    strategy: 'every-node-polls',
    preference: 'convergence-time',
    documentBytes: bytes,
    convergence: [{
      deadRatio: 0,
      p50Ms: histogram.getValueAtPercentile(50),
      p99Ms: histogram.getValueAtPercentile(99),
      lastMs: isDone ? histogram.maxValue : undefined,
      unreached: 0,
      bytesPerNode: bytes
    }],
    loaded: { meanBytesPerS: perNode, maxBytesPerS: perNode, messagesPerS: CHANGES_PER_S + idleReadsPerS / spec.size },
    wallS: (performance.now() - startedMs) / 1_000,
    peakRssMb: process.resourceUsage().maxRSS / 1_024
  }
}
