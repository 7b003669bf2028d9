import * as timers from 'node:timers/promises'
import * as undici from 'undici'

const MS_PER_SECOND = 1000
const TIMEOUT_MS = 10_000

/** What a slow caller received. */
export interface FetchResult {
  readonly status: number
  readonly bytes: number
  /** Error that cut the answer off; empty if the answer was complete. */
  readonly failure: string
}

/** A caller that reads a large answer slowly. */
export class SlowFetch {
  /** Resolves to the name of the target when the head of the answer has arrived. */
  public readonly target: Promise<string>
  public readonly result: Promise<FetchResult>
  private readonly _agent = new undici.Agent({ connections: 1 })

  constructor (url: string, answerBytes: number, private readonly _bytesPerSecond: number) {
    const response = undici.request(url, {
      dispatcher: this._agent,
      headers: { 'x-answer-bytes': String(answerBytes) },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS
    })
    this.target = response.then(({ headers }) => String(headers['x-target'] ?? ''))
    this.result = response.then(async head => await this._read(head)).finally(async () => { await this._agent.destroy() })
    // Avoids unhandled rejections; a failure still reaches the code that awaits these promises.
    this.target.catch(() => {})
    this.result.catch(() => {})
  }

  private async _read (response: undici.Dispatcher.ResponseData): Promise<FetchResult> {
    const startedAtMs = performance.now()
    let bytes = 0
    let failure = ''
    try {
      for await (const part of response.body) {
        bytes += (part as Buffer).length
        const dueMs = startedAtMs + bytes / this._bytesPerSecond * MS_PER_SECOND - performance.now()
        if (dueMs > 0) await timers.setTimeout(dueMs)
      }
    } catch (error) {
      failure = String(error)
    }
    return { status: response.statusCode, bytes, failure }
  }
}
