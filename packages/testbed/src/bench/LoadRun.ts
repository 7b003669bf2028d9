import * as hdr from 'hdr-histogram-js'
import * as undici from 'undici'

const US_PER_MS = 1000
const MAX_US = 10_000_000
const SEND_INTERVAL_MS = 1

export interface LoadRunOptions {
  readonly directUrl: string
  readonly relayUrl: string
  readonly entryUrl: string
  /** Calls per second on each of the paths. */
  readonly callsPerS: number
  readonly durationMs: number
  readonly path: string
}

export interface PathResult {
  readonly pool: undici.Pool
  readonly histogram: hdr.Histogram
  failures: number
}

/** Sends calls at a fixed rate, alternating between the target itself, the relays and the entry node. */
export class LoadRun {
  public readonly direct: PathResult
  public readonly relay: PathResult
  public readonly mesh: PathResult
  private readonly _options: LoadRunOptions
  private readonly _paths: readonly PathResult[]
  private _sent = 0
  private _ended = 0

  constructor (options: LoadRunOptions) {
    this._options = options
    this.direct = newPath(options.directUrl)
    this.relay = newPath(options.relayUrl)
    this.mesh = newPath(options.entryUrl)
    this._paths = [this.direct, this.relay, this.mesh]
  }

  public async run (): Promise<void> {
    const startedAtMs = performance.now()
    const callsPerMs = this._paths.length * this._options.callsPerS / 1000
    for (;;) {
      const elapsedMs = performance.now() - startedAtMs
      if (elapsedMs >= this._options.durationMs) break
      while (this._sent < elapsedMs * callsPerMs) this._send()
      await new Promise(resolve => { setTimeout(resolve, SEND_INTERVAL_MS) })
    }
    while (this._ended < this._sent) await new Promise(resolve => { setTimeout(resolve, SEND_INTERVAL_MS) })
    await Promise.all(this._paths.map(async path => { await path.pool.close() }))
  }

  private _send (): void {
    const path = this._paths[this._sent++ % this._paths.length]
    path?.pool.dispatch({ path: this._options.path, method: 'GET' }, new Call(path, () => { this._ended++ }))
  }
}

/** Measures one call from sending it until the whole answer has arrived. */
class Call implements undici.Dispatcher.DispatchHandler {
  private readonly _sentAtMs = performance.now()
  private _status = 0

  constructor (private readonly _result: PathResult, private readonly _end: () => void) {}

  public onRequestStart (): void {}

  public onResponseStart (_controller: undici.Dispatcher.DispatchController, status: number): void {
    this._status = status
  }

  public onResponseData (): void {}

  public onResponseEnd (): void {
    if (this._status === 200) this._result.histogram.recordValue(Math.round((performance.now() - this._sentAtMs) * US_PER_MS))
    else this._result.failures++
    this._end()
  }

  public onResponseError (): void {
    this._result.failures++
    this._end()
  }
}

function newPath (origin: string): PathResult {
  return { pool: new undici.Pool(origin, { connections: 32, pipelining: 1 }), histogram: newHistogram(), failures: 0 }
}

function newHistogram (): hdr.Histogram {
  return hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_US, numberOfSignificantValueDigits: 3 })
}
