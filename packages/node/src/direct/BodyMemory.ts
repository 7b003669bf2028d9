import * as blockBody from '../BlockBody.js'
import * as blockPool from '../BlockPool.js'
import * as bodyBlocks from '../BodyBlocks.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as bufferCollector from '../BufferCollector.js'

/** A body of which nothing has come for this time is refused first. */
const STALLED_MS = 1_000

/** Request of a caller whose body is held in memory. */
export interface IBodyHolder {
  /** Refuses the request, whose body is not whole yet, and releases what was received of it. */
  refuseBody(): void
}

interface HeldBody {
  /** Undefined for the body of a call that another node has offered to this one. */
  readonly holder: IBodyHolder | undefined
  lengthBytes: number
  isWhole: boolean
  pieceAtMs: base.Millis
}

export interface BodyMemoryOptions {
  /** Most bytes that all bodies but the largest one may hold together. */
  readonly maxSharedBytes: number
  readonly collector: bufferCollector.BufferCollector
  readonly nowMs: () => base.Millis
}

/**
 * Bounds the memory for bodies of requests: those of callers, from their first byte until the answer, and those of calls that
 * other nodes have offered, from the request for them until the end of the call. One body may be as long as the
 * configuration allows. All others share a bound: when callers exceed it, one that is still being received is refused. That
 * is the largest of those whose callers have stopped sending, if there are any, and otherwise the largest, so that callers
 * that stop short cost no others, and a few long bodies cost no request with a short one.
 */
export class BodyMemory {
  private readonly _options: BodyMemoryOptions
  private readonly _storage: bodyBlocks.BodyStorage
  private readonly _held = new Map<object, HeldBody>()
  private _heldBytes = 0
  private _largest: object | undefined

  constructor (options: BodyMemoryOptions) {
    this._options = options
    this._storage = { pool: new blockPool.BlockPool(), collector: options.collector }
  }

  public get heldBytes (): number {
    return this._heldBytes
  }

  /** Memory for one body. */
  public newBlocks (): bodyBlocks.BodyBlocks {
    return new bodyBlocks.BodyBlocks(this._storage)
  }

  /** Adds a received piece to the body of a request. */
  public addPiece (holder: IBodyHolder, lengthBytes: number): void {
    const body = this._held.get(holder) ?? { holder, lengthBytes: 0, isWhole: false, pieceAtMs: 0 }
    body.lengthBytes += lengthBytes
    body.pieceAtMs = this._options.nowMs()
    this._hold(holder, body, lengthBytes)
    while (this._exceeds(0)) if (!this._refuseStalled() && !this._refuseLargest()) return
  }

  /** The whole body has been received, so the request is no longer refused for its memory. */
  public complete (holder: IBodyHolder): void {
    const body = this._held.get(holder)
    if (body !== undefined) body.isWhole = true
  }

  /** Whether there is room for the body of an offered call. Bodies whose callers have stopped sending give way to it. */
  public makeRoom (lengthBytes: number): boolean {
    while (this._exceeds(lengthBytes)) if (!this._refuseStalled()) return false
    return true
  }

  /** Whether bodies of callers leave no room, which may wait for other nodes. Those of offered calls end soon. */
  public isFullOfCallers (lengthBytes: number): boolean {
    let bytes = lengthBytes
    let largestBytes = lengthBytes
    for (const body of this._held.values()) {
      if (body.holder === undefined) continue
      bytes += body.lengthBytes
      largestBytes = Math.max(largestBytes, body.lengthBytes)
    }
    return bytes - largestBytes > this._options.maxSharedBytes
  }

  /** Holds the memory for the body of an offered call. */
  public reserve (call: object, lengthBytes: number): void {
    this._hold(call, { holder: undefined, lengthBytes, isWhole: true, pieceAtMs: 0 }, lengthBytes)
  }

  /** The request has its answer, or its caller has left. */
  public remove (holder: object): void {
    const body = this._held.get(holder)
    if (body === undefined) return
    this._held.delete(holder)
    this._heldBytes -= body.lengthBytes
    if (this._largest === holder) this._largest = this._findLargest(() => true)
  }

  /** A whole body is not needed any more. */
  public release (body: blockBody.Body | undefined): void {
    if (body instanceof blockBody.BlockBody) this._options.collector.recordReleased(body.length)
  }

  private _hold (holder: object, body: HeldBody, addedBytes: number): void {
    this._held.set(holder, body)
    this._heldBytes += addedBytes
    if (body.lengthBytes > this._largestBytes) this._largest = holder
  }

  /** Whether the bound would be exceeded with a further body. */
  private _exceeds (lengthBytes: number): boolean {
    return this._heldBytes + lengthBytes - Math.max(this._largestBytes, lengthBytes) > this._options.maxSharedBytes
  }

  private _refuseStalled (): boolean {
    const stalledAtMs = this._options.nowMs() - STALLED_MS
    return this._refuse(this._findLargest((_other, { isWhole, pieceAtMs }) => !isWhole && pieceAtMs < stalledAtMs))
  }

  private _refuseLargest (): boolean {
    return this._refuse(this._findLargest((other, { isWhole }) => !isWhole && other !== this._largest))
  }

  private _refuse (refused: object | undefined): boolean {
    if (refused === undefined) return false
    const holder = this._held.get(refused)?.holder
    this.remove(refused)
    holder?.refuseBody()
    return true
  }

  private _findLargest (isEligible: (holder: object, body: HeldBody) => boolean): object | undefined {
    let largest: object | undefined
    let largestBytes = -1
    for (const [holder, body] of this._held) {
      if (body.lengthBytes <= largestBytes || !isEligible(holder, body)) continue
      largest = holder
      largestBytes = body.lengthBytes
    }
    return largest
  }

  private get _largestBytes (): number {
    return this._largest === undefined ? 0 : this._held.get(this._largest)?.lengthBytes ?? 0
  }
}
