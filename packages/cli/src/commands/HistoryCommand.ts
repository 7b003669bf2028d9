import * as auditCheck from '../AuditCheck.js'
import * as auditLog from '../AuditLog.js'
import * as configDiff from '@elmpost/common/config/ConfigDiff.js'
import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as configLog from '../ConfigLog.js'
import * as nodeLookup from '../NodeLookup.js'
import * as patchedDocument from '@elmpost/common/config/PatchedDocument.js'
import * as recordDecoder from '@elmpost/common/config/RecordDecoder.js'
import * as results from 'ts-results-es'
import * as ruleSets from '@elmpost/common/config/RuleSets.js'
import * as types from '../Types.js'
import type * as cliError from '../CliError.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as membership from '@elmpost/common/membership/Types.js'
import type * as services from '../Services.js'

/** Documents of recent versions that are kept to compute changes; proposals on older bases are shown without changes. */
const MAX_KEPT_DOCUMENTS = 32

export interface HistoryOptions {
  readonly proposalId: string | undefined
  /** Number of newest entries to print. */
  readonly limit: number
  /** Administration addresses of nodes, to compare the audit stream with a member table. */
  readonly addresses: readonly string[]
}

type Proposal = config.ProposalRecord | config.DeltaProposalRecord

/** One proposal, as read from the log. */
interface HistoryEntry {
  readonly offset: number
  readonly proposalId: string
  readonly author: string
  readonly proposedAtMs: base.Millis
  readonly version: number
  readonly baseVersion: number
  readonly verdict: config.VerdictKind
  readonly reason: string
  /** Undefined if the base is no longer in the log or the document is not valid. */
  readonly changes: readonly configDiff.ConfigChange[] | undefined
}

/** Where and when the nodes of a zone put a version into force, as it is printed. */
interface Enforcement {
  readonly zone: string
  readonly nodes: number
  readonly firstAt: string
  readonly lastAt: string
  /** Why only the audit stream supports this; null if the nodes confirm it. */
  readonly unconfirmed: string | null
}

interface PrintedEntry extends Omit<HistoryEntry, 'proposedAtMs'> {
  readonly proposedAt: string
  /** Empty if the version was not accepted, or the audit stream has no record of it. */
  readonly enforced: readonly Enforcement[]
}

/** Shows who proposed what, when, on which base, the verdict, and where and when the version came into force. */
export class HistoryCommand {
  private readonly _log: configLog.ConfigLog
  private readonly _audit: auditLog.AuditLog
  private readonly _entries: HistoryEntry[] = []
  private readonly _validator = new configValidator.ConfigValidator()
  private readonly _documents = new Map<string, config.ConfigDocument>()

  private _members: readonly membership.MemberRow[] | undefined

  constructor (
    client: services.ILogClient,
    private readonly _admin: services.IAdminClient,
    private readonly _clock: services.ICliClock,
    private readonly _output: services.IOutput
  ) {
    this._log = new configLog.ConfigLog(client, _output, (record, before, verdict) => { this._handleRecord(record, before, verdict) })
    this._audit = new auditLog.AuditLog(client, _output)
  }

  public async run (options: HistoryOptions): Promise<results.Result<types.ExitCode, cliError.CliError>> {
    const read = await this._log.catchUp()
    if (read.isErr()) return read
    if (this._log.gapReason !== undefined) this._output.printNote(this._log.gapReason)
    await this._audit.read()
    await this._readMembers(options.addresses)
    if (options.proposalId !== undefined) return results.Ok(this._printProposal(options.proposalId))
    const entries = this._entries.slice(-options.limit).map(entry => this._printed(entry))
    this._output.printResult({ entries }, entries.length === 0 ? ['The log holds no proposals.'] : entries.flatMap(formatEntry))
    return results.Ok(types.EXIT_CODES.ok)
  }

