/**
 * Compares records of the `audit` stream with the `config` stream and with the member table of a node. The log has no
 * signatures and anybody can append to it, so a record that nothing else supports is unconfirmed.
 */
import type * as base from '@elmpost/common/base/Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as membership from '@elmpost/common/membership/Types.js'

/** Largest accepted difference between the clocks of an operator and a node. */
const MAX_CLOCK_DIFFERENCE_MS = 2_000
/** Verdicts of a command line that lacks earlier records of the log or does not support the rules of a proposal. */
const UNDECIDED_VERDICTS: ReadonlySet<config.VerdictKind> = new Set(['not-judged', 'unsupported-rules'])

/** The nodes of a zone that put a version into force, according to one or more audit records. */
export interface ZoneEnforcement {
  readonly zone: string
  readonly version: number
  readonly nodes: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

/** Facts about an accepted version from sources other than the audit stream. */
export interface VersionFacts {
  readonly proposedAtMs: base.Millis
  readonly nowMs: base.Millis
  /** Rows of the member table of a node; undefined if no node answered. */
  readonly members: readonly membership.MemberRow[] | undefined
}

/** Facts about a proposal from the `config` stream. */
export interface ProposalFacts {
  /** Records of the proposal with their verdicts; empty if the stream does not hold it. */
  readonly records: ReadonlyArray<{ readonly offset: number, readonly version: number, readonly author: string, readonly verdict: config.VerdictKind }>
  /** Offset of the oldest record that the log still holds. */
  readonly firstOffset: number
}

/** Returns why a summary of enforcement is not confirmed, or undefined if it is. */
export function enforcementProblem (summary: ZoneEnforcement, facts: VersionFacts): string | undefined {
  const { zone, version, nodes, firstAtMs, lastAtMs } = summary
  if (nodes < 1) return 'it counts no node'
  if (firstAtMs > lastAtMs) return 'its last time is before its first time'
  if (firstAtMs < facts.proposedAtMs - MAX_CLOCK_DIFFERENCE_MS) return 'its time is before that of the proposal'
  if (lastAtMs > facts.nowMs + MAX_CLOCK_DIFFERENCE_MS) return 'its time is in the future'
  if (facts.members === undefined) return 'no node answered'
  const knownNodes = facts.members.filter(row => row.zone === zone && row.enforcedVersion >= version).length
  return knownNodes < nodes ? `the nodes know ${knownNodes} members of the zone with this version` : undefined
}

/** Returns why a record about a proposal is not confirmed, or undefined if it is. */
export function proposalProblem (record: Readonly<Record<string, unknown>>, { records, firstOffset }: ProposalFacts): string | undefined {
  if (record['kind'] === 'proposed') {
    return records.some(({ version, author }) => record['version'] === version && record['author'] === author)
      ? undefined
      : 'the config stream holds no such proposal'
  }
  if (records.length === 0) return isDropped(record, firstOffset) ? 'the log has dropped the proposal' : 'the config stream holds no such proposal'
  const found = records.find(({ offset }) => offset === record['offset'])
  if (found === undefined) return 'the config stream does not hold the proposal at that offset'
  if (UNDECIDED_VERDICTS.has(found.verdict)) return 'this command line cannot judge the proposal'
  return (found.verdict === 'accepted') === (record['kind'] === 'accepted') && found.version === record['version']
    ? undefined
    : 'the config stream gives another verdict'
}

/** Whether a verdict refers to a record that the log has dropped, so that it can no longer be checked. */
export function isDropped (record: Readonly<Record<string, unknown>>, firstOffset: number): boolean {
  const offset = record['offset']
  return Number.isSafeInteger(offset) && Number(offset) >= 0 && Number(offset) < firstOffset
}
