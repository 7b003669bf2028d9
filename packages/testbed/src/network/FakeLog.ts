import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as logStore from '../standins/LogStore.js'
import type * as networks from './FakeNetwork.js'

const POLL_STEP_MS = 50

export interface FakeLogOptions {
  readonly retentionMs: base.Millis
}

export interface ILogReaderNode extends networks.INetworkNode {
  logRead(result: messages.LogReadResult, nowMs: base.Millis): void
  logAppended(result: messages.LogAppendResult, nowMs: base.Millis): void
}

type ReadEffect = Extract<messages.Effect, { kind: 'read-log' }>
type AppendEffect = Extract<messages.Effect, { kind: 'append-log' }>

/** The log service in virtual time: streams with retention, long polls, outages and slow periods. */
export class FakeLog implements networks.ILogPort {
  /** During an outage every request fails. */
  public isDown = false
  /** Time for one request, on top of the long poll. */
  public delayMs: base.Millis = 2
  /** Nodes that cannot reach the log. */
  public isUnreachable: (node: networks.INetworkNode) => boolean = () => false
  public readCount = 0
  public recordsRead = 0
  private readonly _streams: Readonly<Record<messages.StreamName, logStore.LogStore>>

  constructor (private readonly _options: FakeLogOptions) {
    const { retentionMs } = _options
    this._streams = {
      config: new logStore.LogStore(retentionMs),
      ownership: new logStore.LogStore(retentionMs),
      audit: new logStore.LogStore(retentionMs)
    }
  }

  public append (stream: messages.StreamName, data: unknown, nowMs: base.Millis): number {
    return this._streams[stream].append(data, nowMs)
  }

  /** All records that are still kept. */
  public records (stream: messages.StreamName, nowMs: base.Millis): readonly unknown[] {
    return this._streams[stream].read(0, Number.MAX_SAFE_INTEGER, nowMs).records.map(record => record.data)
  }

  public handle (node: networks.INetworkNode, effect: messages.Effect, network: networks.FakeNetwork): void {
    const reader = node as ILogReaderNode
    if (effect.kind === 'read-log') this._read(reader, effect, network, network.nowMs + effect.waitMs)
    else if (effect.kind === 'append-log') this._append(reader, effect, network)
  }

  private _read (node: ILogReaderNode, effect: ReadEffect, network: networks.FakeNetwork, untilMs: base.Millis): void {
    this.readCount++
    network.schedule(this.delayMs, () => this._poll(node, effect, network, untilMs))
  }

  private _poll (node: ILogReaderNode, effect: ReadEffect, network: networks.FakeNetwork, untilMs: base.Millis): void {
    const { stream } = effect
    if (this.isDown || this.isUnreachable(node)) {
      return this._reply(node, network, { stream, ok: false, records: [], firstOffset: 0, nextOffset: 0, retentionMs: 0 })
    }
    const page = this._streams[stream].read(effect.fromOffset, effect.limit, network.nowMs)
    if (page.records.length === 0 && network.nowMs < untilMs) {
      network.schedule(POLL_STEP_MS, () => this._poll(node, effect, network, untilMs))
      return
    }
    this.recordsRead += page.records.length
    this._reply(node, network, { stream, ok: true, ...page, retentionMs: this._options.retentionMs })
  }

  private _reply (node: ILogReaderNode, network: networks.FakeNetwork, result: messages.LogReadResult): void {
    if (!network.isRunning(node)) return
    node.logRead(result, network.nowMs)
    network.flush(node)
  }

  private _append (node: ILogReaderNode, effect: AppendEffect, network: networks.FakeNetwork): void {
    const { stream, requestId } = effect
    network.schedule(this.delayMs, () => {
      const isLost = this.isDown || this.isUnreachable(node)
      const offset = isLost ? -1 : this._streams[stream].append(effect.data, network.nowMs)
      if (!network.isRunning(node)) return
      node.logAppended({ stream, requestId, status: isLost ? 'unknown' : 'appended', offset }, network.nowMs)
      network.flush(node)
    })
  }
}