  private async _readMembers (addresses: readonly string[]): Promise<void> {
    const status = await nodeLookup.fetchAnyStatus(this._admin, addresses)
    if (status.isOk()) this._members = status.value.members
    else this._output.printNote('No node answered, so where the versions were enforced is not confirmed. Name a running node with --admin.')
  }

  private _handleRecord (record: config.LogRecord, before: config.AcceptedState | undefined, verdict: config.Verdict): void {
    if (before !== undefined) this._keepDocument(before)
    const proposal = parseProposal(record.data)
    if (proposal === undefined) return
    this._entries.push({
      offset: record.offset,
      proposalId: proposal.proposalId,
      author: proposal.author,
      proposedAtMs: proposal.proposedAtMs,
      version: proposal.version,
      baseVersion: proposal.baseVersion,
      verdict: verdict.kind,
      reason: verdict.reason,
      changes: this._changes(proposal)
    })
  }

  /** Undefined if the changes cannot be computed; a document that was not accepted may have any content. */
  private _changes (proposal: Proposal): HistoryEntry['changes'] {
    const base = this._documents.get(proposal.baseDigest)
    if (base === undefined && proposal.baseVersion !== 0) return undefined
    const decoded = recordDecoder.decodeRecord(proposal)
    const patch = decoded.kind === 'proposal' ? decoded.patch : undefined
    return patch === undefined
      ? this._difference(base, proposal.document, proposal.rulesVersion)
      : this._difference(base, patchedDocument.applyPatch(base, patch).unwrapOr(undefined), ruleSets.CURRENT_RULES_VERSION)
  }

  private _difference (base: config.ConfigDocument | undefined, document: unknown, rulesVersion: number): HistoryEntry['changes'] {
    return this._validator.validate(document, rulesVersion)
      .map(valid => new configDiff.ConfigDiff().compare(base, valid))
      .unwrapOr(undefined)
  }

  private _keepDocument (state: config.AcceptedState): void {
    this._documents.delete(state.digest)
    this._documents.set(state.digest, state.document)
    const oldest = this._documents.keys().next()
    if (this._documents.size > MAX_KEPT_DOCUMENTS && oldest.done !== true) this._documents.delete(oldest.value)
  }

  /** A record that could not be judged when it was read may have been judged since. */
  private _withFirstVerdict (entry: HistoryEntry): HistoryEntry {
    const verdict = this._log.verdictOf(entry.proposalId)
    if (entry.verdict !== 'not-judged' || verdict === undefined || verdict.offset !== entry.offset) return entry
    return { ...entry, verdict: verdict.kind, reason: verdict.reason }
  }

  private _printed (entry: HistoryEntry): PrintedEntry {
    const judged = this._withFirstVerdict(entry)
    const zones = judged.verdict === 'accepted' ? this._audit.enforcementOf(this._acceptedVersion(entry)) : []
    const enforced = zones.map(({ value, problem }) => printedEnforcement(value, problem))
    const { proposedAtMs, ...shown } = judged
    return { ...shown, proposedAt: isoTime(proposedAtMs), enforced }
  }

  private _acceptedVersion ({ version, proposedAtMs }: HistoryEntry): auditLog.AcceptedVersion {
    return { version, proposedAtMs, nowMs: this._clock.nowMs(), members: this._members }
  }

  private _printProposal (proposalId: string): types.ExitCode {
    const records = this._entries.filter(entry => entry.proposalId === proposalId).map(entry => this._withFirstVerdict(entry))
    const accepted = records.find(entry => entry.verdict === 'accepted')
    const { firstOffset } = this._log
    const audit = this._audit.entriesOf(proposalId, { records, firstOffset }, accepted === undefined ? undefined : this._acceptedVersion(accepted))
    const verdict = accepted?.verdict ?? records[0]?.verdict ?? auditVerdict(audit, firstOffset)
    const outcome = outcomeOf(verdict)
    const entries = records.map(entry => this._printed(entry))
    const lines = [`${outcome} (proposal ${proposalId})`, ...entries.flatMap(formatEntry), ...audit.map(formatAudit)]
    if (verdict !== undefined && records.length === 0) lines.push('The log has dropped the proposal, so only the audit stream tells the verdict, and anybody can append to it.')
    if (verdict === undefined) lines.push('Neither the config stream nor the audit stream tells a verdict. The proposal may still arrive, or the log has dropped it. Compare with: elmpost diff FILE')
    const unconfirmed = audit.flatMap(({ problem }, index) => problem === undefined ? [] : [{ index, problem }])
    this._output.printResult({ proposalId, outcome, entries, audit: audit.map(({ value }) => value), unconfirmed }, lines)
    return EXIT_CODE_OF[outcome]
  }
}

