import * as pQueue from 'p-queue'
import * as rulesDiff from '@elmpost/common/direct/RulesDiff.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as storeReturns from './StoreReturns.js'
import type * as types from './Types.js'

const PQueue = pQueue.default

/** Topic of elmpost with one record for each version. The store keeps topics with this prefix. */
const AUDIT_TOPIC = 'keyed.elmpost-audit'
/** Versions that arrive within this interval are written together. */
const WRITE_INTERVAL_MS = 4_000
/** Most versions waiting to be written; further ones are dropped with a log line. */
const MAX_PENDING = 50
const PUT_TIMEOUT_MS = 1_000
/** Most routes named in one record for each kind of change. */
const MAX_NAMED_ROUTES = 20

export interface AuditTrailOptions {
  readonly store: services.IKeyedStore
  readonly nodeId: base.NodeId
  readonly logger: nodeServices.ILogger
  /** Whether this node writes for the fleet. Two writers at once are harmless: the later record of a version replaces the earlier one. */
  readonly isWriter: () => boolean
  readonly nowMs: () => base.Millis
  /** Time of day, stored in the records. */
  readonly timeOfDayMs: () => base.Millis
}

interface WrittenRecord {
  readonly record: types.KeyedRecord
  readonly atMs: base.Millis
}

/** Records in the store which routes each configuration version added, removed and changed, for operators. */
export class AuditTrail implements storeReturns.IStoreWriter {
  private readonly _options: AuditTrailOptions
  private readonly _writes = new PQueue({ concurrency: 1, intervalCap: 1, interval: WRITE_INTERVAL_MS })
  private readonly _pending: types.KeyedRecord[] = []
  private _written: readonly WrittenRecord[] = []

  constructor (options: AuditTrailOptions) {
    this._options = options
  }

  public recordChange (previous: direct.MeshRules | undefined, next: direct.MeshRules): void {
    // A node that has just started does not know the previous version.
    if (previous === undefined || !this._options.isWriter()) return
    if (this._pending.length >= MAX_PENDING) {
      this._options.logger.log('warn', 'audit-dropped', { recordVersion: next.version })
      return
    }
    this._pending.push({ key: String(next.version), value: Buffer.from(JSON.stringify(this._recordOf(previous, next))) })
    if (this._writes.size > 0) return
    this._writes.add(() => this._write()).catch((error: unknown) => {
      this._options.logger.log('error', 'unexpected-error', { problem: String(error) })
    })
  }

  public writeAgain (ageMs: base.Millis): number {
    const sinceMs = this._options.nowMs() - ageMs
    const lost = this._written.filter(({ atMs }) => atMs >= sinceMs).map(({ record }) => record)
    if (lost.length > 0) this._put(lost).catch((error: unknown) => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
    return lost.length
  }

  private _recordOf (previous: direct.MeshRules, next: direct.MeshRules): object {
    const { added, removed, changed } = rulesDiff.diffOf(previous, next)
    return {
      version: next.version,
      after: previous.version,
      atMs: this._options.timeOfDayMs(),
      node: this._options.nodeId,
      added: summary(added),
      removed: summary(removed),
      changed: summary(changed)
    }
  }

  private async _write (): Promise<void> {
    const records = this._pending.splice(0)
    if (records.length > 0) await this._put(records)
  }

  private async _put (records: readonly types.KeyedRecord[]): Promise<void> {
    const { store, nowMs } = this._options
    const result = await store.put(AUDIT_TOPIC, records, PUT_TIMEOUT_MS)
    if (result.kind === 'written') {
      const atMs = nowMs()
      const versions = new Set(records.map(({ key }) => key))
      const others = this._written.filter(({ record }) => !versions.has(record.key))
      this._written = [...others, ...records.map(record => ({ record, atMs }))].slice(-MAX_PENDING)
      return
    }
    this._options.logger.log('warn', 'audit-not-written', { recordVersions: records.map(({ key }) => key).join(' '), outcome: result.kind, problem: result.problem })
  }
}

function summary (routes: readonly string[]): { readonly count: number, readonly routes: readonly string[] } {
  return { count: routes.length, routes: routes.slice(0, MAX_NAMED_ROUTES) }
}
