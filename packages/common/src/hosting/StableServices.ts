import type * as base from '../base/Types.js'
import type * as membership from '../membership/Types.js'

/** Services whose members have changed, with the time since which they have not changed again. */
export class StableServices {
  private readonly _changed = new Set<string>()
  private readonly _sinceMs = new Map<string, base.Millis>()

  constructor (private readonly _stableMs: base.Millis) {}

  public handleMemberChange (change: membership.MemberChange): void {
    const { previous, current } = change
    const same = previous !== undefined && previous.state === current.state &&
      previous.incarnation === current.incarnation && previous.service === current.service
    if (same) return
    this.markChanged(current.service)
    if (previous !== undefined) this.markChanged(previous.service)
  }

  public markChanged (service: string): void {
    if (service !== '') this._changed.add(service)
  }

  /** Services that have been stable long enough and were not settled since their last change. */
  public dueServices (nowMs: base.Millis): readonly string[] {
    for (const service of this._changed) this._sinceMs.set(service, nowMs)
    this._changed.clear()
    return [...this._sinceMs].filter(([, sinceMs]) => sinceMs + this._stableMs <= nowMs).map(([service]) => service)
  }

  /** Nothing is left to do for the service until its members change again. */
  public markSettled (service: string): void {
    this._sinceMs.delete(service)
  }
}
