import type * as base from '../base/Types.js'
import * as keys from './Keys.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Inherited windows are dropped when every key in them is older than the largest retention. */
const KEEP_INHERITED_MS = 7_200_000

export interface OwnedWindowsOptions {
  /** This process with the incarnation at which it started. */
  readonly self: types.PartitionOwner
  /** The incarnation now. A process raises it when it refutes a suspicion. */
  readonly currentIncarnation: () => base.Incarnation
  readonly table: services.IOwnershipTable
  /** Whether the `ownership` stream was read to its end after this process started. */
  readonly isCaughtUp: () => boolean
}

/** Whether this process owns a key, and up to which time of issue its memory of such keys has gaps. */
export type Ownership =
  | { readonly kind: 'own', readonly forgottenUntilMs: base.Millis }
  | { readonly kind: 'not-own', readonly retryAfterMs: base.Millis }

const OWN: Ownership = { kind: 'own', forgottenUntilMs: 0 }
const NOT_OWN: Ownership = { kind: 'not-own', retryAfterMs: 0 }

/**
 * The windows that this process may run keys of: its own by the table, those of its predecessor at the same address,
 * and those inherited from an owner that stopped.
 *
 * Windows of a predecessor are adopted only after the `ownership` stream was read to its end once. A predecessor that
 * handed its windows over has waited for its `release` record to be in the log before the successor took them whole, so
 * this process finds the record. Until then the successor owns only keys issued up to 2 s after the handover, and this
 * process answers `unknown` for all keys issued up to 2 s after its start, which is later on the same clock.
 */
export class OwnedWindows {
  private readonly _inherited = new Map<string, types.InheritedWindows>()

  constructor (private readonly _options: OwnedWindowsOptions) {}

  public ownershipOf (service: string, key: string, keyTimeMs: base.Millis): Ownership {
    const lookup = this._options.table.ownerOf(service, key).unwrapOr(undefined)
    if (lookup === undefined || lookup.kind === 'no-table') return NOT_OWN
    if (lookup.kind === 'beyond-horizon') return { kind: 'not-own', retryAfterMs: lookup.retryAfterMs }
    if (this._isOwn(lookup.owner)) return OWN
    for (const windows of this._inherited.values()) {
      if (covers(windows, lookup.owner, keyTimeMs)) return { kind: 'own', forgottenUntilMs: windows.forgottenUntilMs }
    }
    return NOT_OWN
  }

  /** What a successor of this process takes over besides its own windows. */
  public get inherited (): readonly types.InheritedWindows[] {
    return [...this._inherited.values()]
  }

  /** Whether the windows of the process were taken over, directly or from a node that had taken them over. */
  public hasInherited (from: types.PartitionOwner): boolean {
    return this._inherited.has(idOf(from))
  }

  public inherit (handover: types.Handover): void {
    this._take(handover, handover.forgottenUntilMs)
    // The stopping owner kept the keys of all its windows in one table, so its gaps count for all of them.
    for (const windows of handover.inherited) this._take(windows, handover.forgottenUntilMs)
  }

  public isThisProcess ({ nodeId, incarnation }: types.PartitionOwner): boolean {
    const { self, currentIncarnation } = this._options
    return nodeId === self.nodeId && incarnation >= self.incarnation && incarnation <= currentIncarnation()
  }

  public tick (nowMs: base.Millis): void {
    for (const [id, { atMs }] of this._inherited) {
      if (atMs + KEEP_INHERITED_MS <= nowMs) this._inherited.delete(id)
    }
  }

  private _take (windows: types.InheritedWindows, leastForgottenMs: base.Millis): void {
    const { from, atMs } = windows
    const id = idOf(from)
    const released = windows.released || this._inherited.get(id)?.released === true
    const forgottenUntilMs = Math.max(windows.forgottenUntilMs, leastForgottenMs)
    this._inherited.set(id, { from, atMs, released, forgottenUntilMs })
  }

  private _isOwn (owner: types.PartitionOwner): boolean {
    if (this.isThisProcess(owner)) return true
    const { self, table, isCaughtUp } = this._options
    if (owner.nodeId !== self.nodeId || owner.incarnation > self.incarnation) return false
    return isCaughtUp() && !table.isReleased(owner)
  }
}

function idOf ({ nodeId, incarnation }: types.PartitionOwner): string {
  return `${nodeId} ${incarnation}`
}

function covers (windows: types.InheritedWindows, owner: types.PartitionOwner, keyTimeMs: base.Millis): boolean {
  const { from, released, atMs } = windows
  if (owner.nodeId !== from.nodeId || owner.incarnation > from.incarnation) return false
  return released || keyTimeMs <= atMs + keys.MAX_KEY_AHEAD_MS
}
