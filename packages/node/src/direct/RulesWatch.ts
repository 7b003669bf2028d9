import * as callLog from './CallLog.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import * as rulesExchange from './RulesExchange.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Longest wait of one read in the store, after which a return of the store from an older copy is noticed. A silent store is detected after this time plus the margin. */
const READ_WAIT_MS = 600
const READ_MARGIN_MS = 300
const NEWEST_TIMEOUT_MS = 400
/** After each failure the next read may take twice as long, up to this factor, because the store may only be slow. */
const MAX_PATIENCE = 4
/** Bounds of the time between two reads after failures, which doubles each time and has jitter. */
const FIRST_RETRY_MS = 100
const MIN_RETRY_MS = 50
const MAX_RETRY_MS = 1_000
/** Pause after a read, so that versions that follow in quick succession are read together. */
const BATCH_MS = 250
/** The same for a node that reads only because it does not know whether it is up to date: most nodes of a fleet, if the store is down. */
const FIRST_FALLBACK_RETRY_MS = 1_000
const MAX_FALLBACK_RETRY_MS = 2_000
/** Interval at which a node that does not read checks whether it has to. */
const STANDBY_MS = 100

export interface RulesWatchOptions {
  readonly store: services.IKeyedStore
  readonly format: services.IRulesFormat
  readonly nowMs: () => base.Millis
  readonly random: base.IRandom
  readonly logger: nodeServices.ILogger
  /** Whether this node reads the store itself. Other nodes get new versions from those that do. */
  readonly isReader: () => boolean
  /** Whether this node may have to read the store for the fleet. */
  readonly isCandidate: () => boolean
  /** Since the version in force is known to have been the newest one; Infinity if it is not known. */
  readonly confirmedAgeMs: () => base.Millis
}

/** Records of the topic of the configuration that are no configurations. */
export interface TopicRecords {
  readonly records: readonly types.KeyedRecord[]
  /** Whether they are the newest of their keys when reading began, and may be old. */
  readonly isPast: boolean
}

/** Watches the store for accepted configurations. */
export class RulesWatch implements base.IDisposable {
  private readonly _options: RulesWatchOptions
  private readonly _rulesEmitter = new emitter.Emitter<types.StoredRules>()
  public readonly onRules = this._rulesEmitter.event
  private readonly _recordsEmitter = new emitter.Emitter<TopicRecords>()
  /** Fires with the other records of the topic, before `onRules`. */
  public readonly onRecords = this._recordsEmitter.event
  private readonly _contactEmitter = new emitter.Emitter<void>()
  /** Fires when the store has answered, after `onRules`. What it answered was true `storeAgeMs` ago or later. */
  public readonly onContact = this._contactEmitter.event
  /** Earliest time at which the store can have given its last answer. This process may have read it much later. */
  private _answeredAtMs = -Infinity
  /** Whether the next read has to answer at once, because the last one was answered at an unknown time of its wait. */
  private _hasPaused = false
  private _nextOffset: number | undefined
  private _retryMs = FIRST_RETRY_MS
  /** Factor by which reads may take longer than usual. */
  private _patience = 1
  private _isAvailable: boolean | undefined
  private _isReading = false
  private _isDisposed = false
  private _timer: NodeJS.Timeout | undefined

  constructor (options: RulesWatchOptions) {
    this._options = options
  }

  /** Time since the store gave its last answer, at most. */
  public get storeAgeMs (): base.Millis {
    return this._options.nowMs() - this._answeredAtMs
  }

  public start (): void {
    this._step()
  }

