import * as fs from 'node:fs'

const NS_PER_US = 1000
const BYTES_PER_KB = 1024
const BYTES_PER_MB = 1024 * 1024

/** CPU time and resident memory of another process, as Linux reports them. */
export class ProcessUsage {
  constructor (private readonly _pid: number) {}

  /**
   * Processor time of all threads. Read from `schedstat`, because `/proc/PID/stat` counts in ticks of 10 ms, which is
   * inaccurate for processes that a timer wakes.
   */
  public cpuUs (): number {
    let ns = 0
    for (const thread of fs.readdirSync(`/proc/${this._pid}/task`)) {
      ns += Number(fs.readFileSync(`/proc/${this._pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0])
    }
    return ns / NS_PER_US
  }

  public residentMb (): number {
    const status = fs.readFileSync(`/proc/${this._pid}/status`, 'utf8')
    const residentKb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? NaN)
    return residentKb * BYTES_PER_KB / BYTES_PER_MB
  }
}
