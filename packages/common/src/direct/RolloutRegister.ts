import type * as base from '../base/Types.js'
import * as rolloutPlan from './RolloutPlan.js'
import type * as targetTable from './TargetTable.js'
import type * as types from './RolloutTypes.js'

/** A process that has just started may not have heard of an open order yet, and uses the version of most targets for this time. */
const START_MS = 5_000
/** After this time from the end of a completed roll-out, its old targets have stopped. Later ones of other versions are the operators' choice. */
const ENDED_MS = 30_000

export interface RolloutRegisterOptions {
  readonly table: targetTable.TargetTable
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
  readonly startedAtMs: base.Millis
}

interface Entry {
  readonly state: types.RolloutState
  /** Since when this node knows the phase. */
  readonly phaseSinceMs: base.Millis
  /** Versions of earlier orders that have not completed, and may be bad. */
  readonly avoided: readonly string[]
}

/** The newest order of each service as this node knows it, and the versions that calls may be sent to. */
export class RolloutRegister {
  private readonly _options: RolloutRegisterOptions
  private readonly _entries = new Map<string, Entry>()
  /** Part of a call to the new version that is due, by service. */
  private readonly _due = new Map<string, number>()

  constructor (options: RolloutRegisterOptions) {
    this._options = options
  }

  public get (service: string): types.RolloutState | undefined {
    return this._entries.get(service)?.state
  }

  public all (): types.RolloutState[] {
    return [...this._entries.values()].map(({ state }) => state)
  }

  /** Orders that have not ended. */
  public open (): types.RolloutState[] {
    return this.all().filter(({ phase }) => !rolloutPlan.isFinal(phase))
  }

  /** Whether targets of several versions of the service may be in use. The old ones stop some time after the end. */
  public isMixed (service: string): boolean {
    const entry = this._entries.get(service)
    return entry !== undefined && (!rolloutPlan.isFinal(entry.state.phase) || this._options.nowMs() - entry.phaseSinceMs <= ENDED_MS)
  }

  public phaseSinceMs (service: string): base.Millis {
    return this._entries.get(service)?.phaseSinceMs ?? Infinity
  }

  /** Takes over what is new in the state. Returns whether anything was. */
  public put (heard: types.RolloutState): boolean {
    const { service } = heard.order
    const entry = this._entries.get(service)
    const state = entry === undefined ? heard : rolloutPlan.merge(entry.state, heard)
    if (state === entry?.state) return false
    const isSame = entry !== undefined && rolloutPlan.isSameOrder(entry.state.order, state.order)
    const phaseSinceMs = isSame && entry.state.phase === state.phase ? entry.phaseSinceMs : this._options.nowMs()
    const avoided = entry === undefined || isSame ? entry?.avoided ?? [] : avoidedAfter(entry, state)
    this._entries.set(service, { state, phaseSinceMs, avoided })
    return true
  }

  /** Whether the next call for the service goes to the new version, so that it gets its share also of any short sequence of calls. */
  public draw (service: string): boolean {
    const state = this.get(service)
    if (state === undefined || state.isBad || state.share === 0) return false
    // Nodes begin at different points, because they would otherwise all send their first calls to one version.
    const due = (this._due.get(service) ?? this._options.random.nextFloat()) + state.share
    this._due.set(service, due >= 1 ? due - 1 : due)
    return due >= 1
  }

  /** Targets that a call may be sent to now. Undefined if all versions are used alike. */
  public choice (service: string, isDrawn: boolean): types.VersionChoice | undefined {
    const entry = this._entries.get(service)
    if (entry === undefined) return this._choiceAtStart(service)
    if (this._isLongDone(entry)) return undefined
    const { state, avoided } = entry
    const side = rolloutPlan.onlySide(state)
    const version = state.order.targetVersion
    if (side === undefined) return { version, isWanted: isDrawn, isOnly: false, avoided }
    return { version, isWanted: side === 'new', isOnly: true, avoided }
  }

  /** Whether a target of this version may run calls. Its host refuses them otherwise, for entry nodes that have not heard of the phase. */
  public mayRun (service: string, softwareVersion: string | undefined): boolean {
    const entry = this._entries.get(service)
    const side = entry === undefined ? undefined : rolloutPlan.onlySide(entry.state)
    if (entry === undefined || side === undefined || this._isLongDone(entry)) return true
    return (side === 'new') === (softwareVersion === entry.state.order.targetVersion)
  }

  /** A process that has started since may have heard of the end only now. */
  private _isLongDone ({ state: { phase, orderedAtMs, order }, phaseSinceMs }: Entry): boolean {
    const endedAtMs = Math.min(phaseSinceMs, orderedAtMs + order.rampMs)
    return phase === 'done' && this._options.nowMs() - endedAtMs > ENDED_MS
  }

  private _choiceAtStart (service: string): types.VersionChoice | undefined {
    const { table, nowMs, startedAtMs } = this._options
    if (nowMs() - startedAtMs > START_MS) return undefined
    const versions = new Map<string, { count: number, startedAtMs: base.Millis }>()
    for (const { softwareVersion, target } of table.ofService(service)) {
      if (softwareVersion === undefined) continue
      const known = versions.get(softwareVersion) ?? { count: 0, startedAtMs: Infinity }
      versions.set(softwareVersion, { count: known.count + 1, startedAtMs: Math.min(known.startedAtMs, target?.startedAtMs ?? Infinity) })
    }
    if (versions.size < 2) return undefined
    const [most] = [...versions].sort(([, one], [, other]) => other.count - one.count || one.startedAtMs - other.startedAtMs)
    return most === undefined ? undefined : { version: most[0], isWanted: true, isOnly: false, avoided: [] }
  }
}

/** Of those of the service, the rows that the choice allows. Those whose version is not known count as old if no other one does. */
export function select (rows: readonly targetTable.TargetRow[], { version, isWanted, isOnly, avoided }: types.VersionChoice, exclude: ReadonlySet<base.NodeId>): readonly targetTable.TargetRow[] {
  const ready = rows.filter(({ state, notice }) => state === 'ready' && notice?.isLeaving !== true)
  const wanted = ready.filter(({ softwareVersion }) => softwareVersion === version)
  const others = ready.filter(({ softwareVersion }) => softwareVersion !== undefined && softwareVersion !== version && !avoided.includes(softwareVersion))
  const unknown = ready.filter(({ softwareVersion }) => softwareVersion === undefined)
  const old = others.length > 0 ? others : unknown
  if (!isWanted) return old.length > 0 || isOnly ? old : wanted
  return isOnly || wanted.some(({ nodeId }) => !exclude.has(nodeId)) ? wanted : old
}

/** The version of an order that has not completed is not proven. An order of the past that is not known to be open may have completed. */
function avoidedAfter ({ state: { order, phase, isPast }, avoided }: Entry, next: types.RolloutState): readonly string[] {
  const isUsable = phase === 'done' || (isPast && phase === 'waiting')
  const all = isUsable ? avoided : [...avoided, order.targetVersion]
  return all.filter(version => version !== next.order.targetVersion)
}
