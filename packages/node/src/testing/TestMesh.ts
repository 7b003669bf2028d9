/** Real node processes on loopback ports, with targets whose behaviour the tests define. */
import * as fakeServices from './FakeServices.js'
import * as http from 'node:http'
import * as nodeCore from '@elmpost/common/node/NodeCore.js'
import * as nodeProcess from '../NodeProcess.js'
import * as random from '@elmpost/common/base/Random.js'
import type * as net from 'node:net'
import type * as services from '../Services.js'
import type * as types from '../Types.js'

const ADDRESS = '127.0.0.1:0'
const POLL_INTERVAL_MS = 2

/** Logger that keeps its lines for assertions. */
export class TestLogger implements services.ILogger {
  public readonly lines: { level: types.LogLevel, event: string, context: types.LogContext }[] = []

  public isEnabled (): boolean {
    return true
  }

  public log (level: types.LogLevel, event: string, context: types.LogContext = {}): void {
    this.lines.push({ level, event, context })
  }
}

/** A target that answers with the handler of the test. */
export class TestTarget {
  public readonly paths: string[] = []
  public readonly headers: http.IncomingHttpHeaders[] = []
  private readonly _server: http.Server

  constructor (handler: http.RequestListener) {
    this._server = http.createServer((request, response) => {
      if (request.url === '/healthz') {
        response.end()
        return
      }
      this.paths.push(request.url ?? '')
      this.headers.push(request.headers)
      handler(request, response)
    })
  }

  public async listen (): Promise<string> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this._server.address() as net.AddressInfo).port}`
  }

  /** Simulates a crash: refuses new connections and closes the open ones. */
  public crash (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}

export interface TestNode {
  readonly process: nodeProcess.NodeProcess
  readonly services: fakeServices.FakeServices
  readonly logger: TestLogger
  readonly callerUrl: string
  readonly adminUrl: string
  readonly peerAddress: string
}

/** A set of nodes whose membership and ownership the test sets with `shareMembership`. */
export class TestMesh {
  public readonly nodes: TestNode[] = []
  private readonly _targets: TestTarget[] = []

  constructor (private readonly _options: Pick<nodeProcess.NodeProcessOptions, 'tickMs'> = {}) {}

  /** Starts a node without a configuration. */
  public addUnconfiguredNode (nodeId: string): Promise<TestNode> {
    return this._start(nodeId)
  }

  /** Starts a configured node. It has a target if a handler is given; otherwise it is only an entry node. */
  public async addNode (nodeId: string, handler?: http.RequestListener): Promise<TestNode> {
    const target = handler === undefined ? undefined : new TestTarget(handler)
    if (target !== undefined) this._targets.push(target)
    const node = await this._start(nodeId, await target?.listen())
    const { services } = node
    services.enforcement.enforce({ version: 1, digest: 'd', rulesVersion: 1, document: fakeServices.DOCUMENT }, Date.now())
    if (target !== undefined) await waitUntil(() => services.membership.self.targetReady)
    return node
  }

  public target (index = 0): TestTarget {
    const target = this._targets[index]
    if (target === undefined) throw new Error(`The mesh has no target with index ${index}.`)
    return target
  }

  /** Adds every node to the membership of all others. The first node with a target becomes the owner of every key. */
  public shareMembership (): void {
    const nowMs = Date.now()
    const rows = this.nodes.map(node => node.services.membership.self)
    const owner = rows.find(row => row.service !== '') ?? rows[0]
    for (const node of this.nodes) {
      for (const row of rows) {
        if (row.nodeId !== node.process.nodeId) node.services.membership.put(row)
      }
      if (owner !== undefined) node.services.setOwner({ nodeId: owner.nodeId, incarnation: owner.incarnation }, nowMs)
    }
  }

  public stop (): void {
    for (const node of this.nodes) node.process.dispose()
    for (const target of this._targets) target.crash()
  }

  private async _start (nodeId: string, targetUrl?: string): Promise<TestNode> {
    const settings = settingsOf(nodeId, targetUrl)
    const services = new fakeServices.FakeServices(settings, Date.now())
    const logger = new TestLogger()
    const process = new nodeProcess.NodeProcess({
      settings,
      core: new nodeCore.NodeCore({ services, earliestReadyMs: 0 }),
      effects: services.effects,
      logger,
      random: new random.Random(3),
      nowMs: Date.now,
      addons: [],
      ...this._options
    })
    const ports = await process.start()
    const peerAddress = `127.0.0.1:${ports.peer}`
    services.membership.announce({ peerAddress })
    const node = { process, services, logger, peerAddress, callerUrl: `http://127.0.0.1:${ports.caller}`, adminUrl: `http://127.0.0.1:${ports.admin}` }
    this.nodes.push(node)
    return node
  }
}

/** Waits until a condition holds. The time limit of the test runner ends a wait that does not succeed. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
}

export function settingsOf (nodeId: string, targetUrl = ''): types.NodeSettings {
  return {
    nodeId,
    institution: 'kartuli',
    zone: 'vake',
    service: targetUrl === '' ? '' : fakeServices.SERVICE,
    callerAddress: ADDRESS,
    peerAddress: ADDRESS,
    announcedPeerAddress: ADDRESS,
    adminAddress: ADDRESS,
    targetUrl,
    targetHealthPath: '/healthz',
    logUrl: 'http://127.0.0.1:9',
    seeds: [],
    logLevel: 'info'
  }
}
