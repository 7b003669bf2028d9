import type * as base from '@elmpost/common/base/Types.js'

/** A body of which nothing has come for this time is refused first. */
const STALLED_MS = 1_000

/** Request of a caller whose body is held in memory. */
export interface IBodyHolder {
  /** Refuses the request, whose body is not whole yet, and releases what was received of it. */
  refuseBody(): void
}

interface HeldBody {
  lengthBytes: number
  isWhole: boolean
  pieceAtMs: base.Millis
}

/**
 * Bounds the memory for bodies of callers' requests, from their first byte until the answer. One body may be as long as the
 * configuration allows. All others share a bound: when they exceed it, one that is still being received is refused. That is
 * the largest of those whose callers have stopped sending, if there are any, and otherwise the largest, so that callers that
 * stop short cost no others, and a few long bodies cost no request with a short one.
 */
export class BodyMemory {
  private readonly _held = new Map<IBodyHolder, HeldBody>()
  private _heldBytes = 0
  private _largest: IBodyHolder | undefined

  /** `maxSharedBytes`: most bytes that all bodies but the largest one may hold together. */
  constructor (private readonly _maxSharedBytes: number, private readonly _nowMs: () => base.Millis = () => performance.now()) {}

  public get heldBytes (): number {
    return this._heldBytes
  }

  /** Adds a received piece to the body of a request. */
  public addPiece (holder: IBodyHolder, lengthBytes: number): void {
    const body = this._held.get(holder) ?? { lengthBytes: 0, isWhole: false, pieceAtMs: 0 }
    body.lengthBytes += lengthBytes
    body.pieceAtMs = this._nowMs()
    this._held.set(holder, body)
    this._heldBytes += lengthBytes
    if (this._largest === undefined || body.lengthBytes > this._bytesOf(this._largest)) this._largest = holder
    while (this._heldBytes - this._bytesOf(this._largest) > this._maxSharedBytes) if (!this._refuseOne()) return
  }

  /** The whole body has been received, so the request is no longer refused for its memory. */
  public complete (holder: IBodyHolder): void {
    const body = this._held.get(holder)
    if (body !== undefined) body.isWhole = true
  }

  /** The request has its answer, or its caller has left. */
  public remove (holder: IBodyHolder): void {
    const body = this._held.get(holder)
    if (body === undefined) return
    this._held.delete(holder)
    this._heldBytes -= body.lengthBytes
    if (this._largest === holder) this._largest = this._findLargest(() => true)
  }

  private _refuseOne (): boolean {
    const stalledAtMs = this._nowMs() - STALLED_MS
    const holder = this._findLargest((_other, { isWhole, pieceAtMs }) => !isWhole && pieceAtMs < stalledAtMs) ??
      this._findLargest((other, { isWhole }) => !isWhole && other !== this._largest)
    if (holder === undefined) return false
    this.remove(holder)
    holder.refuseBody()
    return true
  }

  private _findLargest (isEligible: (holder: IBodyHolder, body: HeldBody) => boolean): IBodyHolder | undefined {
    let largest: IBodyHolder | undefined
    let largestBytes = -1
    for (const [holder, body] of this._held) {
      if (body.lengthBytes <= largestBytes || !isEligible(holder, body)) continue
      largest = holder
      largestBytes = body.lengthBytes
    }
    return largest
  }

  private _bytesOf (holder: IBodyHolder | undefined): number {
    return holder === undefined ? 0 : this._held.get(holder)?.lengthBytes ?? 0
  }
}
