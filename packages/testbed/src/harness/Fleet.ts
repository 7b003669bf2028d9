import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as undici from 'undici'
import type * as targetMain from '../standins/targetMain.js'
import type * as targetServer from '../standins/TargetServer.js'
import type * as institutions from './institutions.js'
import type * as ledger from './Ledger.js'
import * as managed from './ManagedProcess.js'
import * as peerRelay from './PeerRelay.js'
import * as ports from './ports.js'

const NODE_PROGRAM = url.fileURLToPath(new URL('../../../node/bin/elmpost-node.js', import.meta.url))
const POLL_INTERVAL_MS = 50
const DEFAULT_WORK_MS = 20
const LOG_RETENTION_MS = 3_600_000
const SEED_COUNT = 3

/** A target and the node beside it. */
export interface Worker {
  readonly nodeId: string
  readonly zone: string
  readonly service: institutions.ServiceSpec
  readonly callerAddress: string
  readonly peerAddress: string
  /** Address of the relay in front of `peerAddress`; equal to `peerAddress` without relays. */
  announcedPeerAddress: string
  readonly adminAddress: string
  readonly targetPort: number
  node: managed.ManagedProcess
  target: managed.ManagedProcess
}

/** The part of `/admin/status` that the harness reads. */
export interface NodeStatus {
  readonly version: number
  readonly readiness: { readonly ready: boolean, readonly reason: string }
}

export interface FleetOptions {
  readonly spec: institutions.InstitutionSpec
  readonly ledger: ledger.Ledger
  readonly workMs?: number
  readonly logLevel?: string
  /** Whether nodes connect to each other through relays, which allows a test to cut these connections. */
  readonly isRelayed?: boolean
}

/** A stopped node and how its process exited. */
export interface StoppedNode {
  readonly node: managed.ManagedProcess
  readonly exit: managed.ProcessExit
}

/** All processes of one institution: the log stand-in, the targets and the nodes. */
export class Fleet {
  public readonly workers: Worker[] = []
  public log: managed.ManagedProcess | undefined
  public logUrl = ''
  /** Every node and target that was started, including replaced ones. */
  private readonly _nodes: managed.ManagedProcess[] = []
  private readonly _targets: managed.ManagedProcess[] = []
  private readonly _relays: peerRelay.PeerRelay[] = []
  private readonly _separated = new Set<string>()
  private _directory = ''

  constructor (private readonly _options: FleetOptions) {}

  public get spec (): institutions.InstitutionSpec {
    return this._options.spec
  }

  /** Every node that was started, including replaced ones. */
  public get startedNodes (): readonly managed.ManagedProcess[] {
    return this._nodes
  }

  public async start (): Promise<void> {
    this._directory = await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-'))
    const count = this.spec.services.reduce((sum, service) => sum + service.workers, 0)
    const free = await ports.findFreePorts(1 + count * 4)
    await this._startLog(free.shift() ?? 0)
    for (const service of this.spec.services) {
      for (let i = 0; i < service.workers; i++) this.workers.push(this._planWorker(service, i, free.splice(0, 4)))
    }
    if (this._options.isRelayed === true) await this._startRelays()
    await this._startWorkers(this.workers)
  }

  /** Starts the workers of another service. They join the fleet and receive calls once their nodes are ready. */
  public async addWorkers (service: institutions.ServiceSpec, timeoutMs: number): Promise<void> {
    const free = await ports.findFreePorts(service.workers * 4)
    const added = Array.from({ length: service.workers }, (_, i) => this._planWorker(service, i, free.splice(0, 4)))
    await this._startWorkers(added)
    await this._waitForVersion(added, 1, timeoutMs)
    this.workers.push(...added)
  }

  public async startTarget (worker: Worker): Promise<void> {
    const options: targetMain.TargetProcessOptions = {
      name: worker.nodeId,
      port: worker.targetPort,
      connections: worker.service.connections,
      behaviour: {
        slots: worker.service.slots,
        workMs: this._options.workMs ?? DEFAULT_WORK_MS,
        coldFactor: 2,
        coldStartMs: 1000,
        health: 'ready',
        draining: false
      }
    }
    const target = await startListening(`target-${worker.nodeId}`, 'standins/targetMain.js', options, message => {
      this._options.ledger.recordRun(message as targetServer.RunEvent)
    })
    this._targets.push(target)
    worker.target = target
  }

  public async startNode (worker: Worker): Promise<void> {
    const file = path.join(this._directory, `${worker.nodeId}.json`)
    await fs.writeFile(file, JSON.stringify(this._settingsOf(worker)))
    worker.node = new managed.ManagedProcess({ name: worker.nodeId, modulePath: NODE_PROGRAM, args: ['--settings', file] })
    this._nodes.push(worker.node)
  }

  /** Cuts all connections between a node and its peers, and refuses new ones until `rejoin`. */
  public separate (nodeId: string): void {
    if (this._relays.length === 0) throw new Error('connections can be cut only in a fleet started with isRelayed')
    this._separated.add(this.worker(nodeId).nodeId)
    for (const relay of this._relays) relay.closeSeparated()
  }

  public rejoin (nodeId: string): void {
    this._separated.delete(nodeId)
  }

  public worker (nodeId: string): Worker {
    const found = this.workers.find(worker => worker.nodeId === nodeId)
    if (found === undefined) throw new Error(`no worker ${nodeId}; use one of ${this.workers.map(worker => worker.nodeId).join(', ')}`)
    return found
  }

  public workersOf (service: string): readonly Worker[] {
    return this.workers.filter(worker => worker.service.name === service)
  }

