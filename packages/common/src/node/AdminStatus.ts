/** Answer of `GET /admin/status`. */
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as distribution from '../distribution/Types.js'
import type * as membership from '../membership/Types.js'

export interface RestrictedRequest {
  /** Digest of method, host, path, caller and body. */
  readonly fingerprint: string
  readonly service: string
  /** `trial`: it runs alone on its target. `blocked`: it is refused. */
  readonly standing: string
  readonly crashes: number
  /** Since the last of these crashes. */
  readonly ageMs: base.Millis
}

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
  /** Requests that run alone on their targets or are refused, because targets have crashed with them. Only on direct nodes. */
  readonly restrictedRequests?: readonly RestrictedRequest[]
  /** Time of the answer by the clock of the node. */
  readonly atMs: base.Millis
}
