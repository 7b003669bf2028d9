/** Most bytes of the answers of one target that are not whole yet. A whole one is copied twice on its way, all in 178 MB of memory. */
export const MAX_UNFINISHED_BYTES = 24 * 1024 * 1024

/** An answer of which more may come. */
export interface IUnfinishedAnswer {
  /** The answer is given up. Nothing of it is kept any more. */
  tooLarge(): void
}

/**
 * Bounds the memory for answers that are not whole yet. A target in trouble may send without end. When the answers
 * exceed the bound together, the largest is given up, so that those of usual size are not lost with it.
 */
export class UnfinishedAnswers {
  private readonly _sizes = new Map<IUnfinishedAnswer, number>()
  private _sizeBytes = 0

  constructor (private readonly _maxBytes = MAX_UNFINISHED_BYTES) {}

  public grew (answer: IUnfinishedAnswer, bytes: number): void {
    this._sizes.set(answer, (this._sizes.get(answer) ?? 0) + bytes)
    this._sizeBytes += bytes
    while (this._sizeBytes > this._maxBytes) this._giveUpLargest()
  }

  /** Nothing more of the answer will come. */
  public ended (answer: IUnfinishedAnswer): void {
    this._sizeBytes -= this._sizes.get(answer) ?? 0
    this._sizes.delete(answer)
  }

  private _giveUpLargest (): void {
    let largest: IUnfinishedAnswer | undefined
    let largestBytes = -1
    for (const [answer, bytes] of this._sizes) {
      if (bytes <= largestBytes) continue
      largest = answer
      largestBytes = bytes
    }
    if (largest === undefined) return
    this.ended(largest)
    largest.tooLarge()
  }
}
