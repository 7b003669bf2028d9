import * as blockBody from './BlockBody.js'
import * as blockPool from './BlockPool.js'
import type * as bufferCollector from './BufferCollector.js'

/** A shorter body is one buffer. */
const MIN_BLOCK_BODY_BYTES = 1024 * 1024
const MIN_BLOCK_BYTES = 1024

/** What the bodies of a process share. */
export interface BodyStorage {
  readonly pool: blockPool.BlockPool
  readonly collector: bufferCollector.BufferCollector
}

/**
 * Collects the body of a request, which may be long. Takes memory for the bytes that have been received, not for those that
 * were announced, and not for each piece.
 */
export class BodyBlocks {
  private readonly _blocks: Buffer[] = []
  private _first: Buffer | undefined
  /** Bytes of the last block that are filled. */
  private _filledBytes = 0
  private _lengthBytes = 0

  constructor (private readonly _storage: BodyStorage) {}

  public get lengthBytes (): number {
    return this._lengthBytes
  }

  public add (piece: Buffer): void {
    if (this._lengthBytes === 0) {
      // The first piece is usually the only one, and is not copied then.
      this._first = piece
    } else {
      if (this._first !== undefined) this._copy(this._first)
      this._first = undefined
      this._copy(piece)
    }
    this._lengthBytes += piece.length
  }

  /** Removes and returns the whole body; undefined if it is empty. */
  public take (): blockBody.Body | undefined {
    const filled = this._blocks.map((block, at) => at === this._blocks.length - 1 ? block.subarray(0, this._filledBytes) : block)
    if (this._lengthBytes >= MIN_BLOCK_BODY_BYTES && filled.length > 0) {
      this._reset()
      return new blockBody.BlockBody(filled)
    }
    const whole = this._first ?? (filled.length === 0 ? undefined : Buffer.concat(filled))
    this.clear()
    return whole
  }

  /** Releases what was received. */
  public clear (): void {
    const { pool, collector } = this._storage
    collector.recordReleased(pool.giveBack(this._blocks.filter(({ length }) => length === blockPool.BLOCK_BYTES)))
    this._reset()
  }

  private _reset (): void {
    this._blocks.length = 0
    this._first = undefined
    this._filledBytes = 0
    this._lengthBytes = 0
  }

  private _copy (piece: Buffer): void {
    for (let at = 0; at < piece.length;) {
      let block = this._blocks.at(-1)
      if (block === undefined || this._filledBytes === block.length) {
        block = this._newBlock(piece.length - at)
        this._blocks.push(block)
        this._filledBytes = 0
      }
      const copied = piece.copy(block, this._filledBytes, at, Math.min(piece.length, at + block.length - this._filledBytes))
      this._filledBytes += copied
      at += copied
    }
  }

  /** At most as large as all blocks before it together, so that a short body takes little. */
  private _newBlock (leftBytes: number): Buffer {
    const bytes = Math.max(Math.min(this._lengthBytes, blockPool.BLOCK_BYTES), leftBytes, MIN_BLOCK_BYTES)
    return bytes >= blockPool.BLOCK_BYTES ? this._storage.pool.take() : Buffer.allocUnsafeSlow(bytes)
  }
}
