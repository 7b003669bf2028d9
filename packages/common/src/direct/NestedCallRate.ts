/** Older runs lose weight when a class has this many, so that a change of what the target calls is noticed. */
const MAX_RUNS = 200

interface Sample {
  runs: number
  readonly calls: Map<string, number>
}

/** How many nested calls a target makes to each service in one run, by the class of the run. */
export class NestedCallRate {
  private readonly _samples = new Map<number, Sample>()

  public recordRun (workClass: number): void {
    const sample = this._of(workClass)
    sample.runs += 1
    if (sample.runs <= MAX_RUNS) return
    sample.runs /= 2
    for (const [service, calls] of sample.calls) sample.calls.set(service, calls / 2)
  }

  public recordCall (workClass: number, service: string): void {
    const { calls } = this._of(workClass)
    calls.set(service, (calls.get(service) ?? 0) + 1)
  }

  /** Mean number of calls in a run, by service. */
  public * callsPerRun (workClass: number): Iterable<readonly [service: string, calls: number]> {
    const sample = this._samples.get(workClass)
    if (sample === undefined) return
    for (const [service, calls] of sample.calls) yield [service, calls / Math.max(1, sample.runs)]
  }

  private _of (workClass: number): Sample {
    let sample = this._samples.get(workClass)
    if (sample === undefined) {
      sample = { runs: 0, calls: new Map() }
      this._samples.set(workClass, sample)
    }
    return sample
  }
}
