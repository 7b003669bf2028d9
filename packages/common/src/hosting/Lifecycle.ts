import * as results from 'ts-results-es'
import type * as base from '../base/Types.js'
import * as digest from '../base/Digest.js'
import type * as memberTypes from '../membership/Types.js'
import type * as messages from '../node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Interval at which the handover and the `release` record are sent again until they are confirmed. */
const REPEAT_MS = 1_000

/**
 * Time from the acknowledgement of the handover to the append of the release record. A successor that begins to stop
 * within this time, and finds no successor itself, returns the windows. Without this delay, 10 to 40 % of the keys had no
 * owner after 10 nodes stopped at once. The successor owns the keys issued in this time, so the delay must be below
 * `MAX_KEY_AHEAD_MS`.
 */
const RELEASE_DELAY_MS = 300

/** Maximum length of the chain of successors that have left themselves. */
const MAX_SUCCESSORS = 8

/** Time after leaving during which the node still answers calls of entry nodes that do not know yet that it has left. */
const LINGER_MS = 1_000

export interface LifecycleOptions {
  readonly calls: services.IHostCalls
  readonly membership: services.HostMembership
  readonly effects: messages.IEffects
  /** Empty if the node has no target, and so no keys to hand over. */
  readonly service: string
  readonly drainMs: () => base.Millis
}

/**
 * `draining`: calls run on other nodes, but this node keeps its keys, so that it can take work again.
 * `stopping`: waits for the calls in flight to end.
 * `handing`: sends the key table and the keys issued so far to the successor.
 * `releasing`: appends the `release` record, which keeps later processes at this address from adopting the windows.
 * `confirming`: informs the successor that it owns all keys of the windows, also those issued after the handover.
 */
type Stage = 'serving' | 'draining' | 'stopping' | 'handing' | 'releasing' | 'confirming' | 'left'

/** The command is refused because a stop has begun: this process hands its keys over and cannot take work again. */
export class StoppingError extends Error {
  public readonly kind = 'stopping'

  constructor () {
    super('This node is stopping and cannot take work again. Restart the process.')
    this.name = 'StoppingError'
  }
}

/** Drain and planned stop of this node. */
export class Lifecycle implements services.ILifecycle {
  private _stage: Stage = 'serving'
  private _stopSinceMs = 0
  private _leftAtMs = 0
  private _nextSendMs = 0
  private _requestNumber = 0
  private _appendRequestId: string | undefined
  private _handover: types.Handover | undefined
  /** The successor has acknowledged the key table. */
  private _isHandedOver = false
  /** The release record is in the log. */
  private _isReleased = false
  /** Nodes that refused the handover because they are stopping as well. */
  private readonly _refusedBy = new Set<base.NodeId>()

  constructor (private readonly _options: LifecycleOptions) {}

  public get isDraining (): boolean {
    return this._stage !== 'serving'
  }

  public beginDrain (nowMs: base.Millis): readonly types.HostUpdate[] {
    if (this.isDraining) return []
    this._stage = 'draining'
    this._options.membership.setState('draining', nowMs)
    return this._options.calls.beginDrain(nowMs)
  }

  public beginStop (nowMs: base.Millis): readonly types.HostUpdate[] {
    const updates = this.beginDrain(nowMs)
    if (this._stage !== 'draining') return updates
    this._stage = 'stopping'
    this._stopSinceMs = nowMs
    return updates
  }

  public undrain (nowMs: base.Millis): results.Result<void, StoppingError> {
    if (this._stage === 'serving') return results.Ok(undefined)
    if (this._stage !== 'draining') return results.Err(new StoppingError())
    this._stage = 'serving'
    this._options.calls.endDrain()
    this._options.membership.setState('ready', nowMs)
    return results.Ok(undefined)
  }

  public canExit (nowMs: base.Millis): boolean {
    return this._stage === 'left' && nowMs >= this._leftAtMs + LINGER_MS
  }

  public receive (from: base.NodeId, message: messages.LifecycleMessage, nowMs: base.Millis): void {
    if (message.kind === 'handover') this._handleHandover(from, message.handover, nowMs)
    else if (this._isReplyToHandover(from, message)) this._handleReply(message, nowMs)
  }

