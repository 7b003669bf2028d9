import * as http from 'node:http'
import * as httpTools from './httpTools.js'

const MAX_BODY_BYTES = 1024 * 1024
const STREAM_CHUNK_BYTES = 16 * 1024

/** Behaviour of a target that a test or the demo can change while it runs. */
export interface TargetBehaviour {
  /** Maximum number of concurrent calls; further ones are shed with 503. */
  slots: number
  /** Run time of a call. */
  workMs: number
  /** Factor applied to `workMs` during the cold start. */
  coldFactor: number
  coldStartMs: number
  /** State that the health endpoint reports, regardless of the actual state. */
  health: 'ready' | 'not-ready'
  draining: boolean
}

/** One run of a request, reported when it starts and when it ends. */
export interface RunEvent {
  readonly kind: 'run-started' | 'run-ended' | 'run-canceled'
  readonly target: string
  readonly key: string
  readonly path: string
  readonly atMs: number
}

export interface TargetServerOptions {
  readonly name: string
  readonly port: number
  readonly connections: number
  readonly behaviour: TargetBehaviour
  readonly onRun: (event: RunEvent) => void
  /** Kills the process without an answer; called for requests with the header `x-crash`. */
  readonly crash: () => void
}

/**
 * Stand-in for a target. A request controls its own run with headers: `x-work-ms`, `x-answer-bytes`,
 * `x-crash` (the target crashes during the run) and `x-cut-body` (the connection is closed in the middle of the body).
 */
export class TargetServer {
  public readonly behaviour: TargetBehaviour
  private readonly _server: http.Server
  private readonly _startedAtMs = Date.now()
  private _running = 0

  constructor (private readonly _options: TargetServerOptions) {
    this.behaviour = { ..._options.behaviour }
    this._server = http.createServer((request, response) => {
      httpTools.run(response, () => this._handle(request, response))
    })
    this._server.maxConnections = _options.connections
    this._server.keepAliveTimeout = 60_000
  }

  public async listen (): Promise<number> {
    return await httpTools.listen(this._server, this._options.port)
  }

  public async close (): Promise<void> {
    await httpTools.close(this._server)
  }

  private async _handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url === '/healthz') {
      httpTools.sendJson(response, this.behaviour.health === 'ready' ? 200 : 503, { health: this.behaviour.health })
      return
    }
    const body = await httpTools.readBody(request, MAX_BODY_BYTES)
    if (this.behaviour.draining || this._running >= this.behaviour.slots) {
      response.setHeader('retry-after', '1')
      httpTools.sendJson(response, 503, { error: 'shed' })
      return
    }
    await this._run(request, response, body ?? Buffer.alloc(0))
  }

  private async _run (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): Promise<void> {
    const key = headerOf(request, 'idempotency-key')
    const path = request.url ?? '/'
    this._running += 1
    this._report('run-started', key, path)
    try {
      if (request.headers['x-crash'] !== undefined) this._options.crash()
      await httpTools.sleep(this._workMs(request))
      if (response.destroyed) {
        this._report('run-canceled', key, path)
        return
      }
      this._answer(request, response, { target: this._options.name, key, path, echo: body.toString() })
      this._report('run-ended', key, path)
    } finally {
      this._running -= 1
    }
  }

  private _workMs (request: http.IncomingMessage): number {
    const requestedMs = Number(headerOf(request, 'x-work-ms') || this.behaviour.workMs)
    const isCold = Date.now() - this._startedAtMs < this.behaviour.coldStartMs
    return isCold ? requestedMs * this.behaviour.coldFactor : requestedMs
  }

  private _answer (request: http.IncomingMessage, response: http.ServerResponse, value: object): void {
    const bytes = Number(headerOf(request, 'x-answer-bytes') || 0)
    if (bytes === 0) {
      httpTools.sendJson(response, 200, value)
      return
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes, 'x-target': this._options.name })
    const limit = request.headers['x-cut-body'] === undefined ? bytes : Math.floor(bytes / 2)
    for (let sent = 0; sent < limit; sent += STREAM_CHUNK_BYTES) {
      response.write(Buffer.alloc(Math.min(STREAM_CHUNK_BYTES, limit - sent), 'x'))
    }
    if (limit === bytes) response.end()
    else setImmediate(() => { response.destroy() })
  }

  private _report (kind: RunEvent['kind'], key: string, path: string): void {
    this._options.onRun({ kind, target: this._options.name, key, path, atMs: Date.now() })
  }
}

function headerOf (request: http.IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}
