/** Added to the length of each piece: an answer in tiny pieces takes processor time rather than memory. */
const PIECE_BYTES = 64
/** Most bytes of incomplete answers of one target. A complete answer is copied twice, and the process has 178 MB of memory for everything. */
export const MAX_UNFINISHED_BYTES = 24 * 1024 * 1024

/** An answer that is still being received. */
export interface IUnfinishedAnswer {
  /** Abandons the answer because of its size, and releases what was received of it. */
  abandon(): void
}

/**
 * Bounds the memory for answers that are still being received, because a faulty target may send without end. When the
 * answers together exceed the bound, the largest one is abandoned, so that answers of usual size are not lost.
 */
export class UnfinishedAnswers {
  private readonly _sizes = new Map<IUnfinishedAnswer, number>()
  private _sizeBytes = 0

  constructor (private readonly _maxBytes = MAX_UNFINISHED_BYTES) {}

  /** Adds a received piece to an answer. */
  public addPiece (answer: IUnfinishedAnswer, lengthBytes: number): void {
    const bytes = lengthBytes + PIECE_BYTES
    this._sizes.set(answer, (this._sizes.get(answer) ?? 0) + bytes)
    this._sizeBytes += bytes
    while (this._sizeBytes > this._maxBytes) this._abandonLargest()
  }

  /** Removes an answer that is complete or has failed. */
  public remove (answer: IUnfinishedAnswer): void {
    this._sizeBytes -= this._sizes.get(answer) ?? 0
    this._sizes.delete(answer)
  }

  private _abandonLargest (): void {
    let largest: IUnfinishedAnswer | undefined
    let largestBytes = -1
    for (const [answer, bytes] of this._sizes) {
      if (bytes <= largestBytes) continue
      largest = answer
      largestBytes = bytes
    }
    if (largest === undefined) return
    this.remove(largest)
    largest.abandon()
  }
}
