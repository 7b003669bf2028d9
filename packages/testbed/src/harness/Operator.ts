import * as assert from 'node:assert/strict'
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

/** Result of a command that was run with `--output json`. */
export interface JsonResult extends CommandResult {
  readonly json: unknown
}

/** Runs the `elmpost` command line as an operator would. */
export class Operator {
  constructor (private readonly _name: string, private readonly _logUrl: string, private readonly _adminAddresses: readonly string[] = []) {}

  public async apply (file: string, ...options: readonly string[]): Promise<CommandResult> {
    return await this.run('apply', file, '--log-url', this._logUrl, '--author', this._name, ...options)
  }

  /** Runs a command with `--output json`. Fails unless its standard output is exactly one JSON document on one line. */
  public async runJson (...args: readonly string[]): Promise<JsonResult> {
    const result = await this.run(...args, '--output', 'json')
    assert.match(result.stdout, /^\{.*\}\n$/, `elmpost ${args.join(' ')}: ${JSON.stringify(result)}`)
    return { ...result, json: JSON.parse(result.stdout) }
  }

  public async run (...args: readonly string[]): Promise<CommandResult> {
    try {
      const { stdout, stderr } = await execFile(process.execPath, [CLI_PROGRAM, ...args], { env: { ...process.env, ELMPOST_LOG_URL: this._logUrl, ELMPOST_ADMIN: this._adminAddresses.join(',') } })
      return { exitCode: 0, stdout, stderr }
    } catch (error) {
      const failure = error as { code?: number, stdout?: string, stderr?: string }
      return { exitCode: failure.code ?? -1, stdout: failure.stdout ?? '', stderr: failure.stderr ?? String(error) }
    }
  }
}
