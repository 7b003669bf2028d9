import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import * as util from 'node:util'

const CLI_PROGRAM = url.fileURLToPath(new URL('../../../cli/bin/elmpost.js', import.meta.url))
const execFile = util.promisify(childProcess.execFile)

export interface CommandResult {
  readonly exitCode: number
  readonly stdout: string
  readonly stderr: string
}

/** Runs the `elmpost` command line as an operator would. */
export class Operator {
  constructor (private readonly _name: string, private readonly _logUrl: string) {}

  public async apply (file: string, ...options: readonly string[]): Promise<CommandResult> {
    return await this.run('apply', file, '--log-url', this._logUrl, '--author', this._name, ...options)
  }

  public async run (...args: readonly string[]): Promise<CommandResult> {
    try {
      const { stdout, stderr } = await execFile(process.execPath, [CLI_PROGRAM, ...args])
      return { exitCode: 0, stdout, stderr }
    } catch (error) {
      const failure = error as { code?: number, stdout?: string, stderr?: string }
      return { exitCode: failure.code ?? -1, stdout: failure.stdout ?? '', stderr: failure.stderr ?? String(error) }
    }
  }
}
