import * as childProcess from 'node:child_process'
import * as url from 'node:url'

const MAX_OUTPUT_LINES = 200
const FORCED_STOP_TIMEOUT_MS = 20_000
const DESCRIBED_LINES = 5

export interface ManagedProcessOptions {
  readonly name: string
  /** Module to run, relative to this package's `lib`, or an absolute path. */
  readonly modulePath: string
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
  /** Arguments of Node.js itself. */
  readonly execArgv?: readonly string[]
  readonly onMessage?: (message: unknown) => void
}

export interface ProcessExit {
  readonly code: number | null
  readonly signal: string | null
}

/** A process started by the testbed. Signals are sent to its own process id only. */
export class ManagedProcess {
  public readonly exited: Promise<ProcessExit>
  private readonly _child: childProcess.ChildProcess
  private readonly _lines: string[] = []
  private _exit: ProcessExit | undefined

  constructor (private readonly _options: ManagedProcessOptions) {
    this._child = childProcess.fork(resolveModule(_options.modulePath), [..._options.args], {
      env: { ...process.env, ..._options.env },
      execArgv: [..._options.execArgv ?? []],
      stdio: ['ignore', 'pipe', 'pipe', 'ipc']
    })
    this._child.stdout?.on('data', chunk => { this._addLines(String(chunk)) })
    this._child.stderr?.on('data', chunk => { this._addLines(String(chunk)) })
    if (_options.onMessage !== undefined) this._child.on('message', _options.onMessage)
    this.exited = new Promise(resolve => {
      this._child.once('exit', (code, signal) => {
        this._exit = { code, signal }
        resolve(this._exit)
      })
    })
  }

  public get name (): string {
    return this._options.name
  }

  public get isRunning (): boolean {
    return this._exit === undefined
  }

  public get pid (): number {
    return this._child.pid ?? 0
  }

  /** Last lines that the process wrote, for failure reports. */
  public get output (): readonly string[] {
    return this._lines
  }

  /** Describes how the process ended, if it has, and its last lines. */
  public describe (): string {
    const state = this._exit === undefined ? 'is running' : `ended with ${JSON.stringify(this._exit)}`
    return `${this.name} ${state}: ${this._lines.slice(-DESCRIBED_LINES).join('\n')}`
  }

  public send (message: object): void {
    this._child.send(message)
  }

  public signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this._child.kill(signal)
  }

  /** Signals the process to stop, and kills it if it is still running after `FORCED_STOP_TIMEOUT_MS`. */
  public async stop (signal: NodeJS.Signals = 'SIGTERM'): Promise<ProcessExit> {
    this.signal('SIGCONT')
    this.signal(signal)
    const timer = setTimeout(() => { this.signal('SIGKILL') }, FORCED_STOP_TIMEOUT_MS)
    const exit = await this.exited
    clearTimeout(timer)
    return exit
  }

  private _addLines (text: string): void {
    this._lines.push(...text.split('\n').filter(line => line !== ''))
    this._lines.splice(0, Math.max(0, this._lines.length - MAX_OUTPUT_LINES))
  }
}

function resolveModule (modulePath: string): string {
  if (modulePath.startsWith('/')) return modulePath
  return url.fileURLToPath(new URL(`../${modulePath}`, import.meta.url))
}
