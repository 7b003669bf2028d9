import * as auditCheck from './AuditCheck.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

/** Anybody can append to the log, so a record may be any object. */
export type AuditEntry = Readonly<Record<string, unknown>>

/** A record, or a summary of records of one zone, with the reason why it is not confirmed (undefined if it is). */
export interface CheckedEntry<T> {
  readonly value: T
  readonly problem: string | undefined
}

/** An accepted version and the facts that audit records about it are checked against. */
export interface AcceptedVersion extends auditCheck.VersionFacts {
  readonly version: number
}

const NOT_ACCEPTED = 'the config stream holds no such version'

interface EnforcedEntry extends AuditEntry {
  readonly zone: string
  readonly version: number
  readonly count: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

/** The records of the `audit` stream. They are written on a best-effort basis, so an entry may be missing. */
export class AuditLog {
  private readonly _entries: AuditEntry[] = []

  constructor (private readonly _client: services.ILogClient, private readonly _output: services.IOutput) {}

  /** Reads the stream up to its present end. No verdict depends on it, so a failure is only printed as a note. */
  public async read (): Promise<void> {
    for (let offset = 0; ;) {
      const page = await this._client.read('audit', offset)
      if (page.isErr()) {
        this._output.printNote(`The audit stream was not read to its end. ${page.error.message}`)
        return
      }
      this._entries.push(...page.value.records.map(record => record.data).filter(isObject))
      const last = page.value.records.at(-1)
      if (last === undefined || last.offset < offset) return
      offset = last.offset + 1
    }
  }

  /**
   * Returns the entries of a proposal and, if it was accepted, the records of where its version was enforced. The
   * version is that of the accepted record in the `config` stream or, if that holds none, in the audit stream.
   */
  public entriesOf (proposalId: string, proposal: auditCheck.ProposalFacts, accepted: AcceptedVersion | undefined): ReadonlyArray<CheckedEntry<AuditEntry>> {
    const own = this._entries.filter(entry => entry['proposalId'] === proposalId)
      .map(value => ({ value, problem: auditCheck.proposalProblem(value, proposal) }))
    const version = accepted?.version ?? own.find(({ value }) => value['kind'] === 'accepted')?.value['version']
    const enforced = this._enforcedEntries(version)
      .map(value => ({ value, problem: accepted === undefined ? NOT_ACCEPTED : auditCheck.enforcementProblem(summaryOf(value), accepted) }))
    return [...own, ...enforced]
  }

  /**
   * Returns one row per zone, merged from the summaries that several readers of the zone may have appended.
   * Unconfirmed records get separate rows, so that they do not change the confirmed ones.
   */
  public enforcementOf (accepted: AcceptedVersion): ReadonlyArray<CheckedEntry<auditCheck.ZoneEnforcement>> {
    const rows = new Map<string, CheckedEntry<auditCheck.ZoneEnforcement>>()
    for (const summary of this._enforcedEntries(accepted.version).map(summaryOf)) {
      const problem = auditCheck.enforcementProblem(summary, accepted)
      const key = JSON.stringify([summary.zone, problem ?? ''])
      const existing = rows.get(key)?.value
      rows.set(key, { value: existing === undefined ? summary : merge(existing, summary), problem })
    }
    return [...rows].sort(([a], [b]) => a < b ? -1 : 1).map(([, row]) => row)
  }

  private _enforcedEntries (version: unknown): readonly EnforcedEntry[] {
    return this._entries.filter(isEnforced).filter(entry => entry.version === version)
  }
}

function summaryOf ({ zone, version, count, firstAtMs, lastAtMs }: EnforcedEntry): auditCheck.ZoneEnforcement {
  return { zone, version, nodes: count, firstAtMs, lastAtMs }
}

function merge (a: auditCheck.ZoneEnforcement, b: auditCheck.ZoneEnforcement): auditCheck.ZoneEnforcement {
  return {
    ...a,
    nodes: Math.max(a.nodes, b.nodes),
    firstAtMs: Math.min(a.firstAtMs, b.firstAtMs),
    lastAtMs: Math.max(a.lastAtMs, b.lastAtMs)
  }
}

function isEnforced (entry: AuditEntry): entry is EnforcedEntry {
  return entry['kind'] === 'enforced' && typeof entry['zone'] === 'string' &&
    ['version', 'count', 'firstAtMs', 'lastAtMs'].every(name => Number.isSafeInteger(entry[name]))
}

function isObject (value: unknown): value is AuditEntry {
  return typeof value === 'object' && value !== null
}
