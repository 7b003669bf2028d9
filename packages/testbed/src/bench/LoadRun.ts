import * as hdr from 'hdr-histogram-js'
import * as undici from 'undici'

const US_PER_MS = 1000
const MAX_US = 10_000_000
const TICK_MS = 1

export interface LoadRunOptions {
  readonly directUrl: string
  readonly entryUrl: string
  /** Calls per second on each of the two paths. */
  readonly callsPerS: number
  readonly durationMs: number
  readonly path: string
}

export interface PathResult {
  readonly histogram: hdr.Histogram
  failures: number
}

/** One caller that sends calls at a fixed rate, in turn to the target itself and to the entry node. */
export class LoadRun {
  public readonly direct: PathResult = { histogram: newHistogram(), failures: 0 }
  public readonly mesh: PathResult = { histogram: newHistogram(), failures: 0 }
  private readonly _options: LoadRunOptions
  private readonly _directPool: undici.Pool
  private readonly _meshPool: undici.Pool
  private _sent = 0
  private _ended = 0

  constructor (options: LoadRunOptions) {
    this._options = options
    this._directPool = newPool(options.directUrl)
    this._meshPool = newPool(options.entryUrl)
  }

  public async run (): Promise<void> {
    const startedAtMs = performance.now()
    const callsPerMs = 2 * this._options.callsPerS / 1000
    for (;;) {
      const elapsedMs = performance.now() - startedAtMs
      if (elapsedMs >= this._options.durationMs) break
      while (this._sent < elapsedMs * callsPerMs) this._send()
      await new Promise(resolve => { setTimeout(resolve, TICK_MS) })
    }
    while (this._ended < this._sent) await new Promise(resolve => { setTimeout(resolve, TICK_MS) })
    await Promise.all([this._directPool.close(), this._meshPool.close()])
  }

  private _send (): void {
    const isDirect = this._sent++ % 2 === 0
    const pool = isDirect ? this._directPool : this._meshPool
    pool.dispatch({ path: this._options.path, method: 'GET' }, new Call(isDirect ? this.direct : this.mesh, () => { this._ended++ }))
  }
}

/** Measures one call from its send until the whole answer is there. */
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

function newPool (origin: string): undici.Pool {
  return new undici.Pool(origin, { connections: 32, pipelining: 1 })
}

function newHistogram (): hdr.Histogram {
  return hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_US, numberOfSignificantValueDigits: 3 })
}
