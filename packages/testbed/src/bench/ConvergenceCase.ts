import * as fs from 'node:fs'
import * as hdr from 'hdr-histogram-js'
import type * as networks from '../network/FakeNetwork.js'
import type * as nodes from '../network/SteppedNode.js'
import * as benchDocuments from './benchDocument.js'
import * as benchFleets from './BenchFleet.js'
import type * as types from './convergenceTypes.js'

const MIN_LARGE_FLEET_SIZE = 100
const STDERR_FD = 2
const START_TIMEOUT_MS = 60_000
const SETTLE_MS = 15_000
const CONVERGENCE_TIMEOUT_MS = 30_000
const IDLE_MS = 20_000
const LOADED_MS = 60_000
const CHANGES_PER_DAY = 11_000
const DAY_MS = 86_400_000
const DETECTION_GAP_MS = 1_500
const DETECTION_TIMEOUT_MS = 30_000
/** Number of peers whose connection to the killed process closes. */
const CONNECTED_PEERS = 3
const RESTART_TIMEOUT_MS = 120_000

interface DetectionTimes {
  readonly suspectMs: number
  readonly firstMs: number
  readonly allMs: number
}

/** Measures one strategy on one fleet, step by step in virtual time. */
export class ConvergenceCase {
  private readonly _spec: types.CaseSpec
  private readonly _fleet: benchFleets.BenchFleet
  private readonly _enforcedAtMs = new Map<string, number>()
  private readonly _unreachable = new Set<networks.INetworkNode>()

  constructor (spec: types.CaseSpec) {
    this._spec = spec
    const isBytes = spec.strategy === 'hybrid-bytes'
    this._fleet = new benchFleets.BenchFleet({
      size: spec.size,
      zoneCount: zoneCount(spec.size),
      seed: spec.seed,
      proposals: spec.proposals,
      strategy: spec.strategy === 'tree' || spec.strategy === 'gossip' ? spec.strategy : 'hybrid',
      preference: isBytes ? 'control-bytes' : 'convergence-time'
    })
    this._fleet.network.isLost = (from, to) => this._unreachable.has(from) || this._unreachable.has(to)
  }

  public run (): types.CaseResult {
    const startedMs = performance.now()
    const { size, strategy, withBytes, withDetection, withRestart } = this._spec
    this._start()
    const cpuMsPerNodeS = withBytes ? this._measureCpu() : undefined
    const idle = withBytes ? this._measureIdle() : undefined
    const loaded = withBytes ? this._measureLoaded() : undefined
    const log = withBytes ? this._fleet.logMeter.figures(LOADED_MS / 1_000) : undefined
    const convergence = this._spec.deadRatios.map(ratio => this._measureConvergence(ratio))
    const detection = withDetection ? this._measureDetection(false) : undefined
    const detectionConnected = withDetection ? this._measureDetection(true) : undefined
    const restart = withRestart ? this._measureRestart() : undefined
    return {
      size,
      strategy,
      preference: strategy === 'hybrid-bytes' ? 'control-bytes' : 'convergence-time',
      documentBytes: documentBytes(size),
      convergence,
      ...(cpuMsPerNodeS === undefined ? {} : { cpuMsPerNodeS }),
      ...(idle === undefined ? {} : { idle }),
      ...(loaded === undefined ? {} : { loaded }),
      ...(log === undefined ? {} : { log }),
      ...(detection === undefined ? {} : { detection }),
      ...(detectionConnected === undefined ? {} : { detectionConnected }),
      ...(restart === undefined ? {} : { restart }),
      wallS: (performance.now() - startedMs) / 1_000,
      peakRssMb: process.resourceUsage().maxRSS / 1_024
    }
  }

  private _start (): void {
    this._fleet.propose()
    this._fleet.startAllSettled()
    this._fleet.network.advanceUntil(() => this._fleet.countBelow(1) === 0, START_TIMEOUT_MS)
    this._recordEnforcements()
    this._fleet.network.advance(SETTLE_MS * 2)
  }

  private _recordEnforcements (): void {
    for (const node of this._fleet.running.values()) {
      node.enforcement.onEnforced(({ version, atMs }) => { this._enforcedAtMs.set(`${node.nodeId}/${version}`, atMs) })
    }
  }

