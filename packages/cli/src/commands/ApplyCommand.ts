import * as appender from '../Appender.js'
import * as cliError from '../CliError.js'
import * as configLog from '../ConfigLog.js'
import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as documentFile from '../DocumentFile.js'
import * as digests from '@elmpost/common/base/Digest.js'
import * as proposalMaker from '@elmpost/common/config/ProposalMaker.js'
import * as recordDecoder from '@elmpost/common/config/RecordDecoder.js'
import * as types from '../Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as services from '../Services.js'

export interface ApplyOptions {
  readonly file: string
  readonly author: string | undefined
  /** Refuse to apply on any other version. */
  readonly baseVersion: number | undefined
  readonly attempts: number
}

type Proposal = config.ProposalRecord | config.DeltaProposalRecord

/** Result of an `apply`, as it is printed. */
interface ApplyResult {
  readonly outcome: types.ApplyOutcome
  readonly reason: string
  readonly exitCode: types.ExitCode
  readonly version: number | undefined
  readonly proposalId: string | undefined
}

/** Proposes a document and waits for the verdict. The outcome is exactly one of accepted, rejected and unknown. */
export class ApplyCommand {
  private readonly _log: configLog.ConfigLog
  private readonly _validator = new configValidator.ConfigValidator()

  constructor (
    private readonly _environment: services.ICliEnvironment,
    private readonly _client: services.ILogClient,
    private readonly _output: services.IOutput
  ) {
    this._log = new configLog.ConfigLog(_client, _output)
  }

  public async run (options: ApplyOptions): Promise<types.ExitCode> {
    const document = await documentFile.readDocument(this._environment.files, options.file)
    if (document.isErr()) return this._report(notSentResult(document.error), document.error.details)
    return this._report(await this._apply(document.value, options))
  }

  private async _apply (document: config.ConfigDocument, options: ApplyOptions): Promise<ApplyResult> {
    const read = await this._log.catchUp()
    if (read.isErr()) return notSentResult(read.error)
    if (this._log.gapReason !== undefined) return notSentResult(new cliError.CliError('unreachable', this._log.gapReason))
    const base = this._log.state
    const digest = digests.digestJson(document)
    if (options.baseVersion !== undefined && options.baseVersion !== (base?.version ?? 0)) {
      return notSentResult(new cliError.CliError('rejected', `Version ${base?.version ?? 0} is in force, not ${options.baseVersion}. Compare with 'elmpost diff ${options.file}' and apply again.`))
    }
    if (base !== undefined && base.digest === digest) {
      return { outcome: 'accepted', reason: 'The document is already in force; nothing was proposed.', exitCode: types.EXIT_CODES.ok, version: base.version, proposalId: undefined }
    }
    return await this._propose(this._proposal(document, digest, base, options), options)
  }

  private _proposal (document: config.ConfigDocument, digest: string, base: config.AcceptedState | undefined, options: ApplyOptions): Proposal {
    const origin = {
      proposalId: this._environment.newId(),
      author: options.author ?? this._environment.userName,
      proposedAtMs: this._environment.clock.nowMs()
    }
    return proposalMaker.makeProposal(this._validator, origin, base, { document, digest })
  }

  private async _propose (proposal: Proposal, options: ApplyOptions): Promise<ApplyResult> {
    if (recordDecoder.decodeRecord(proposal).kind === 'malformed') {
      return notSentResult(new cliError.CliError('invalid-input', `The author '${proposal.author}' is not one line of 1 to 128 characters. Name another one with --author.`))
    }
    // Printed before the send, so that an operator who interrupts the command can still ask for the verdict.
    this._output.printNote(`Sending proposal ${proposal.proposalId} on version ${proposal.baseVersion}.`)
    const sender = new appender.Appender(this._client, this._environment.clock, this._environment.random, options.attempts, this._output)
    const appended = await sender.append('config', proposal, async () => await this._isSettled(proposal))
    await this._appendAuditEntry(proposal)
    return await this._result(proposal, appended, options.attempts)
  }

  /** Whether the log already shows a verdict on the proposal, or that it can no longer be accepted. */
  private async _isSettled (proposal: Proposal): Promise<boolean> {
    const read = await this._log.catchUp()
    return read.isOk() && (this._log.verdictOf(proposal.proposalId) !== undefined || this._isSuperseded(proposal))
  }

