import * as emitter from '@elmpost/common/base/Emitter.js'
import * as nodeRecords from './NodeRecords.js'
import * as pQueue from 'p-queue'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as storeReturns from './StoreReturns.js'

const PQueue = pQueue.default

/** Topic of elmpost with one record for each node. The store keeps the newest record of each key in topics with this prefix. */
const NODES_TOPIC = 'keyed.elmpost-nodes'
const NEWEST_TIMEOUT_MS = 1_000
const PUT_TIMEOUT_MS = 1_000
/** Bounds of the wait after failures, which doubles each time and has jitter. */
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 1_000
/** Interval between reads, which find nodes that missed each other's hello. Readers read more often and inform the others. */
const REFRESH_MS = { reader: 30_000, other: 120_000 } as const
/** Nodes of a fleet that starts for the first time all write at about the same time, and read after this delay. */
const FIRST_READ_MS = 2_000
/** The first write of a node waits this long for the announcement of its target, so that a single write suffices. */
const RECORD_WAIT_MS = 2_000

/** After the return of the store from an older copy, nodes write again within this time, or longer if the fleet is so large that it would exceed this rate. */
const MIN_SPREAD_MS = 500
const MAX_WRITES_PER_MS = 0.2
/** Readers read again when most nodes have written. */
const READ_AGAIN_MS = 2_500
/** A process that started this recently may have read before others had written again. */
const RECENT_START_MS = 10_000
/** Refused records that are logged one by one, in each read. */
const MAX_LOGGED_RECORDS = 5
const MAX_LOGGED_LENGTH = 200

export interface NodeRegistryOptions {
  readonly store: services.IKeyedStore
  readonly selfId: base.NodeId
  readonly logger: nodeServices.ILogger
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  /** Whether the whole fleet starts for the first time, so that there are no records yet. */
  readonly isFirstStart: boolean
  /** Whether this node reads the records on behalf of the fleet. */
  readonly isReader: () => boolean
}

/** Reads and writes the records in the store by which nodes discover each other. */
export class NodeRegistry implements base.IDisposable, storeReturns.IStoreWriter {
  private readonly _options: NodeRegistryOptions
  private readonly _nodesEmitter = new emitter.Emitter<readonly direct.NodeRecord[]>()
  public readonly onNodes = this._nodesEmitter.event
  /** Runs writes one at a time, so that the newest record is written last. */
  private readonly _writes = new PQueue({ concurrency: 1 })
  private _wantedValue: Buffer | undefined
  private _writtenValue: Buffer | undefined
  private _writtenAtMs = -Infinity
  private readonly _startedAtMs: base.Millis
  private _hasWritten = false
  private _knownRecords = 0
  private _hasRead = false
  private _isDisposed = false
  private _mayWriteWithoutTarget = false
  private _recordTimer: NodeJS.Timeout | undefined
  private _timer: NodeJS.Timeout | undefined

  constructor (options: NodeRegistryOptions) {
    this._options = options
    this._startedAtMs = options.nowMs()
  }

  /** Reads the records of all nodes, retrying until the store answers. `record` returns the record of this node. */
  public start (record: () => direct.NodeRecord): void {
    if (!this._options.isFirstStart) this._refresh(FIRST_RETRY_MS)
    this._recordTimer = setTimeout(() => {
      this._mayWriteWithoutTarget = true
      this._publishLogged(record())
    }, RECORD_WAIT_MS)
  }

  /**
   * Writes the node's own record if it differs from the stored one. The first write waits until the record of the previous
   * process, which is usually the same, has been read, and for the announcement of the target.
   */
  public publish (record: direct.NodeRecord): Promise<void> {
    const isEarly = !this._hasRead && !this._options.isFirstStart
    if (isEarly || (record.target === undefined && !this._mayWriteWithoutTarget)) return Promise.resolve()
    this._wantedValue = Buffer.from(JSON.stringify(record))
    return this._write()
  }

  /** Deletes the record of a node that has been unreachable for long. A node that still runs writes its record again. */
  public async deleteRecord (nodeId: base.NodeId): Promise<void> {
    const result = await this._options.store.put(NODES_TOPIC, [{ key: nodeId, value: undefined }], PUT_TIMEOUT_MS)
    this._options.logger.log('info', 'node-record-dropped', { peer: nodeId, outcome: result.kind })
  }