  private _measureCpu (): number {
    const before = process.cpuUsage()
    this._fleet.network.advance(IDLE_MS)
    const used = process.cpuUsage(before)
    return (used.user + used.system) / 1_000 / this._spec.size / (IDLE_MS / 1_000)
  }

  private _measureIdle (): types.TrafficFigures {
    return this._measureTraffic(IDLE_MS, () => undefined)
  }

  private _measureLoaded (): types.TrafficFigures {
    return this._measureTraffic(LOADED_MS, () => { this._fleet.propose() })
  }

  /** Measures the traffic while `change` runs at the design rate of configuration changes. */
  private _measureTraffic (durationMs: number, change: () => void): types.TrafficFigures {
    const { meter, network } = this._fleet
    const gapMs = Math.round(DAY_MS / CHANGES_PER_DAY)
    meter.reset()
    this._fleet.logMeter.reset()
    this._fleet.isMetering = true
    for (let leftMs = durationMs; leftMs > 0; leftMs -= gapMs) {
      change()
      network.advance(Math.min(gapMs, leftMs))
    }
    this._fleet.isMetering = false
    const totals = [...this._fleet.running.keys()].map(id => meter.totalOf(id))
    const sum = totals.reduce((a, b) => a + b, 0)
    const messages = [...meter.byKind.values()].reduce((count, kind) => count + kind.count, 0)
    const seconds = durationMs / 1_000
    const figures = {
      meanBytesPerS: sum / totals.length / seconds,
      maxBytesPerS: totals.reduce((a, b) => Math.max(a, b), 0) / seconds,
      messagesPerS: messages / totals.length / seconds
    }
    this._report('traffic', figures)
    return figures
  }

  /** Prints figures as soon as they are measured, because a run of a large fleet may be stopped before it returns a result. */
  private _report (part: string, figures: object): void {
    const { size, strategy } = this._spec
    // Synchronous write: the console of a worker prints only when its event loop runs, which is after the end of the case.
    fs.writeSync(STDERR_FD, `${size} ${strategy} ${part}: ${JSON.stringify(figures)}\n`)
  }

  private _measureConvergence (deadRatio: number): types.ConvergenceFigures {
    const { network, running, meter } = this._fleet
    meter.reset()
    this._fleet.isMetering = true
    const version = this._fleet.propose()
    const startMs = network.nowMs
    const victims = this._fleet.selectRandom(Math.floor(running.size * deadRatio))
    while (this._countAt(version) === 0 && network.nowMs < startMs + CONVERGENCE_TIMEOUT_MS) network.advance(1)
    // At this point the log readers have sent the first pushes, and none has arrived.
    for (const node of victims) this._disconnect(node)
    const live = [...running.values()].filter(node => !this._unreachable.has(node))
    network.advanceUntil(() => live.every(node => node.version >= version), CONVERGENCE_TIMEOUT_MS)
    this._fleet.isMetering = false
    const figures = this._convergenceFigures(live, version, startMs, deadRatio)
    this._report('convergence', figures)
    for (const node of victims) this._reconnect(node)
    network.advance(SETTLE_MS)
    return figures
  }

  private _convergenceFigures (live: readonly nodes.SteppedNode[], version: number, startMs: number, deadRatio: number): types.ConvergenceFigures {
    const histogram = hdr.build()
    const times = live.map(node => this._enforcedAtMs.get(`${node.nodeId}/${version}`)).filter(atMs => atMs !== undefined)
    for (const atMs of times) histogram.recordValue(atMs - startMs)
    const { meter } = this._fleet
    const bytes = ['push', 'push-ack', 'pull', 'state', 'busy'].reduce((sum, kind) => sum + (meter.byKind.get(kind)?.bytes ?? 0), 0)
    const unreached = live.length - times.length
    return {
      deadRatio,
      p50Ms: histogram.getValueAtPercentile(50),
      p99Ms: histogram.getValueAtPercentile(99),
      lastMs: unreached === 0 ? Math.max(...times) - startMs : undefined,
      unreached,
      bytesPerNode: 2 * bytes / live.length
    }
  }

  private _countAt (version: number): number {
    return this._fleet.running.size - this._fleet.countBelow(version)
  }

