/** Bounds of the blocks into which pieces are copied. A block is at most as large as all before it together. */
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 64 * 1024

/**
 * Collects a body that arrives in pieces. Small pieces are copied together, because each is an object that keeps the whole
 * buffer into which it was read.
 */
export class PieceBuffer {
  private readonly _blocks: Buffer[] = []
  private _first: Buffer | undefined
  /** Bytes of the last block that are filled. */
  private _filledBytes = 0
  private _lengthBytes = 0

  public get lengthBytes (): number {
    return this._lengthBytes
  }

  public add (piece: Buffer): void {
    if (this._lengthBytes === 0) {
      this._first = piece
    } else {
      // The first piece is usually the only one, and is not copied then.
      if (this._first !== undefined) this._copy(this._first)
      this._first = undefined
      this._copy(piece)
    }
    this._lengthBytes += piece.length
  }

  /** Removes and returns the whole body; undefined if it is empty. */
  public take (): Buffer | undefined {
    const last = this._blocks.length - 1
    const whole = this._first ?? (last < 0 ? undefined : Buffer.concat(this._blocks.map((block, at) => at === last ? block.subarray(0, this._filledBytes) : block)))
    this.clear()
    return whole
  }

  public clear (): void {
    this._blocks.length = 0
    this._first = undefined
    this._filledBytes = 0
    this._lengthBytes = 0
  }

  private _copy (piece: Buffer): void {
    for (let at = 0; at < piece.length;) {
      let block = this._blocks.at(-1)
      if (block === undefined || this._filledBytes === block.length) {
        const leastBytes = Math.max(this._lengthBytes, piece.length - at, MIN_BLOCK_BYTES)
        block = Buffer.allocUnsafeSlow(Math.min(leastBytes, MAX_BLOCK_BYTES))
        this._blocks.push(block)
        this._filledBytes = 0
      }
      const copied = piece.copy(block, this._filledBytes, at, Math.min(piece.length, at + block.length - this._filledBytes))
      this._filledBytes += copied
      at += copied
    }
  }
}