  /** Decodes a configuration from the store or, possibly compressed, from another node. */
  public decode (packed: Uint8Array, source = 'store'): types.StoredRules | undefined {
    const bytes = rulesExchange.unpack(packed)
    const rules = bytes instanceof Error ? bytes : this._options.format.decode(bytes)
    if (bytes instanceof Error || rules instanceof Error) {
      this._options.logger.log('warn', 'configuration-refused', { source, problem: (rules as Error).message })
      return undefined
    }
    return { rules, bytes }
  }

  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
  }

  private _step (): void {
    if (this._isDisposed) return
    this._readIfReader().then(waitMs => { this._schedule(waitMs) }, error => {
      this._options.logger.log('error', 'unexpected-error', { problem: String(error) })
      this._schedule(MAX_RETRY_MS)
    })
  }

  private _readIfReader (): Promise<base.Millis> {
    const isReader = this._options.isReader()
    if (isReader !== this._isReading) {
      this._isReading = isReader
      this._options.logger.log('info', isReader ? 'reading-begins' : 'reading-ends', { candidate: this._options.isCandidate(), confirmedAgeMs: callLog.roundedAge(this._options.confirmedAgeMs()) })
    }
    if (!isReader) {
      // The store may be many versions ahead by the next read, so that one starts with the newest record.
      this._nextOffset = undefined
      return Promise.resolve(STANDBY_MS)
    }
    return this._nextOffset === undefined ? this._readNewest() : this._readNext(this._nextOffset)
  }

  private _schedule (waitMs: base.Millis): void {
    if (this._isDisposed) return
    if (waitMs === 0) this._step()
    else this._timer = setTimeout(() => { this._step() }, waitMs)
  }

  private async _readNewest (): Promise<base.Millis> {
    const { store, format, nowMs } = this._options
    const askedAtMs = nowMs()
    const result = await store.newest(format.topic, NEWEST_TIMEOUT_MS * this._patience)
    if (result.kind === 'unavailable') return this._handleFailure(result.problem, askedAtMs)
    if (nowMs() - askedAtMs < READ_MARGIN_MS) this._patience = 1
    this._logIfLate(nowMs() - askedAtMs)
    this._handleRecords(result, askedAtMs, true)
    return 0
  }

  private async _readNext (fromOffset: number): Promise<base.Millis> {
    const { store, format, nowMs } = this._options
    const era = store.era.current
    const askedAtMs = nowMs()
    const waitMs = this._hasPaused ? 0 : READ_WAIT_MS
    this._hasPaused = false
    const result = await store.read(format.topic, fromOffset, waitMs, waitMs + READ_MARGIN_MS * this._patience)
    if (store.era.current !== era) {
      // The store may have given out the offset again, after records that were not read.
      this._nextOffset = undefined
      return 0
    }
    if (result.kind === 'unavailable') return this._handleFailure(result.problem, askedAtMs)
    if (result.kind === 'compacted') {
      this._nextOffset = undefined
      return 0
    }
    this._logIfLate(nowMs() - askedAtMs - waitMs)
    if (result.records.length === 0) {
      // The store answers without records only at the end of the wait.
      this._handleRecords(result, Math.min(askedAtMs + waitMs, nowMs()))
      return 0
    }
    this._handleRecords(result, askedAtMs)
    this._hasPaused = true
    return BATCH_MS
  }

  private _handleRecords (result: types.NewestResult & { readonly kind: 'records' }, answeredAtMs: base.Millis, isPast = false): void {
    const { format } = this._options
    this._answeredAtMs = answeredAtMs
    this._retryMs = FIRST_RETRY_MS
    this._nextOffset = result.nextOffset
    this._setAvailable(true, '')
    const others = result.records.filter(({ key, value }) => key !== format.key && value !== undefined)
    if (others.length > 0) this._recordsEmitter.fire({ records: others, isPast })
    // Only the newest version of a batch is enforced.
    const newest = result.records.filter(({ key, value }) => key === format.key && value !== undefined).at(-1)
    const stored = newest?.value === undefined ? undefined : this.decode(newest.value)
    if (stored !== undefined) this._rulesEmitter.fire(stored)
    this._contactEmitter.fire()
  }

  /** The answer may have waited for this process, which read it late. */
  private _logIfLate (lateMs: base.Millis): void {
    if (lateMs > READ_MARGIN_MS) this._options.logger.log('warn', 'store-answer-late', { lateMs: Math.round(lateMs) })
  }

  /** Returns the time until the next read. A time-out counts towards it, so that a store that is back is soon noticed. */
  private _handleFailure (problem: string, askedAtMs: base.Millis): base.Millis {
    const { nowMs, random, isCandidate } = this._options
    this._setAvailable(false, problem)
    // The store may come back from an older copy, and a read at an offset that it does not have yet would wait.
    this._nextOffset = undefined
    this._patience = Math.min(this._patience * 2, MAX_PATIENCE)
    const intervalMs = this._retryMs
    // A single failure is often one of the connection.
    this._retryMs = isCandidate() ? Math.min(intervalMs * 2, MAX_RETRY_MS) : Math.min(Math.max(intervalMs * 2, FIRST_FALLBACK_RETRY_MS), MAX_FALLBACK_RETRY_MS)
    return Math.max(MIN_RETRY_MS, intervalMs * (0.5 + 0.5 * random.nextFloat()) - (nowMs() - askedAtMs))
  }

  private _setAvailable (isAvailable: boolean, problem: string): void {
    if (isAvailable === this._isAvailable) return
    this._isAvailable = isAvailable
    if (isAvailable) this._options.logger.log('info', 'store-available')
    else this._options.logger.log('warn', 'store-unavailable', { problem })
  }
}