  /** Pauses the node and drops all messages to and from it, as after the failure of its VM. */
  private _disconnect (node: nodes.SteppedNode): void {
    this._unreachable.add(node)
    this._fleet.network.pause(node)
  }

  private _reconnect (node: nodes.SteppedNode): void {
    this._unreachable.delete(node)
    this._fleet.network.resume(node)
  }

  private _measureDetection (isConnected: boolean): types.DetectionFigures {
    const suspect = hdr.build()
    const first = hdr.build()
    const all = hdr.build()
    const victims = this._fleet.selectRandom(Math.min(this._spec.detectionKills, Math.floor(this._spec.size / 3)))
    for (const node of victims) {
      const times = this._measureOneDetection(node, isConnected)
      suspect.recordValue(times.suspectMs)
      first.recordValue(times.firstMs)
      all.recordValue(times.allMs)
      this._fleet.network.advance(DETECTION_GAP_MS)
    }
    return {
      killed: victims.length,
      firstSuspectP50Ms: suspect.getValueAtPercentile(50),
      firstSuspectMaxMs: suspect.maxValue,
      firstDeadP50Ms: first.getValueAtPercentile(50),
      firstDeadMaxMs: first.maxValue,
      allDeadP50Ms: all.getValueAtPercentile(50),
      allDeadMaxMs: all.maxValue
    }
  }

  private _measureOneDetection (node: nodes.SteppedNode, isConnected: boolean): DetectionTimes {
    const { network, running } = this._fleet
    const startMs = network.nowMs
    this._fleet.kill(node)
    for (const peer of isConnected ? this._fleet.selectRandom(CONNECTED_PEERS) : []) {
      peer.membership.handleConnectionLost(node.nodeId, startMs)
      network.flush(peer)
    }
    let suspectMs: number | undefined
    let firstMs: number | undefined
    network.advanceUntil(() => {
      const states = [...running.values()].map(peer => peer.membership.get(node.nodeId)?.state)
      const dead = states.filter(state => state === 'dead').length
      if (dead > 0 || states.includes('suspect')) suspectMs ??= network.nowMs - startMs
      if (dead > 0) firstMs ??= network.nowMs - startMs
      return dead === running.size
    }, DETECTION_TIMEOUT_MS)
    return { suspectMs: suspectMs ?? DETECTION_TIMEOUT_MS, firstMs: firstMs ?? DETECTION_TIMEOUT_MS, allMs: network.nowMs - startMs }
  }

  /** Stops and restarts all processes at the same time. */
  private _measureRestart (): types.RestartFigures {
    const { network, log, meter } = this._fleet
    for (const node of [...this._fleet.running.values()]) this._fleet.kill(node)
    network.advance(1_000)
    this._fleet.startAll()
    const version = this._fleet.version
    const readsBefore = log.readCount
    const recordsBefore = log.recordsRead
    const startMs = network.nowMs
    let peakReads = 0
    let peakBytes = 0
    let totalBytes = 0
    this._fleet.isMetering = true
    while (this._fleet.countBelow(version) > 0 && network.nowMs < startMs + RESTART_TIMEOUT_MS) {
      const reads = log.readCount
      meter.reset()
      network.advance(1_000)
      peakReads = Math.max(peakReads, log.readCount - reads)
      for (const id of this._fleet.running.keys()) {
        const bytes = meter.totalOf(id)
        totalBytes += bytes
        peakBytes = Math.max(peakBytes, bytes)
      }
    }
    this._fleet.isMetering = false
    const isDone = this._fleet.countBelow(version) === 0
    return {
      allEnforceMs: isDone ? this._fleet.lastEnforcedMs(startMs) : undefined,
      logReads: log.readCount - readsBefore,
      peakLogReadsPerS: peakReads,
      recordsRead: log.recordsRead - recordsBefore,
      peakNodeBytesPerS: peakBytes,
      meanNodeBytes: totalBytes / this._fleet.running.size
    }
  }
}

export function zoneCount (size: number): number {
  return size < MIN_LARGE_FLEET_SIZE ? 3 : 7
}

export function documentBytes (size: number): number {
  return JSON.stringify(benchDocuments.benchDocument(size, zoneCount(size), 1, 'convergence-time')).length
}
