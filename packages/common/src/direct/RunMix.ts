interface Runs {
  all: number
  retries: number
}

/** How many of the calls that run on a target are retries. */
export class RunMix {
  private readonly _idempotent: Runs = { all: 0, retries: 0 }
  private readonly _other: Runs = { all: 0, retries: 0 }

  public started (isIdempotent: boolean, isRetry: boolean): void {
    this._count(isIdempotent, isRetry, 1)
  }

  public ended (isIdempotent: boolean, isRetry: boolean): void {
    this._count(isIdempotent, isRetry, -1)
  }

  /**
   * Probability that a call which the target makes belongs to a run that is a retry. Nobody tells which run it belongs
   * to, and a target may make calls only for one of the two kinds, so the larger share counts.
   */
  public get retryShare (): number {
    return Math.max(shareOf(this._idempotent), shareOf(this._other))
  }

  private _count (isIdempotent: boolean, isRetry: boolean, change: number): void {
    const runs = isIdempotent ? this._idempotent : this._other
    runs.all += change
    if (isRetry) runs.retries += change
  }
}

function shareOf ({ all, retries }: Runs): number {
  return all === 0 ? 0 : retries / all
}
