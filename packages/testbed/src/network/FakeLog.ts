import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as logStore from '../standins/LogStore.js'
import type * as networks from './FakeNetwork.js'

export interface FakeLogOptions {
  readonly retentionMs: base.Millis
  /** Called with each successful result of a read. */
  readonly onAnswer?: (node: networks.INetworkNode, result: messages.LogReadResult) => void
}

export interface ILogReaderNode extends networks.INetworkNode {
  logRead(result: messages.LogReadResult, nowMs: base.Millis): void
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
}

type ReadEffect = Extract<messages.Effect, { kind: 'read-log' }>
type AppendEffect = Extract<messages.Effect, { kind: 'append-log' }>

interface Poll {
  readonly node: ILogReaderNode
  readonly effect: ReadEffect
  readonly network: networks.FakeNetwork
  readonly untilMs: base.Millis
}

/** The log service in virtual time: streams with retention, long polls, outages and slow periods. */
export class FakeLog implements networks.ILogPort {
  /** Latency of one request, in addition to the time of a long poll. */
  public delayMs: base.Millis = 2
  /** Whether reads are accepted but never answered. */
  public isSilent = false
  /** Whether a node cannot reach the log. */
  public isUnreachable: (node: networks.INetworkNode) => boolean = () => false
  public readCount = 0
  public recordsRead = 0
  private readonly _waitingPolls = new Set<Poll>()
  private _isDown = false
  private readonly _streams: Readonly<Record<messages.StreamName, logStore.LogStore>>

  constructor (private readonly _options: FakeLogOptions) {
    const { retentionMs } = _options
    this._streams = {
      config: new logStore.LogStore(retentionMs),
      ownership: new logStore.LogStore(retentionMs),
      audit: new logStore.LogStore(retentionMs)
    }
  }

  /** Whether the log is in an outage: every request fails, including waiting long polls. */
  public get isDown (): boolean {
    return this._isDown
  }

  public set isDown (isDown: boolean) {
    this._isDown = isDown
    if (isDown) this._answerWaitingPolls()
  }

  public append (stream: messages.StreamName, data: unknown, nowMs: base.Millis): number {
    const offset = this._streams[stream].append(data, nowMs)
    this._answerWaitingPolls()
    return offset
  }

  /** Returns all records within the retention time. */
  public records (stream: messages.StreamName, nowMs: base.Millis): readonly unknown[] {
    return this._streams[stream].read(0, Number.MAX_SAFE_INTEGER, nowMs).records.map(record => record.data)
  }

  public handleEffect (node: networks.INetworkNode, effect: messages.Effect, network: networks.FakeNetwork): void {
    const reader = node as ILogReaderNode
    if (effect.kind === 'read-log') this._read(reader, effect, network, network.nowMs + effect.waitMs)
    else if (effect.kind === 'append-log') this._append(reader, effect, network)
  }

  private _read (node: ILogReaderNode, effect: ReadEffect, network: networks.FakeNetwork, untilMs: base.Millis): void {
    this.readCount++
    if (this.isSilent) return
    const poll: Poll = { node, effect, network, untilMs }
    network.schedule(this.delayMs, () => this._answer(poll))
    if (effect.waitMs > 0) network.schedule(effect.waitMs + this.delayMs, () => { if (this._waitingPolls.has(poll)) this._answer(poll) })
  }

  private _answerWaitingPolls (): void {
    for (const poll of this._waitingPolls) poll.network.schedule(this.delayMs, () => { if (this._waitingPolls.has(poll)) this._answer(poll) })
  }

  private _answer (poll: Poll): void {
    const { node, effect, network } = poll
    const { stream } = effect
    this._waitingPolls.delete(poll)
    if (this._isDown || this.isUnreachable(node)) {
      return this._reply(node, network, { stream, ok: false, records: [], firstOffset: 0, nextOffset: 0, retentionMs: 0 })
    }
    const page = this._streams[stream].read(effect.fromOffset, effect.limit, network.nowMs)
    if (page.records.length === 0 && network.nowMs < poll.untilMs) {
      this._waitingPolls.add(poll)
      return
    }
    this.recordsRead += page.records.length
    const result: messages.LogReadResult = { stream, ok: true, ...page, retentionMs: this._options.retentionMs }
    this._options.onAnswer?.(node, result)
    this._reply(node, network, result)
  }

  private _reply (node: ILogReaderNode, network: networks.FakeNetwork, result: messages.LogReadResult): void {
    if (!network.isRunning(node)) return
    node.logRead(result, network.nowMs)
    network.flush(node)
  }

  private _append (node: ILogReaderNode, effect: AppendEffect, network: networks.FakeNetwork): void {
    const { stream, requestId } = effect
    network.schedule(this.delayMs, () => {
      const isLost = this._isDown || this.isUnreachable(node)
      const offset = isLost ? -1 : this.append(stream, effect.data, network.nowMs)
      if (!network.isRunning(node)) return
      node.logAppended({ stream, requestId, status: isLost ? 'unknown' : 'appended', offset }, network.nowMs)
      network.flush(node)
    })
  }
}
