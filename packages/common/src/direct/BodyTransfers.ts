import type * as base from '../base/Types.js'

/** Bodies that may be on their way at the same time, as time on the link. Longer would delay short calls behind them. */
const AHEAD_MS = 100
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
  private readonly _underWay = new Set<Body>()
  private readonly _arrived = new Set<Body>()
  private _underWayBytes = 0
  private _heldBytes = 0

  constructor (private readonly _linkMbps: number, private readonly _maxHeldBytes: number) {}

  /** Number of bodies that have not arrived. */
  public get size (): number {
    return this._waiting.length + this._underWay.size
  }

  /** Expected time until the whole body would have arrived if it was offered now. */
  public expectedMs ({ lengthBytes, priority }: Omit<OfferedBody, 'deadlineAtMs'>): base.Millis {
    const aheadBytes = this._waiting.reduce((sum, other) => other.priority <= priority ? sum + other.lengthBytes : sum, 0)
    return this._linkMs(this._underWayBytes + aheadBytes + lengthBytes)
  }

  public offer (body: Body): void {
    let at = this._waiting.length
    while (at > 0 && (this._waiting[at - 1]?.priority ?? 0) > body.priority) at -= 1
    this._waiting.splice(at, 0, body)
  }

  /** Removes and returns the next body that may be requested now. */
  public next (): Body | undefined {
    const [body] = this._waiting
    if (body === undefined || !this._fits(body)) return undefined
    this._waiting.shift()
    this._underWay.add(body)
    this._underWayBytes += body.lengthBytes
    this._heldBytes += body.lengthBytes
    return body
  }

  /** The body has arrived. It is held until it is released. False if it was not requested. */
  public arrive (body: Body): boolean {
    if (!this._underWay.delete(body)) return false
    this._underWayBytes -= body.lengthBytes
    this._arrived.add(body)
    return true
  }

  /** The call has ended, or was taken back. */
  public release (body: Body): void {
    const at = this._waiting.indexOf(body)
    if (at >= 0) {
      this._waiting.splice(at, 1)
    } else if (this._underWay.delete(body)) {
      this._underWayBytes -= body.lengthBytes
      this._heldBytes -= body.lengthBytes
    } else if (this._arrived.delete(body)) {
      this._heldBytes -= body.lengthBytes
    }
  }

  /** Bodies that have not arrived and whose calls are useless by now. */
  public expired (nowMs: base.Millis): readonly Body[] {
    return [...this._waiting, ...this._underWay].filter(({ deadlineAtMs }) => nowMs >= deadlineAtMs)
  }

  private _fits ({ lengthBytes }: Body): boolean {
    const isLinkFree = this._underWay.size === 0 || this._linkMs(this._underWayBytes + lengthBytes) <= AHEAD_MS
    return isLinkFree && (this._heldBytes === 0 || this._heldBytes + lengthBytes <= this._maxHeldBytes)
  }

  private _linkMs (lengthBytes: number): base.Millis {
    return lengthBytes * BITS_PER_BYTE / ((this._linkMbps > 0 ? this._linkMbps : DEFAULT_MBPS) * KBITS_PER_MBIT)
  }
}
