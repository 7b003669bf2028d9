import type * as targetStandIn from '@elmpost/platform/standins/TargetStandIn.js'

/** From the third crash of a request until each undisturbed node has to know of it. */
const CONTACT_MS = 3_000
const CRASHES = 3
/** Runs of a harmful request later than that. */
const ALLOWED_RUNS = 3
const DOWN_MS = 1_000
const HARMFUL_NAME = 'harmful'

export type HarmfulRun = Pick<targetStandIn.TargetRun, 'path' | 'requestId' | 'atMs' | 'caller'>

export function harmfulPath (route: string): string {
  return `${route}${HARMFUL_NAME}`
}

/** Checks that requests with which targets crash are not passed on without end. They count apart for each service from which they come. */
export class HarmfulLedger {
  private readonly _crashesAtMs = new Map<string, number[]>()

  /** `isCalm`: whether the entry node of a request was undisturbed before the time. */
  constructor (private readonly _isCalm: (requestId: string, atMs: number) => boolean) {}

  /** Lets harmful requests end the target. `replace` starts another one after a time. */
  public instrument (target: targetStandIn.TargetStandIn, track: (replacing: Promise<void>) => void, replace: (downMs: number) => Promise<void>): void {
    target.crashesOn = path => path.endsWith(`/${HARMFUL_NAME}`)
    target.onCrash = run => {
      if (run !== undefined) this.recordCrash(run, performance.now())
      track(replace(DOWN_MS))
    }
  }

  public recordCrash (run: HarmfulRun, nowMs: number): void {
    this._crashesAtMs.set(keyOf(run), [...this._crashesAtMs.get(keyOf(run)) ?? [], nowMs])
  }

  public check (runs: readonly HarmfulRun[]): string[] {
    return [...this._crashesAtMs].flatMap(([key, atMs]) => {
      const boundMs = (atMs[CRASHES - 1] ?? Infinity) + CONTACT_MS
      const late = runs.filter(run => keyOf(run) === key && run.atMs > boundMs && this._isCalm(run.requestId, run.atMs))
      return late.length <= ALLOWED_RUNS ? [] : [`${key} ran ${late.length} times more later than ${CONTACT_MS} ms after its third crash; ${atMs.length} crashes`]
    })
  }
}

function keyOf ({ path, caller }: HarmfulRun): string {
  return `${path} from ${caller}`
}
