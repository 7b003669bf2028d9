/** Answer of `GET /admin/status`. */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as distribution from '../distribution/Types.js'
import type * as membership from '../membership/Types.js'

export interface AdminStatus {
  readonly self: membership.MemberRow
  readonly readiness: distribution.Readiness
  /** Version in force on this node; 0 if none. */
  readonly version: number
  /** Digest of the document in force; empty if none. */
  readonly digest: string
  /** Latest verdicts, oldest first. */
  readonly verdicts: readonly config.Verdict[]
  /** All rows of the member table, including the row of this node. */
  readonly members: readonly membership.MemberRow[]
  /** Time of the answer by the clock of the node. */
  readonly atMs: base.Millis
}
