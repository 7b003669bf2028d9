import type * as base from '@elmpost/common/base/Types.js'
import type * as linkCodec from './LinkCodec.js'

export type MessageKind = linkCodec.LinkMessage['kind']
export type Direction = 'sent' | 'received'

/** Bytes of messages, without frames and packet headers. */
export type KindBytes = Readonly<Partial<Record<MessageKind, number>>>

/** What the links of a node carried in an interval, and how long calls and results of others took to arrive. */
export interface TrafficSummary {
  readonly sentBytes: KindBytes
  readonly receivedBytes: KindBytes
  /** Longest time that a call of another node spent on its way beyond the fastest message of its link. */
  readonly maxCallDelayMs: base.Millis
  readonly meanCallDelayMs: base.Millis
  /** Most bytes that one connection held unsent when a message was added. */
  readonly maxBacklogBytes: number
}

/** Counts the traffic on the links to other nodes, by kind of message. */
export class LinkTraffic {
  private readonly _totals: Readonly<Record<Direction, Map<MessageKind, number>>> = { sent: new Map(), received: new Map() }
  private _reported: Readonly<Record<Direction, KindBytes>> = { sent: {}, received: {} }
  private _calls = 0
  private _callDelayMs: base.Millis = 0
  private _maxCallDelayMs: base.Millis = 0
  private _maxBacklogBytes = 0

  /** Bytes since the start of the process. */
  public totals (direction: Direction): KindBytes {
    return Object.fromEntries(this._totals[direction])
  }

  public recordSent (kind: MessageKind, bytes: number, backlogBytes: number): void {
    this._add('sent', kind, bytes)
    this._maxBacklogBytes = Math.max(this._maxBacklogBytes, backlogBytes)
  }

  public recordReceived (kind: MessageKind, bytes: number): void {
    this._add('received', kind, bytes)
  }

  public recordCallDelay (delayMs: base.Millis): void {
    this._calls += 1
    this._callDelayMs += delayMs
    this._maxCallDelayMs = Math.max(this._maxCallDelayMs, delayMs)
  }

  /** Summary since the last call. */
  public takeSummary (): TrafficSummary {
    const now = { sent: this.totals('sent'), received: this.totals('received') }
    const summary = {
      sentBytes: difference(now.sent, this._reported.sent),
      receivedBytes: difference(now.received, this._reported.received),
      maxCallDelayMs: this._maxCallDelayMs,
      meanCallDelayMs: this._calls === 0 ? 0 : this._callDelayMs / this._calls,
      maxBacklogBytes: this._maxBacklogBytes
    }
    this._reported = now
    this._calls = 0
    this._callDelayMs = 0
    this._maxCallDelayMs = 0
    this._maxBacklogBytes = 0
    return summary
  }

  private _add (direction: Direction, kind: MessageKind, bytes: number): void {
    const totals = this._totals[direction]
    totals.set(kind, (totals.get(kind) ?? 0) + bytes)
  }
}

function difference (now: KindBytes, before: KindBytes): KindBytes {
  const kinds = Object.keys(now) as MessageKind[]
  return Object.fromEntries(kinds.map(kind => [kind, (now[kind] ?? 0) - (before[kind] ?? 0)]).filter(([, bytes]) => bytes !== 0))
}
