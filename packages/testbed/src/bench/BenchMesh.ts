import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as digest from '@elmpost/common/base/Digest.js'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as undici from 'undici'
import * as url from 'node:url'
import * as uuid from 'uuid'
import type * as config from '@elmpost/common/config/Types.js'
import * as managed from '../harness/ManagedProcess.js'
import * as ports from '../harness/ports.js'
import * as proposalMaker from '@elmpost/common/config/ProposalMaker.js'
import * as testDocuments from '@elmpost/common/config/TestDocuments.js'

const NODE_PROGRAM = url.fileURLToPath(new URL('../../../node/bin/elmpost-node.js', import.meta.url))
const POLL_INTERVAL_MS = 50
const READY_TIMEOUT_MS = 30_000
const RETENTION_MS = 3_600_000

/** Configuration of the benchmark. Its limits are too high to affect the measured calls. */
const DOCUMENT: config.ConfigDocument = {
  institution: 'kartuli',
  services: [{ name: 'till', slots: 100, connections: 200, coldStartMs: 0 }],
  targets: [{ service: 'till', zones: ['vake', 'saburtalo'] }],
  routes: [
    { name: 'price', match: { method: 'GET', pathPrefix: '/till/price' }, service: 'till', idempotent: true, timeoutMs: 2000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 500, maxBodyBytes: 65_536 } },
    { name: 'charge', match: { method: 'POST', pathPrefix: '/till/charge' }, service: 'till', idempotent: false, timeoutMs: 2000, retry: { maxAttempts: 1 }, limits: { maxQueueMs: 500, maxBodyBytes: 65_536 } }
  ],
  terms: { ...testDocuments.TEST_TERMS, zonePreference: 'any' }
}

export interface BenchMeshOptions {
  /** Arguments of Node.js for the node processes, for example to profile them. */
  readonly execArgv: readonly string[]
  readonly verbose: boolean
}

/** Processes of the latency benchmark: an entry node without a target, a host node with its target, relays and the log service. */
export class BenchMesh {
  public readonly nodes: managed.ManagedProcess[] = []
  public directUrl = ''
  public entryUrl = ''
  /** Path to the target through two processes that only forward bytes. */
  public relayUrl = ''
  private readonly _others: managed.ManagedProcess[] = []
  private readonly _adminUrls: string[] = []
  private _logUrl = ''
  private _directory = ''

  constructor (private readonly _options: BenchMeshOptions) {}

  public async start (): Promise<void> {
    this._directory = await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-bench-'))
    const freePorts = await ports.findFreePorts(7)
    const targetPort = await this._startHelper('target', 'bench/benchTarget.js', {})
    this.directUrl = `http://127.0.0.1:${targetPort}`
    const innerPort = await this._startHelper('relay', 'bench/benchRelay.js', { port: targetPort })
    this.relayUrl = `http://127.0.0.1:${await this._startHelper('relay', 'bench/benchRelay.js', { port: innerPort })}`
    this._logUrl = `http://127.0.0.1:${await this._startHelper('log', 'standins/logMain.js', { port: freePorts[6], retentionMs: RETENTION_MS })}`
    const host = addressesOf(freePorts.slice(0, 3))
    const entry = addressesOf(freePorts.slice(3, 6))
    await this._startNode('host', 'vake', host, entry.peerAddress, { service: 'till', targetUrl: this.directUrl })
    await this._startNode('entry', 'saburtalo', entry, host.peerAddress, { service: '', targetUrl: '' })
    this.entryUrl = `http://${entry.callerAddress}`
    await this._propose()
    await this._waitUntilReady()
  }

  /** The relay that callers connect to. */
  public get relay (): managed.ManagedProcess | undefined {
    return this._others.filter(other => other.name === 'relay')[1]
  }

  public async stop (): Promise<void> {
    for (const process of [...this.nodes, ...this._others]) await process.stop()
    await fs.rm(this._directory, { recursive: true, force: true })
  }

  private async _startHelper (name: string, modulePath: string, options: object): Promise<number> {
    return await new Promise((resolve, reject) => {
      const child = new managed.ManagedProcess({
        name,
        modulePath,
        args: [JSON.stringify(options)],
        onMessage: message => { resolve((message as { port: number }).port) }
      })
      this._others.push(child)
      child.exited.then(exit => { reject(new Error(`${name} exited before it was ready, with ${JSON.stringify(exit)}: ${child.output.join('\n')}`)) }, reject)
    })
  }

  private async _startNode (nodeId: string, zone: string, addresses: Addresses, seed: string, target: object): Promise<void> {
    const file = path.join(this._directory, `${nodeId}.json`)
    const settings = { nodeId, institution: 'kartuli', zone, ...addresses, ...target, logUrl: this._logUrl, seeds: [seed], logLevel: 'warn' }
    await fs.writeFile(file, JSON.stringify(settings))
    this.nodes.push(new managed.ManagedProcess({ name: nodeId, modulePath: NODE_PROGRAM, args: ['--settings', file], execArgv: this._options.execArgv }))
    this._adminUrls.push(`http://${addresses.adminAddress}`)
  }

  private async _propose (): Promise<void> {
    const origin = { proposalId: uuid.v4(), author: 'benchmark', proposedAtMs: Date.now() }
    const proposed = { document: DOCUMENT, digest: digest.digestJson(DOCUMENT) }
    const record = proposalMaker.makeProposal(new configValidator.ConfigValidator(), origin, undefined, proposed)
    const answer = await undici.request(`${this._logUrl}/streams/config/records`, { method: 'POST', body: JSON.stringify(record) })
    await answer.body.dump()
    if (answer.statusCode !== 201) throw new Error(`The log refused the configuration with ${answer.statusCode}.`)
  }

  private async _waitUntilReady (): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS
    while (!await this._isServing()) {
      if (performance.now() > deadlineMs) throw new Error(`The nodes did not become ready:\n${await this._describe()}`)
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }

  private async _isServing (): Promise<boolean> {
    try {
      const answer = await undici.request(`${this.entryUrl}/till/price/visa`)
      await answer.body.dump()
      return answer.statusCode === 200
    } catch {
      return false
    }
  }

  private async _describe (): Promise<string> {
    const lines: string[] = []
    for (const [index, adminUrl] of this._adminUrls.entries()) {
      const status = await undici.request(`${adminUrl}/admin/status`).then(async answer => await answer.body.text(), String)
      lines.push(`${status}\n${this.nodes[index]?.output.slice(-10).join('\n') ?? ''}`)
    }
    return lines.join('\n')
  }
}

interface Addresses {
  readonly callerAddress: string
  readonly peerAddress: string
  readonly adminAddress: string
}

function addressesOf (freePorts: readonly number[]): Addresses {
  const [caller, peer, admin] = freePorts.map(port => `127.0.0.1:${port}`)
  return { callerAddress: caller ?? '', peerAddress: peer ?? '', adminAddress: admin ?? '' }
}
