/** Bounds of the blocks into which pieces are copied. A block is at most as large as all before it together. */
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 64 * 1024
/** A body that is announced to be at least this long is collected in one block, because joining blocks takes its memory twice. */
const MIN_WHOLE_BYTES = 1024 * 1024

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

  /** `expectedBytes`: length of the whole body if it is known, otherwise 0. */
  constructor (private readonly _expectedBytes = 0) {}

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
    const [only] = this._blocks
    const isFull = last === 0 && this._filledBytes === only?.length
    const whole = this._first ?? (last < 0 ? undefined : isFull ? only : Buffer.concat(this._blocks.map((block, at) => at === last ? block.subarray(0, this._filledBytes) : block)))
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
        block = Buffer.allocUnsafeSlow(this._nextBlockBytes(piece.length - at))
        this._blocks.push(block)
        this._filledBytes = 0
      }
      const copied = piece.copy(block, this._filledBytes, at, Math.min(piece.length, at + block.length - this._filledBytes))
      this._filledBytes += copied
      at += copied
    }
  }

  private _nextBlockBytes (leftBytes: number): number {
    if (this._blocks.length === 0 && this._expectedBytes >= MIN_WHOLE_BYTES) return this._expectedBytes
    return Math.min(Math.max(this._lengthBytes, leftBytes, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES)
  }
}
