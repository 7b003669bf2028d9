/** Fakes for tests of the command line: a log, nodes, files, a clock and an output in memory. */
import * as cliError from './CliError.js'
import * as consoleOutput from './ConsoleOutput.js'
import * as logger from './Logger.js'
import * as random from '@elmpost/common/base/Random.js'
import * as results from 'ts-results-es'
import type * as adminStatus from '@elmpost/common/node/AdminStatus.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Effect on one append. A delayed record arrives when `appendDelayed` is called. */
export type AppendFault = 'none' | 'lost-answer' | 'lost-request' | 'delayed' | 'refused' | 'down'

/** A log service in memory. */
export class FakeLog implements services.ILogClient {
  public readonly streams: Record<types.StreamName, unknown[]> = { config: [], audit: [] }
  public firstOffset = 0
  public isReadFailing = false
  /** Faults of the next appends to the config stream, in order; none after the last one. */
  public faults: AppendFault[] = []
  private readonly _delayed: unknown[] = []

  /** Called before each append to the config stream. */
  constructor (public onAppend: (log: FakeLog) => void = () => {}) {}

  public async append (stream: types.StreamName, data: unknown): Promise<types.AppendResult> {
    if (stream === 'config') this.onAppend(this)
    const fault = stream === 'config' ? this.faults.shift() ?? 'none' : 'none'
    if (fault === 'none' || fault === 'lost-answer') this.streams[stream].push(structuredClone(data))
    if (fault === 'delayed') this._delayed.push(structuredClone(data))
    switch (fault) {
      case 'none': return { kind: 'appended', offset: this.streams[stream].length - 1 }
      case 'refused': return { kind: 'refused', problem: 'The record is over the size limit of the log.' }
      case 'down': return { kind: 'not-sent', problem: 'The log gave no answer (ECONNREFUSED).' }
      default: return { kind: 'unknown', problem: 'The log gave no answer (timeout).' }
    }
  }

  public async read (stream: types.StreamName, fromOffset: number): Promise<results.Result<types.LogPage, cliError.CliError>> {
    if (this.isReadFailing) return results.Err(new cliError.CliError('unreachable', 'The log gave no answer (ECONNREFUSED). Check --log-url and try again.'))
    const from = Math.max(fromOffset, this.firstOffset)
    const records: config.LogRecord[] = this.streams[stream].map((data, offset) => ({ offset, data })).slice(from, from + 2)
    return results.Ok({ records, firstOffset: this.firstOffset })
  }

  public appendDelayed (): void {
    this.streams.config.push(...this._delayed.splice(0))
  }
}

/** Nodes that share one complete member table. */
export class FakeNodes implements services.IAdminClient {
  public readonly posts: string[] = []
  public restrictedRequests: readonly adminStatus.RestrictedRequest[] = []

  constructor (private readonly _members: readonly membership.MemberRow[]) {}

  public async fetchStatus (address: string): Promise<results.Result<adminStatus.AdminStatus, cliError.CliError>> {
    const self = this._members.find(row => row.adminAddress === address)
    if (self === undefined) return results.Err(new cliError.CliError('unreachable', `The node at ${address} gave no answer (ECONNREFUSED).`))
    return results.Ok({
      self,
      readiness: { ready: true, reason: 'ready', floorVersion: self.enforcedVersion, enforcedVersion: self.enforcedVersion },
      version: self.enforcedVersion,
      digest: '',
      verdicts: [],
      members: this._members,
      ...(this.restrictedRequests.length === 0 ? {} : { restrictedRequests: this.restrictedRequests }),
      atMs: 0
    })
  }

  public async postAction (address: string, action: 'drain' | 'undrain'): Promise<results.Result<void, cliError.CliError>> {
    this.posts.push(`${address} ${action}`)
    return results.Ok(undefined)
  }

  public async unblock (address: string, fingerprint: string): Promise<results.Result<boolean, cliError.CliError>> {
    if (!this._members.some(row => row.adminAddress === address)) return results.Err(new cliError.CliError('unreachable', `The node at ${address} gave no answer (ECONNREFUSED).`))
    this.posts.push(`${address} unblock ${fingerprint}`)
    return results.Ok(this.restrictedRequests.some(request => request.fingerprint === fingerprint))
  }
}

export function fakeRow (nodeId: string, zone: string, enforcedVersion: number, port: number, state: membership.MemberState = 'ready'): membership.MemberRow {
  return {
    nodeId,
    incarnation: 1,
    state,
    peerAddress: `127.0.0.1:${port + 1000}`,
    callerAddress: `127.0.0.1:${port + 2000}`,
    zone,
    service: 'till',
    targetReady: true,
    targetReadySinceMs: 0,
    enforcedVersion,
    adminAddress: `127.0.0.1:${port}`,
    revision: 0,
    successor: ''
  }
}

/** An environment in memory. Time advances only in `sleep`. */
export class TestEnvironment implements services.ICliEnvironment {
  public readonly userName = 'nino'
  public readonly version = '0.1.0'
  public readonly variables = {}
  public readonly random = new random.Random(1)
  public stdout = ''
  public stderr = ''
  /** Both outputs in the order in which they were written. */
  public transcript = ''
  private _nowMs = Date.UTC(2026, 0, 5, 9, 0, 0)
  private _ids = 0

  public readonly clock: services.ICliClock = {
    nowMs: () => this._nowMs,
    sleep: async durationMs => { this._nowMs += durationMs }
  }

  public readonly files: services.IFiles = {
    readText: async path => {
      const text = this.texts[path]
      if (text === undefined) throw new Error('ENOENT: no such file or directory')
      return text
    }
  }

  constructor (
    public readonly log: services.ILogClient,
    public readonly texts: Record<string, string> = {},
    private readonly _nodes: services.IAdminClient = new FakeNodes([])
  ) {}

  public newId (): string {
    this._ids++
    return `00000000-0000-4000-8000-${String(this._ids).padStart(12, '0')}`
  }

  public createOutput (format: types.OutputFormat, commandLogger: services.ILogger): services.IOutput {
    const toStdout = (text: string): void => {
      this.stdout += text
      this.transcript += text
    }
    return new consoleOutput.ConsoleOutput(format, toStdout, text => { this._toStderr(text) }, commandLogger)
  }

  public async loadVerboseLogger (): Promise<services.ILogger> {
    return new logger.Logger(line => { this._toStderr(`${line}\n`) })
  }

  public createLogClient (): services.ILogClient {
    return this.log
  }

  public createAdminClient (): services.IAdminClient {
    return this._nodes
  }

  private _toStderr (text: string): void {
    this.stderr += text
    this.transcript += text
  }
}
