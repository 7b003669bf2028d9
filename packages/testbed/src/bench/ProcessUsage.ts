import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const US_PER_S = 1e6
const BYTES_PER_KB = 1024
const BYTES_PER_MB = 1024 * 1024
/** Fields of `/proc/PID/stat` after the program name, which ends with the last bracket. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

/** CPU time and resident memory of another process, as Linux reports them. */
export class ProcessUsage {
  private static _ticksPerS: number | undefined

  constructor (private readonly _pid: number) {}

  public cpuUs (): number {
    const stat = fs.readFileSync(`/proc/${this._pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
    return ticks * US_PER_S / ProcessUsage._clockTicksPerS()
  }

  public residentMb (): number {
    const status = fs.readFileSync(`/proc/${this._pid}/status`, 'utf8')
    const residentKb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? NaN)
    return residentKb * BYTES_PER_KB / BYTES_PER_MB
  }

  private static _clockTicksPerS (): number {
    ProcessUsage._ticksPerS ??= Number(childProcess.execFileSync('getconf', ['CLK_TCK'], { encoding: 'utf8' }))
    return ProcessUsage._ticksPerS
  }
}
