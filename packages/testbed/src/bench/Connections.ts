/** Keep-alive connections between pairs of processes. A call without an idle one waits for a new one. */
export class Connections {
  private readonly _idle = new Map<string, number>()
  private readonly _openMs: number

  constructor (openMs: number) {
    this._openMs = openMs
  }

  /** Takes a connection and returns the time that it costs. */
  public take (from: string, to: string): number {
    const pair = `${from}>${to}`
    const idle = this._idle.get(pair) ?? 0
    if (idle === 0) return this._openMs
    this._idle.set(pair, idle - 1)
    return 0
  }

  public release (from: string, to: string): void {
    const pair = `${from}>${to}`
    this._idle.set(pair, (this._idle.get(pair) ?? 0) + 1)
  }
}
