import type * as base from '../base/Types.js'

const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 10_000
/** A node whose seeds do not answer counts as joined after this time, so that the first node of a mesh can start. */
const JOIN_WAIT_MS = 3_000
const MIN_PROBE_INTERVAL_MS = 10_000
/** Keeps the probes of all nodes to the seeds at about 5 messages per second at any fleet size. */
const PROBE_INTERVAL_PER_MEMBER_MS = 200

export interface SeedProbeOptions {
  readonly seeds: readonly string[]
  readonly random: base.IRandom
}

/** Decides when a seed from the settings is contacted: with short delays until one has answered, then at long intervals without end. */
export class SeedProbe {
  private readonly _seeds: readonly string[]
  private readonly _random: base.IRandom
  private _startedAtMs: base.Millis | undefined
  private _nextAtMs = 0
  private _tries = 0
  private _hasAnswer = false
  private _hasWaited = false

  constructor (options: SeedProbeOptions) {
    this._seeds = options.seeds
    this._random = options.random
    this._hasAnswer = options.seeds.length === 0
  }

  public get isJoined (): boolean {
    return this._hasAnswer || this._hasWaited
  }

  public handleAnswer (): void {
    this._hasAnswer = true
  }

  /** Address of the seed to contact now, if any. */
  public due (nowMs: base.Millis, memberCount: number): string | undefined {
    this._startedAtMs ??= nowMs
    if (nowMs - this._startedAtMs >= JOIN_WAIT_MS) this._hasWaited = true
    if (this._seeds.length === 0 || nowMs < this._nextAtMs) return undefined
    this._nextAtMs = nowMs + this._delayMs(memberCount)
    this._tries++
    return this._seeds[this._random.nextInt(this._seeds.length)]
  }

  private _delayMs (memberCount: number): base.Millis {
    if (this._hasAnswer) {
      const intervalMs = Math.max(MIN_PROBE_INTERVAL_MS, memberCount * PROBE_INTERVAL_PER_MEMBER_MS)
      return intervalMs / 2 + this._random.nextInt(intervalMs)
    }
    const ceilingMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(this._tries, 8))
    return FIRST_RETRY_MS / 2 + this._random.nextInt(ceilingMs)
  }
}