  public logAppended (result: messages.LogAppendResult, nowMs: base.Millis): void {
    if (result.requestId !== this._appendRequestId) return
    this._appendRequestId = undefined
    if (this._stage !== 'releasing' || result.status !== 'appended') return
    this._isReleased = true
    this._stage = 'confirming'
    this._nextSendMs = nowMs
  }

  public tick (nowMs: base.Millis): void {
    if (this._stage === 'serving' || this._stage === 'draining' || this._stage === 'left') return
    if (this._stage === 'stopping') this._finishCalls(nowMs)
    if (nowMs >= this._stopSinceMs + this._options.drainMs()) this._leave(nowMs)
    else if (nowMs >= this._nextSendMs) this._send(nowMs)
  }

  /** Delegates new keys while calls run on the target; then refuses new keys until the delegated calls have ended. */
  private _finishCalls (nowMs: base.Millis): void {
    const { calls } = this._options
    if (calls.isIdle) this._beginHandover(nowMs)
    else if (calls.isTargetIdle) calls.close()
  }

  private _beginHandover (nowMs: base.Millis): void {
    const to = this._chooseSuccessor()
    if (to === undefined) {
      this._options.calls.retain()
      this._handover = undefined
      this._returnInherited()
      this._leave(nowMs)
      return
    }
    this._handover = this._options.calls.release(to, nowMs)
    this._stage = 'handing'
    this._nextSendMs = nowMs
  }

  private _chooseSuccessor (): types.PartitionOwner | undefined {
    const { membership, service } = this._options
    if (service === '') return undefined
    const rank = (nodeId: base.NodeId): number => digest.placementHash(`${membership.self.nodeId} ${nodeId}`)
    const rows = membership.targetsOf(service).filter(({ nodeId }) => nodeId !== membership.self.nodeId && !this._refusedBy.has(nodeId))
    const row = [...rows].sort((a, b) => rank(b.nodeId) - rank(a.nodeId))[0]
    return row === undefined ? undefined : { nodeId: row.nodeId, incarnation: row.incarnation }
  }

  /** Another process is asked only after the first has refused: one that has not answered may have taken the keys. */
  private _send (nowMs: base.Millis): void {
    if (this._handover === undefined || this._stage === 'left') return
    const row = this._resolveSuccessor(this._handover)
    const handover = this._handover
    if (row === undefined || row.state === 'dead' || row.state === 'left') {
      this._leave(nowMs)
      return
    }
    this._nextSendMs = nowMs + REPEAT_MS
    if (this._stage === 'releasing') this._appendRelease(handover, nowMs)
    else this._sendHandover(handover, row.peerAddress)
  }

  /** Returns the member row of the process that has the keys: the successor or, if it has left after it took the keys, its own successor. */
  private _resolveSuccessor (handover: types.Handover): memberTypes.MemberRow | undefined {
    const { membership } = this._options
    let row = membership.get(handover.to.nodeId)
    for (let hops = 0; hops < MAX_SUCCESSORS && this._isHandedOver && row?.state === 'left'; hops++) {
      row = membership.get(row.successor)
      if (row !== undefined) this._handover = { ...handover, to: { nodeId: row.nodeId, incarnation: row.incarnation } }
    }
    return row
  }

  private _sendHandover (handover: types.Handover, address: string): void {
    const sent = this._isHandedOver ? { ...handover, released: this._isReleased, keys: [] } : handover
    this._options.effects.push({ kind: 'send', to: handover.to.nodeId, address, message: { kind: 'handover', handover: sent } })
  }

  private _appendRelease (handover: types.Handover, nowMs: base.Millis): void {
    if (this._appendRequestId !== undefined) return
    this._appendRequestId = `release-${nowMs}-${this._requestNumber++}`
    const data: types.ReleaseRecord = { kind: 'release', owner: handover.from, successor: handover.to }
    this._options.effects.push({ kind: 'append-log', stream: 'ownership', requestId: this._appendRequestId, data })
  }

