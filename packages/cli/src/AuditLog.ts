import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

/** Anybody can append to the log, so a record may be any object. */
export type AuditEntry = Readonly<Record<string, unknown>>

/** The nodes of a zone that put a version into force. */
export interface ZoneEnforcement {
  readonly zone: string
  readonly nodes: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

interface EnforcedEntry extends AuditEntry {
  readonly zone: string
  readonly version: number
  readonly count: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

/** The records of the `audit` stream. They are written with best effort, so an entry may be missing. */
export class AuditLog {
  private readonly _entries: AuditEntry[] = []

  constructor (private readonly _client: services.ILogClient, private readonly _output: services.IOutput) {}

  /** Reads everything that the log holds now. No verdict depends on the stream, so a failure is only a remark. */
  public async read (): Promise<void> {
    for (let offset = 0; ;) {
      const page = await this._client.read('audit', offset)
      if (page.isErr()) {
        this._output.note(`The audit stream was not read to its end. ${page.error.message}`)
        return
      }
      this._entries.push(...page.value.records.map(record => record.data).filter(isObject))
      const last = page.value.records.at(-1)
      if (last === undefined || last.offset < offset) return
      offset = last.offset + 1
    }
  }

  /**
   * Everything about a proposal: its own entries and, if it was accepted, where its version was enforced. The version
   * is that of the accepted record in the `config` stream; without one the audit stream may still tell it.
   */
  public entriesOf (proposalId: string, acceptedVersion: number | undefined): readonly AuditEntry[] {
    const own = this._entries.filter(entry => entry['proposalId'] === proposalId)
    const version = acceptedVersion ?? own.find(entry => entry['kind'] === 'accepted')?.['version']
    return [...own, ...this._enforced(version)]
  }

  /** One row per zone, although each reader of a zone may append a summary of its own. */
  public enforcementOf (version: number): readonly ZoneEnforcement[] {
    const zones = new Map<string, ZoneEnforcement>()
    for (const { zone, count, firstAtMs, lastAtMs } of this._enforced(version)) {
      const known = zones.get(zone)
      zones.set(zone, {
        zone,
        nodes: Math.max(known?.nodes ?? 0, count),
        firstAtMs: Math.min(known?.firstAtMs ?? firstAtMs, firstAtMs),
        lastAtMs: Math.max(known?.lastAtMs ?? lastAtMs, lastAtMs)
      })
    }
    return [...zones.values()].sort((a, b) => a.zone < b.zone ? -1 : 1)
  }

  private _enforced (version: unknown): readonly EnforcedEntry[] {
    return this._entries.filter(isEnforced).filter(entry => entry.version === version)
  }
}

function isEnforced (entry: AuditEntry): entry is EnforcedEntry {
  return entry['kind'] === 'enforced' && typeof entry['zone'] === 'string' &&
    ['version', 'count', 'firstAtMs', 'lastAtMs'].every(name => Number.isSafeInteger(entry[name]))
}

function isObject (value: unknown): value is AuditEntry {
  return typeof value === 'object' && value !== null
}
