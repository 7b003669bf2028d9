/** Types of the command line. */
import type * as base from '@elmpost/common/base/Types.js'
import type * as config from '@elmpost/common/config/Types.js'

/** Exit codes, documented in `docs/cli.md`. */
export const EXIT_CODES = {
  ok: 0,
  internalError: 1,
  rejected: 2,
  unknown: 3,
  invalidInput: 4,
  unreachable: 5,
  stale: 6
} as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]

export type OutputFormat = 'text' | 'json'

export type LogLevel = 'debug' | 'info' | 'warn'

export type LogContext = Readonly<Record<string, string | number | boolean>>

export type StreamName = 'config' | 'audit'

/** Result of an append. After `not-sent` the record is certainly not in the log; after `unknown` it may be. */
export type AppendResult =
  | { readonly kind: 'appended', readonly offset: number }
  | { readonly kind: 'refused', readonly problem: string }
  | { readonly kind: 'not-sent', readonly problem: string }
  | { readonly kind: 'unknown', readonly problem: string }

export interface LogPage {
  readonly records: readonly config.LogRecord[]
  /** Oldest offset still kept by the log. */
  readonly firstOffset: number
}

/** Entry that `apply` adds to the audit stream. */
export interface ProposedEntry {
  readonly kind: 'proposed'
  readonly proposalId: string
  readonly version: number
  readonly baseVersion: number
  readonly digest: string
  readonly author: string
  readonly atMs: base.Millis
}

/** The outcomes of `apply`. */
export type ApplyOutcome = 'accepted' | 'rejected' | 'unknown'
