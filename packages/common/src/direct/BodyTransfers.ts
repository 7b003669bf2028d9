import type * as base from '../base/Types.js'

/** Bodies that may be on their way at the same time, as time on the link. Longer would delay short calls behind them. */
const AHEAD_MS = 150
/** A transfer that takes this many times as long as on the free link, and this much longer, is held up elsewhere and does not keep others waiting. */
const SLOW_FACTOR = 3
const SLOW_MS = 200
const BITS_PER_BYTE = 8
const KBITS_PER_MBIT = 1_000
/** Assumed if the capacity of the link is not known. */
const DEFAULT_MBPS = 100

/** Body of a call that another node has offered. */
export interface OfferedBody {
  readonly lengthBytes: number
  /** Urgency of its call; 0 is the most urgent. */
  readonly priority: number
  /** When the call is useless without its body. */
  readonly deadlineAtMs: base.Millis
}

/**
 * Orders the transfers of long bodies to one host. Other nodes offer bodies with the heads of their calls, and send one when it
 * is requested. At most `AHEAD_MS` of the link's time, or a single body, are under way, and at most `maxHeldBytes`, or a single
 * body, are held: what is requested, and what has arrived and is still in use.
 */
export class BodyTransfers<Body extends OfferedBody> {
  private readonly _waiting: Body[] = []
  /** Requested bodies, with the time after which each counts as held up. */
  private readonly _underWay = new Map<Body, base.Millis>()
  private readonly _arrived = new Set<Body>()
  private _heldBytes = 0

  /** `makeRoom`: whether there is memory for a body that is requested now. */
  constructor (private readonly _linkMbps: number, private readonly _maxHeldBytes: number, private readonly _makeRoom: (lengthBytes: number) => boolean = () => true) {}

  /** Number of bodies that have not arrived. */
  public get size (): number {
    return this._waiting.length + this._underWay.size
  }

  /** Expected time until the whole body would have arrived if it was offered now. */
  public expectedMs ({ lengthBytes, priority }: Omit<OfferedBody, 'deadlineAtMs'>, nowMs: base.Millis): base.Millis {
    const aheadBytes = this._waiting.reduce((sum, other) => other.priority <= priority ? sum + other.lengthBytes : sum, 0)
    return this._linkMs(this._underWayBytes(nowMs) + aheadBytes + lengthBytes)
  }

  public offer (body: Body): void {
    let at = this._waiting.length
    while (at > 0 && (this._waiting[at - 1]?.priority ?? 0) > body.priority) at -= 1
    this._waiting.splice(at, 0, body)
  }

  /** Removes and returns the next body that may be requested now. */
  public next (nowMs: base.Millis): Body | undefined {
    const [body] = this._waiting
    if (body === undefined || !this._fits(body, nowMs)) return undefined
    this._waiting.shift()
    this._underWay.set(body, nowMs + this._linkMs(body.lengthBytes) * SLOW_FACTOR + SLOW_MS)
    this._heldBytes += body.lengthBytes
    return body
  }

  /** Whether the body has been requested and has not arrived. */
  public isUnderWay (body: Body): boolean {
    return this._underWay.has(body)
  }

  /** The body has arrived. It is held until it is released. False if it was not requested. */
  public arrive (body: Body): boolean {
    if (!this._underWay.delete(body)) return false
    this._arrived.add(body)
    return true
  }

  /** The call has ended, or was taken back. */
  public release (body: Body): void {
    const at = this._waiting.indexOf(body)
    if (at >= 0) this._waiting.splice(at, 1)
    else if (this._underWay.delete(body) || this._arrived.delete(body)) this._heldBytes -= body.lengthBytes
  }

  /** Bodies that have not arrived. */
  public get pending (): readonly Body[] {
    return [...this._waiting, ...this._underWay.keys()]
  }

  private _fits ({ lengthBytes }: Body, nowMs: base.Millis): boolean {
    const underWayBytes = this._underWayBytes(nowMs)
    const isLinkFree = underWayBytes === 0 || this._linkMs(underWayBytes + lengthBytes) <= AHEAD_MS
    return isLinkFree && (this._heldBytes === 0 || this._heldBytes + lengthBytes <= this._maxHeldBytes) && this._makeRoom(lengthBytes)
  }

  private _underWayBytes (nowMs: base.Millis): number {
    let sum = 0
    for (const [{ lengthBytes }, slowAtMs] of this._underWay) if (nowMs < slowAtMs) sum += lengthBytes
    return sum
  }

  private _linkMs (lengthBytes: number): base.Millis {
    return lengthBytes * BITS_PER_BYTE / ((this._linkMbps > 0 ? this._linkMbps : DEFAULT_MBPS) * KBITS_PER_MBIT)
  }
}
