/** Models keep-alive connections between pairs of processes. A call that finds no idle connection opens a new one. */
export class Connections {
  private readonly _idle = new Map<string, number>()
  private readonly _connectMs: number

  constructor (connectMs: number) {
    this._connectMs = connectMs
  }

  /** Takes a connection and returns the time to open it in milliseconds; 0 if an idle one is reused. */
  public take (from: string, to: string): number {
    const pair = `${from}>${to}`
    const idle = this._idle.get(pair) ?? 0
    if (idle === 0) return this._connectMs
    this._idle.set(pair, idle - 1)
    return 0
  }

  public release (from: string, to: string): void {
    const pair = `${from}>${to}`
    this._idle.set(pair, (this._idle.get(pair) ?? 0) + 1)
  }
}