  /** A proposal on an older version than the one in force can no longer be accepted. */
  private _isSuperseded (proposal: Proposal): boolean {
    return this._log.gapReason === undefined && (this._log.state?.version ?? 0) > proposal.baseVersion
  }

  private async _result (proposal: Proposal, appended: appender.AppendAttempts, attempts: number): Promise<ApplyResult> {
    const result = { version: proposal.version, proposalId: proposal.proposalId }
    if (appended.last.kind !== 'appended' && !appended.isUncertain) {
      const isRefused = appended.last.kind === 'refused'
      const exitCode = isRefused ? types.EXIT_CODES.rejected : types.EXIT_CODES.unreachable
      return { ...result, outcome: 'rejected', reason: `${appended.last.problem} The proposal was not sent to the log.`, exitCode }
    }
    const verdict = await this._verdict(proposal, attempts)
    if (verdict !== undefined) return { ...result, ...resultOf(verdict) }
    if (this._isSuperseded(proposal)) {
      return { ...result, outcome: 'rejected', reason: `Version ${this._log.state?.version} was accepted first. Compare with 'elmpost diff' and apply again.`, exitCode: types.EXIT_CODES.rejected }
    }
    return { ...result, outcome: 'unknown', reason: `${problemOf(appended.last)} It does not tell whether it holds the proposal.`, exitCode: types.EXIT_CODES.unknown }
  }

  /** Reads the log until the proposal is settled, at most `attempts` times. */
  private async _verdict (proposal: Proposal, attempts: number): Promise<config.Verdict | undefined> {
    for (let attempt = 1; ; attempt++) {
      if (await this._isSettled(proposal) || attempt >= attempts) return this._log.verdictOf(proposal.proposalId)
      const waitMs = READ_RETRY_INTERVAL_MS * attempt
      this._output.log('warn', 'read-retry', { attempt: attempt + 1, waitMs })
      await this._environment.clock.sleep(waitMs)
    }
  }

  /** Best effort: the verdict does not depend on the audit stream. */
  private async _appendAuditEntry (proposal: Proposal): Promise<void> {
    const { proposalId, version, baseVersion, digest, author, proposedAtMs } = proposal
    const entry: types.ProposedEntry = { kind: 'proposed', proposalId, version, baseVersion, digest, author, atMs: proposedAtMs }
    const appended = await this._client.append('audit', entry)
    if (appended.kind !== 'appended') this._output.printNote(`The audit stream may lack the entry of this proposal. ${appended.problem}`)
  }

  private _report (result: ApplyResult, details: readonly string[] = []): types.ExitCode {
    const { exitCode, outcome, reason, version, proposalId } = result
    const lines = [`${outcome}${version === undefined ? '' : ` version ${version}`}${proposalId === undefined ? '' : ` (proposal ${proposalId})`}`, reason, ...details]
    const remedy = `elmpost history --proposal ${proposalId}`
    if (outcome === 'unknown') lines.push(`Find out with: ${remedy}`)
    this._output.printResult({ outcome, reason, version, proposalId, details, ...(outcome === 'unknown' ? { findOutWith: remedy } : {}) }, lines)
    return exitCode
  }
}

/** Wait before the log is read again, multiplied by the number of the attempt. */
const READ_RETRY_INTERVAL_MS = 200

function problemOf (result: types.AppendResult): string {
  return result.kind === 'appended' ? `The log appended the proposal at offset ${result.offset}, but it cannot be read up to that offset.` : result.problem
}

/** Result if nothing was sent: the change certainly does not take effect. */
function notSentResult (error: cliError.CliError): ApplyResult {
  return { outcome: 'rejected', reason: error.message, exitCode: error.exitCode, version: undefined, proposalId: undefined }
}

function resultOf (verdict: config.Verdict): Pick<ApplyResult, 'outcome' | 'reason' | 'exitCode'> {
  switch (verdict.kind) {
    case 'accepted': return { outcome: 'accepted', reason: verdict.reason, exitCode: types.EXIT_CODES.ok }
    // Newer software, or a reader that knows more of the log, may still accept it.
    case 'unsupported-rules':
    case 'not-judged': return { outcome: 'unknown', reason: verdict.reason, exitCode: types.EXIT_CODES.unknown }
    default: return { outcome: 'rejected', reason: verdict.reason, exitCode: types.EXIT_CODES.rejected }
  }
}