const EXIT_CODE_OF: Readonly<Record<types.ApplyOutcome, types.ExitCode>> = {
  accepted: types.EXIT_CODES.ok,
  rejected: types.EXIT_CODES.rejected,
  unknown: types.EXIT_CODES.unknown
}

function outcomeOf (verdict: config.VerdictKind | undefined): types.ApplyOutcome {
  if (verdict === 'accepted') return 'accepted'
  return verdict === undefined || verdict === 'not-judged' || verdict === 'unsupported-rules' ? 'unknown' : 'rejected'
}

/** The verdict that readers wrote to the audit stream, for proposals that the config stream has dropped. */
function auditVerdict (entries: ReadonlyArray<auditLog.CheckedEntry<auditLog.AuditEntry>>, firstOffset: number): config.VerdictKind | undefined {
  const kinds = entries.filter(({ value }) => auditCheck.isDropped(value, firstOffset)).map(({ value }) => value['kind'])
  if (kinds.includes('accepted')) return 'accepted'
  return kinds.includes('rejected') ? 'conflict' : undefined
}

/** Anybody can append to the log, so only records with the right types are listed. */
function parseProposal (data: unknown): Proposal | undefined {
  if (!isObject(data) || data['kind'] !== 'proposal') return undefined
  const hasTexts = ['proposalId', 'author', 'baseDigest'].every(name => typeof data[name] === 'string')
  const hasNumbers = ['version', 'baseVersion', 'proposedAtMs'].every(name => Number.isSafeInteger(data[name]))
  return hasTexts && hasNumbers ? data as unknown as Proposal : undefined
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null
}

function isoTime (timeMs: number): string {
  const time = new Date(timeMs)
  return Number.isNaN(time.getTime()) ? String(timeMs) : time.toISOString()
}

function formatEntry (entry: PrintedEntry): string[] {
  const head = `${entry.proposedAt} ${entry.verdict} version ${entry.version} on ${entry.baseVersion} by ${entry.author} (proposal ${entry.proposalId}, offset ${entry.offset})`
  const changes = entry.changes?.map(change => `    ${configDiff.formatChange(change)}`) ?? ['    (no changes shown: the base is no longer in the log, or the document is not valid)']
  const enforced = entry.enforced.map(formatEnforcement)
  return [head, ...(entry.verdict === 'accepted' ? [] : [`    ${entry.reason}`]), ...changes, ...enforced]
}

function formatEnforcement ({ zone, nodes, firstAt, lastAt, unconfirmed }: Enforcement): string {
  const text = `    enforced in ${zone} by ${nodes === 1 ? '1 node' : `${nodes} nodes`}, first ${firstAt}, last ${lastAt}`
  return unconfirmed === null ? text : `${text} (unconfirmed: ${unconfirmed})`
}

function formatAudit ({ value, problem }: auditLog.CheckedEntry<auditLog.AuditEntry>): string {
  return `audit${problem === undefined ? '' : ` (unconfirmed: ${problem})`}: ${JSON.stringify(value)}`
}

function printedEnforcement ({ zone, nodes, firstAtMs, lastAtMs }: auditCheck.ZoneEnforcement, problem: string | undefined): Enforcement {
  return { zone, nodes, firstAt: isoTime(firstAtMs), lastAt: isoTime(lastAtMs), unconfirmed: problem ?? null }
}
