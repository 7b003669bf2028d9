import type * as base from '../base/Types.js'
import type * as types from './Types.js'

/** Number of ended target starts, and of deregistrations of unknown targets, that are kept, so that a late announcement does not make one current again. */
const MAX_ENDED = 64

/** One start of the target beside this node. */
export interface RegisteredTarget extends types.KnownTarget {
  readonly sequence: number
}

export type AnnouncementResult = 'new' | 'changed' | 'unchanged' | 'outdated' | 'foreign'

/**
 * Tracks the target beside this node by its announcements. Announcements may be late, repeated or out of order, and a
 * target may start again under the same id.
 */
export class TargetRegister {
  private readonly _ended: string[] = []
  /** Targets that have deregistered before they were known, at starts that are not known. */
  private readonly _deregistered: string[] = []
  /** Last announcement of a start before one that is only known from a record. */
  private _earlier: { readonly key: string, readonly sequence: number } | undefined
  private _current: RegisteredTarget | undefined
  private _isConfirmed = false

  constructor (private readonly _service: string, private readonly _address: string) {}

  public get current (): RegisteredTarget | undefined {
    return this._current
  }

  /** Whether the current target has announced itself to this process. */
  public get isConfirmed (): boolean {
    return this._isConfirmed
  }

  /** Restores the target that an earlier process of this node knew. */
  public restore (target: types.KnownTarget): void {
    if (this._current !== undefined) return
    this._current = { ...target, isLeaving: this._takeDeregistered(target.targetId) || target.isLeaving, sequence: 0 }
  }

  public applyAnnouncement (announcement: types.Announcement): AnnouncementResult {
    if (announcement.service !== this._service || announcement.address !== this._address) return 'foreign'
    const { targetId, startedAtMs, sequence, slots, softwareVersion } = announcement
    const current = this._current
    const isLeaving = announcement.state === 'draining'
    if (this._ended.includes(startKey(targetId, startedAtMs))) return 'outdated'
    if (current === undefined || !(this._isConfirmed ? isEqual(current, announcement) : isSameStart(current, announcement))) {
      if (current !== undefined && this._isOutdated(current, announcement)) return 'outdated'
      if (current !== undefined) this._addEnded(current)
      return this._replace({ targetId, startedAtMs, sequence, slots, isLeaving: isLeaving || this._takeDeregistered(targetId), softwareVersion }, 'new')
    }
    if (this._isConfirmed && sequence <= current.sequence) return 'outdated'
    // A target that has announced that it is leaving does not become ready again in the same start.
    const next = { targetId, startedAtMs, sequence, slots, isLeaving: isLeaving || current.isLeaving, softwareVersion }
    const isChanged = next.isLeaving !== current.isLeaving || next.slots !== current.slots || next.softwareVersion !== current.softwareVersion
    return this._replace(next, isChanged ? 'changed' : 'unchanged')
  }

  /** Records that the target has ended or is about to end. False if it is not the current one; it may become known later. */
  public markLeaving (targetId: string, startedAtMs = 0): boolean {
    const current = this._current
    if (current === undefined || !isSameStart(current, { targetId, startedAtMs })) {
      if (!this._ended.some(key => key.endsWith(` ${targetId}`))) addBounded(this._deregistered, targetId)
      return false
    }
    const leaving = { ...current, startedAtMs: Math.max(current.startedAtMs, startedAtMs), isLeaving: true }
    this._current = leaving
    this._addEnded(leaving)
    return true
  }

  /** Clears the current target, because another one answers at its address. */
  public markDisplaced (): void {
    if (this._current !== undefined) this._addEnded(this._current)
    this._current = undefined
    this._isConfirmed = false
  }

  /**
   * Whether the announcement is a late one of an earlier start. A start that is only known from a record gives way to one that
   * goes on announcing itself meanwhile, because the clock may have been set back between the two.
   */
  private _isOutdated (current: RegisteredTarget, { targetId, startedAtMs, sequence }: types.Announcement): boolean {
    if (startedAtMs >= current.startedAtMs || (startedAtMs === 0 && !this._isConfirmed)) return false
    if (this._isConfirmed) return true
    const key = startKey(targetId, startedAtMs)
    const goesOn = this._earlier?.key === key && sequence > this._earlier.sequence
    this._earlier = { key, sequence }
    return !goesOn
  }

  private _replace (target: RegisteredTarget, result: AnnouncementResult): AnnouncementResult {
    this._current = target
    this._isConfirmed = true
    return result
  }

  private _addEnded (target: RegisteredTarget): void {
    addBounded(this._ended, startKey(target.targetId, target.startedAtMs))
  }

  /** Whether a target that becomes known has deregistered before. A later start under its id has not. */
  private _takeDeregistered (targetId: string): boolean {
    const at = this._deregistered.indexOf(targetId)
    if (at >= 0) this._deregistered.splice(at, 1)
    return at >= 0
  }
}

function addBounded (list: string[], value: string): void {
  if (!list.includes(value)) list.push(value)
  if (list.length > MAX_ENDED) list.shift()
}

/** Whether both may be the same start of a target. A start at an unknown time may be any start of that target. */
export function isSameStart (one: types.TargetStart, other: types.TargetStart): boolean {
  return one.targetId === other.targetId && (one.startedAtMs === 0 || other.startedAtMs === 0 || one.startedAtMs === other.startedAtMs)
}

function isEqual (one: types.TargetStart, other: types.TargetStart): boolean {
  return one.targetId === other.targetId && one.startedAtMs === other.startedAtMs
}

function startKey (targetId: string, startedAtMs: base.Millis): string {
  return `${startedAtMs} ${targetId}`
}
