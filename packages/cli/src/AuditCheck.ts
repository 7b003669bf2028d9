/**
 * Compares records of the `audit` stream with the `config` stream and with the member table of a node. The log has no
 * signatures and anybody can append to it, so a record that nothing else supports is unconfirmed.
 */
import type * as base from '@elmpost/common/base/Types.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as membership from '@elmpost/common/membership/Types.js'

/** Largest accepted difference between the clocks of an operator and a node. */
const MAX_CLOCK_DIFFERENCE_MS = 2_000
/** Verdicts of a command line that does not know enough of the log. */
const NOT_JUDGED: ReadonlySet<config.VerdictKind> = new Set(['not-judged', 'unsupported-rules'])

/** The nodes of a zone that put a version into force, as one or more records tell it. */
export interface ZoneEnforcement {
  readonly zone: string
  readonly version: number
  readonly nodes: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

/** What is known about an accepted version without the audit stream. */
export interface VersionFacts {
  readonly proposedAtMs: base.Millis
  readonly nowMs: base.Millis
  /** Rows of the member table of a node; undefined if no node answered. */
  readonly members: readonly membership.MemberRow[] | undefined
}

/** What the `config` stream tells about a proposal. */
export interface ProposalFacts {
  /** Records of the proposal with their verdicts; none if the stream does not hold it. */
  readonly records: ReadonlyArray<{ readonly offset: number, readonly version: number, readonly author: string, readonly verdict: config.VerdictKind }>
  /** Records before this offset are gone. */
  readonly firstOffset: number
}

/** Why a summary of enforcement is not confirmed; undefined if it is. */
export function enforcementProblem (summary: ZoneEnforcement, facts: VersionFacts): string | undefined {
  const { zone, version, nodes, firstAtMs, lastAtMs } = summary
  if (nodes < 1) return 'it counts no node'
  if (firstAtMs > lastAtMs) return 'its last time is before its first time'
  if (firstAtMs < facts.proposedAtMs - MAX_CLOCK_DIFFERENCE_MS) return 'its time is before that of the proposal'
  if (lastAtMs > facts.nowMs + MAX_CLOCK_DIFFERENCE_MS) return 'its time is in the future'
  if (facts.members === undefined) return 'no node answered'
  const known = facts.members.filter(row => row.zone === zone && row.enforcedVersion >= version).length
  return known < nodes ? `the nodes know ${known} members of the zone with this version` : undefined
}

/** Why a record about a proposal is not confirmed; undefined if it is. */
export function proposalProblem (record: Readonly<Record<string, unknown>>, { records, firstOffset }: ProposalFacts): string | undefined {
  if (record['kind'] === 'proposed') {
    return records.some(({ version, author }) => record['version'] === version && record['author'] === author)
      ? undefined
      : 'the config stream holds no such proposal'
  }
  if (records.length === 0) return isDropped(record, firstOffset) ? 'the log has dropped the proposal' : 'the config stream holds no such proposal'
  const told = records.find(({ offset }) => offset === record['offset'])
  if (told === undefined) return 'the config stream does not hold the proposal at that offset'
  if (NOT_JUDGED.has(told.verdict)) return 'this command line cannot judge the proposal'
  return (told.verdict === 'accepted') === (record['kind'] === 'accepted') && told.version === record['version']
    ? undefined
    : 'the config stream gives another verdict'
}

/** Whether a verdict is about a record that the log no longer holds, so that nothing contradicts it. */
export function isDropped (record: Readonly<Record<string, unknown>>, firstOffset: number): boolean {
  const offset = record['offset']
  return Number.isSafeInteger(offset) && Number(offset) >= 0 && Number(offset) < firstOffset
}