  private _handleHandover (from: base.NodeId, handover: types.Handover, nowMs: base.Millis): void {
    const row = this._options.membership.get(from)
    if (handover.from.nodeId !== from || row === undefined) return
    const takesNew = this._stage === 'serving' || this._stage === 'draining'
    const result = this._options.calls.inherit(handover, takesNew, nowMs)
    if (result !== 'taken') {
      this._sendRefusal(handover.from, result)
      return
    }
    if (this._stage === 'left' && !this._isHandedOver && !handover.released) {
      this._sendRefusal(handover.from, 'returned')
      return
    }
    const { nodeId, incarnation } = handover.from
    const message: messages.HandoverAckMessage = { kind: 'handover-ack', fromNodeId: nodeId, incarnation, released: handover.released }
    this._options.effects.push({ kind: 'send', to: from, address: row.peerAddress, message })
    this._forwardInherited()
  }

  private _sendRefusal ({ nodeId, incarnation }: types.PartitionOwner, reason: types.HandoverRefusal): void {
    const address = this._options.membership.get(nodeId)?.peerAddress ?? ''
    const message: messages.HandoverRefusalMessage = { kind: 'handover-refusal', fromNodeId: nodeId, incarnation, reason }
    this._options.effects.push({ kind: 'send', to: nodeId, address, message })
  }

  /** Returns inherited windows whose release record is not in the log yet; the next process at the address of their owner adopts them. */
  private _returnInherited (): void {
    for (const { from, released } of this._options.calls.inherited) {
      if (!released) this._sendRefusal(from, 'returned')
    }
  }

  /** Sends the successor of this node what has changed for the inherited windows since the handover to it. */
  private _forwardInherited (): void {
    if (this._handover === undefined) return
    this._handover = { ...this._handover, inherited: this._options.calls.inherited }
    const row = this._options.membership.get(this._handover.to.nodeId)
    if (this._isHandedOver && row !== undefined) this._sendHandover(this._handover, row.peerAddress)
  }

  private _isReplyToHandover (from: base.NodeId, { fromNodeId, incarnation }: messages.HandoverAckMessage | messages.HandoverRefusalMessage): boolean {
    const handover = this._handover
    return handover !== undefined && from === handover.to.nodeId && fromNodeId === handover.from.nodeId && incarnation === handover.from.incarnation
  }

  private _handleReply (message: messages.HandoverAckMessage | messages.HandoverRefusalMessage, nowMs: base.Millis): void {
    if (message.kind === 'handover-ack') this._handleAck(message, nowMs)
    else if (this._stage === 'confirming') this._leave(nowMs)
    else if (this._stage === 'handing') this._handleRefusal(message, nowMs)
    else if (this._stage === 'releasing' && message.reason === 'returned') this._handleReturn(nowMs)
  }

  /** The successor may have run keys, so this process keeps answering `unknown` for all keys that it has no record of. */
  private _handleReturn (nowMs: base.Millis): void {
    if (this._appendRequestId !== undefined) return
    this._isHandedOver = false
    this._returnInherited()
    this._leave(nowMs)
  }

  private _handleRefusal ({ reason }: messages.HandoverRefusalMessage, nowMs: base.Millis): void {
    if (reason !== 'stopping' || this._handover === undefined) {
      this._leave(nowMs)
      return
    }
    this._refusedBy.add(this._handover.to.nodeId)
    this._beginHandover(nowMs)
    this._send(nowMs)
  }

  private _handleAck (ack: messages.HandoverAckMessage, nowMs: base.Millis): void {
    if (this._stage === 'handing' && !ack.released) {
      this._isHandedOver = true
      this._stage = 'releasing'
      this._nextSendMs = nowMs + RELEASE_DELAY_MS
    } else if (this._stage === 'confirming' && ack.released) {
      this._leave(nowMs)
    }
  }

  private _leave (nowMs: base.Millis): void {
    this._stage = 'left'
    this._leftAtMs = nowMs
    const successor = this._isHandedOver ? this._handover?.to.nodeId : undefined
    this._options.membership.setState('left', nowMs, successor)
  }
}