  public writeAgain (ageMs: base.Millis): number {
    const { nowMs, random, isReader } = this._options
    if (isReader() || nowMs() - this._startedAtMs < RECENT_START_MS) this._refreshAfter(READ_AGAIN_MS)
    if (this._wantedValue === undefined || nowMs() - this._writtenAtMs > ageMs) return 0
    this._writtenValue = undefined
    const spreadMs = Math.max(MIN_SPREAD_MS, this._knownRecords / MAX_WRITES_PER_MS)
    setTimeout(() => { this._writeLogged() }, spreadMs * random.nextFloat())
    return 1
  }

  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
    clearTimeout(this._recordTimer)
  }

  private _publishLogged (record: direct.NodeRecord): void {
    this.publish(record).catch((error: unknown) => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private async _write (): Promise<void> {
    await this._writes.add(async () => {
      for (let retryMs = FIRST_RETRY_MS; !this._isDisposed; retryMs = Math.min(retryMs * 2, MAX_RETRY_MS)) {
        const value = this._wantedValue
        if (isSame(value, this._writtenValue)) return
        const result = await this._options.store.put(NODES_TOPIC, [{ key: this._options.selfId, value }], PUT_TIMEOUT_MS)
        if (result.kind === 'written') {
          this._writtenValue = value
          this._writtenAtMs = this._options.nowMs()
          this._readAfterFirstWrite()
          continue
        }
        this._options.logger.log('warn', 'node-record-not-written', { outcome: result.kind, problem: result.problem })
        await new Promise(resolve => { setTimeout(resolve, retryMs * (0.5 + 0.5 * this._options.random.nextFloat())) })
      }
    })
  }

  /** Rewrites the own record if another node deleted it while this node was unreachable. */
  private _rewriteIfChanged (stored: Buffer | undefined): void {
    this._writtenValue = stored
    if (this._wantedValue === undefined || this._writes.size + this._writes.pending > 0) return
    this._writeLogged()
  }

  private _writeLogged (): void {
    this._write().catch((error: unknown) => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  /** Reads again after the first write, because two nodes that start together may each have read before the other wrote. */
  private _readAfterFirstWrite (): void {
    if (this._hasWritten) return
    this._hasWritten = true
    this._refreshAfter(this._options.isFirstStart ? FIRST_READ_MS : 0)
  }

  private _refreshAfter (waitMs: base.Millis): void {
    clearTimeout(this._timer)
    this._timer = setTimeout(() => { this._refresh(FIRST_RETRY_MS) }, waitMs)
  }

  private _refresh (retryMs: base.Millis): void {
    this._read().then(isRead => {
      if (this._isDisposed) return
      const waitMs = isRead ? REFRESH_MS[this._options.isReader() ? 'reader' : 'other'] : retryMs
      const nextRetryMs = isRead ? FIRST_RETRY_MS : Math.min(retryMs * 2, MAX_RETRY_MS)
      this._timer = setTimeout(() => { this._refresh(nextRetryMs) }, waitMs * (0.5 + 0.5 * this._options.random.nextFloat()))
    }, error => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private async _read (): Promise<boolean> {
    const result = await this._options.store.newest(NODES_TOPIC, NEWEST_TIMEOUT_MS)
    if (result.kind === 'unavailable') {
      this._options.logger.log('debug', 'node-records-not-read', { problem: result.problem })
      return false
    }
    const records: direct.NodeRecord[] = []
    let refused = 0
    for (const { key, value } of result.records) {
      if (value === undefined) continue
      const record = recordOf(key, value)
      if (!(record instanceof Error)) records.push(record)
      else if (++refused <= MAX_LOGGED_RECORDS) this._options.logger.log('warn', 'node-record-refused', { key: key.slice(0, MAX_LOGGED_LENGTH), problem: record.message.slice(0, MAX_LOGGED_LENGTH) })
    }
    if (refused > MAX_LOGGED_RECORDS) this._options.logger.log('warn', 'node-records-refused', { count: refused })
    this._hasRead = true
    this._knownRecords = records.length
    this._rewriteIfChanged(result.records.find(({ key }) => key === this._options.selfId)?.value)
    this._nodesEmitter.fire(records)
    return true
  }
}

function isSame (one: Buffer | undefined, other: Buffer | undefined): boolean {
  return one === undefined || other === undefined ? one === other : one.equals(other)
}

/** Returns an error that states the problem if the value is not a valid record of the node with this key. */
function recordOf (key: string, value: Buffer): direct.NodeRecord | Error {
  try {
    const record = nodeRecords.check(JSON.parse(value.toString()))
    return record instanceof Error || record.nodeId === key ? record : new Error('nodeId is not the key of the record')
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error))
  }
}