  public async fetchStatus (worker: Worker): Promise<NodeStatus | undefined> {
    try {
      const response = await undici.request(`http://${worker.adminAddress}/admin/status`, { headersTimeout: 2000 })
      return await response.body.json() as NodeStatus
    } catch {
      return undefined
    }
  }

  /** Waits until every running node enforces at least `version` and is ready. Returns the time it took. */
  public async waitForVersion (version: number, timeoutMs: number): Promise<number> {
    return await this._waitForVersion(this.workers, version, timeoutMs)
  }

  public async setLogFaults (faults: object): Promise<void> {
    const response = await undici.request(`${this.logUrl}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await response.body.dump()
  }

  /** Stops every process that was started, nodes first. `SIGTERM` lets them drain, which takes up to `drainMs`. */
  public async stop (signal: NodeJS.Signals = 'SIGTERM'): Promise<readonly StoppedNode[]> {
    const stopped = await Promise.all(this._nodes.map(async node => ({ node, exit: await node.stop(signal) })))
    for (const relay of this._relays) relay.close()
    const others = this.log === undefined ? this._targets : [...this._targets, this.log]
    await Promise.all(others.map(async child => await child.stop()))
    await fs.rm(this._directory, { recursive: true, force: true })
    return stopped
  }

  private async _startWorkers (workers: readonly Worker[]): Promise<void> {
    const starts = await Promise.allSettled(workers.map(async worker => {
      await this.startTarget(worker)
      await this.startNode(worker)
    }))
    // Throws only after all starts have settled, so that `stop` also ends the processes of the others.
    for (const start of starts) if (start.status === 'rejected') throw start.reason
  }

  private async _waitForVersion (workers: readonly Worker[], version: number, timeoutMs: number): Promise<number> {
    const startedAtMs = performance.now()
    for (;;) {
      const running = workers.filter(worker => worker.node.isRunning)
      const statuses = await Promise.all(running.map(async worker => await this.fetchStatus(worker)))
      const stale = running.filter((_worker, index) => !isEnforced(statuses[index], version))
      const elapsedMs = performance.now() - startedAtMs
      if (stale.length === 0) return elapsedMs
      if (elapsedMs > timeoutMs) throw new Error(describeStaleNodes(version, stale, statuses))
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    }
  }

  private async _startLog (port: number): Promise<void> {
    this.log = await startListening('log', 'standins/logMain.js', { port, retentionMs: LOG_RETENTION_MS })
    this.logUrl = `http://127.0.0.1:${port}`
  }

  /** Starts the relays one after the other, so that no two choose the same port. */
  private async _startRelays (): Promise<void> {
    const isSeparated: peerRelay.IsSeparated = (from, to) => from !== to && (this._separated.has(from) || this._separated.has(to))
    for (const worker of this.workers) {
      const targetPort = Number(worker.peerAddress.split(':')[1])
      const relay = new peerRelay.PeerRelay({ nodeId: worker.nodeId, targetPort, isSeparated })
      this._relays.push(relay)
      worker.announcedPeerAddress = `127.0.0.1:${await relay.listen()}`
    }
  }

  private _planWorker (service: institutions.ServiceSpec, index: number, free: number[]): Worker {
    const zone = this.spec.zones[index % this.spec.zones.length] ?? ''
    const [caller, peer, admin, target] = free
    return {
      nodeId: `${service.name}-${index + 1}`,
      zone,
      service,
      callerAddress: `127.0.0.1:${caller}`,
      peerAddress: `127.0.0.1:${peer}`,
      announcedPeerAddress: `127.0.0.1:${peer}`,
      adminAddress: `127.0.0.1:${admin}`,
      targetPort: target ?? 0,
      node: undefined as unknown as managed.ManagedProcess,
      target: undefined as unknown as managed.ManagedProcess
    }
  }

  private _settingsOf (worker: Worker): object {
    const seeds = this.workers.filter(other => other !== worker).slice(0, SEED_COUNT).map(other => other.announcedPeerAddress)
    return {
      nodeId: worker.nodeId,
      institution: this.spec.name,
      zone: worker.zone,
      service: worker.service.name,
      callerAddress: worker.callerAddress,
      peerAddress: worker.peerAddress,
      announcedPeerAddress: worker.announcedPeerAddress,
      adminAddress: worker.adminAddress,
      targetUrl: `http://127.0.0.1:${worker.targetPort}`,
      targetHealthPath: '/healthz',
      logUrl: this.logUrl,
      seeds,
      logLevel: this._options.logLevel ?? 'info'
    }
  }
}

async function startListening (name: string, modulePath: string, options: object, onMessage?: (message: unknown) => void): Promise<managed.ManagedProcess> {
  return await new Promise((resolve, reject) => {
    const child = new managed.ManagedProcess({
      name,
      modulePath,
      args: [JSON.stringify(options)],
      onMessage: message => {
        if ((message as { kind?: string }).kind === 'listening') resolve(child)
        else onMessage?.(message)
      }
    })
    child.exited.then(exit => { reject(new Error(`${name} exited before it listened, with ${JSON.stringify(exit)}: ${child.output.join('\n')}`)) }, reject)
  })
}

function isEnforced (status: NodeStatus | undefined, version: number): boolean {
  return status !== undefined && status.version >= version && status.readiness.ready
}

function describeStaleNodes (version: number, stale: readonly Worker[], statuses: readonly (NodeStatus | undefined)[]): string {
  const nodes = stale.map(worker => worker.nodeId).join(', ')
  const reasons = [...new Set(statuses.map(status => status?.readiness.reason ?? 'no answer'))].join(', ')
  const output = stale[0]?.node.output.slice(-5).join('\n') ?? ''
  return `version ${version} is not in force on ${nodes} (${reasons})\n${output}`
}
