import * as cliError from './CliError.js'
import * as results from 'ts-results-es'
import * as silentLogger from './SilentLogger.js'
import * as types from './Types.js'
import * as yargs from 'yargs'
import type * as services from './Services.js'

const DEFAULT_LOG_URL = 'http://127.0.0.1:7080'
const DEFAULT_ADMIN_ADDRESS = '127.0.0.1:7071'
const DEFAULT_TIMEOUT_MS = 5_000
const DEFAULT_ATTEMPTS = 5

const NUMBER_BOUNDS: ReadonlyArray<readonly [option: string, minimum: number, maximum: number]> = [
  ['timeout-ms', 1, 600_000],
  ['attempts', 1, 20],
  ['limit', 1, 1_000_000],
  ['base-version', 0, Number.MAX_SAFE_INTEGER],
  // Leaves room for later versions below the largest safe integer.
  ['as-version', 1, 2 ** 50]
]

type CommandResult = types.ExitCode | results.Result<types.ExitCode, cliError.CliError>
type Arguments = Readonly<Record<string, unknown>>

/**
 * Parses the command line and runs one command.
 * The modules of a command are loaded when it runs, so that help, completion and status do not wait until the validator is loaded.
 */
export class Cli {
  private _exitCode: types.ExitCode = types.EXIT_CODES.ok
  private _logger = silentLogger.SILENT_LOGGER

  constructor (private readonly _environment: services.ICliEnvironment) {}

  public async run (args: readonly string[]): Promise<types.ExitCode> {
    let printed = ''
    try {
      await this._parser().parseAsync([...args], {}, (_error, _argv, output) => { printed = output })
    } catch (error) {
      this._fail(error, args.includes('json') || args.includes('--output=json') ? 'json' : 'text')
    }
    if (printed !== '') this._environment.createOutput('text', this._logger).printResult(undefined, printed.split('\n'))
    return this._exitCode
  }

  private _parser (): yargs.Argv {
    const variables = this._environment.variables
    const parser = yargs.default()
      .detectLocale(false)
      .scriptName('elmpost')
      .version(this._environment.version)
      .usage('$0 <command>\n\nConfigures and inspects an elmpost mesh. An option that names an environment variable can be set by it.')
      .option('output', { choices: ['text', 'json'] as const, default: 'text' as const, describe: 'Form of the result', global: true })
      .option('log-url', { type: 'string', default: variables['ELMPOST_LOG_URL'] ?? DEFAULT_LOG_URL, describe: 'Log service (ELMPOST_LOG_URL)' })
      .option('admin', { type: 'string', array: true, default: (variables['ELMPOST_ADMIN'] ?? DEFAULT_ADMIN_ADDRESS).split(','), describe: 'host:port of the administration endpoint of any node; several are tried in order (ELMPOST_ADMIN, separated by commas)' })
      .option('timeout-ms', { type: 'number', default: DEFAULT_TIMEOUT_MS, describe: 'Limit of each request' })
      .option('verbose', { type: 'boolean', default: false, describe: 'Write requests, retries and verdicts to the standard error, as JSON lines' })
    return this._nodeCommands(this._logCommands(this._fileCommands(parser as yargs.Argv)))
      .completion('completion', 'Print a script for shell completion')
      .demandCommand(1, 'Name a command.')
      .check(checkOptions)
      .middleware(async argv => { if (argv['verbose'] === true) this._logger = await this._environment.loadVerboseLogger() })
      .strict()
      .recommendCommands()
      .wrap(null)
      .exitProcess(false)
      .fail((message, error) => { throw error ?? new cliError.CliError('invalid-input', `${/[.?]$/.test(message) ? message : `${message}.`} See 'elmpost --help'.`) })
  }

  private _fileCommands (parser: yargs.Argv): yargs.Argv {
    return parser
      .command('validate <files..>', 'Check files without contacting anything', {}, async argv => {
        const module = await import('./commands/ValidateCommand.js')
        this._handleResult(await new module.ValidateCommand(this._environment, this._output(argv)).run(argv['files'] as string[]), argv)
      })
      .command('diff <file> [other]', 'Show what a file changes against the version in force, or the changes from one file to another', {}, async argv => {
        const module = await import('./commands/DiffCommand.js')
        const [file, other] = [String(argv['file']), argv['other'] as string | undefined]
        const command = new module.DiffCommand(this._environment, this._output(argv))
        this._handleResult(await command.run(other === undefined ? undefined : file, other ?? file, () => this._log(argv)), argv)
      })
  }

  private _logCommands (parser: yargs.Argv): yargs.Argv {
    const attempts = { type: 'number', default: DEFAULT_ATTEMPTS, describe: 'Maximum number of sends of the same record' } as const
    return parser
      .command('apply <file>', 'Propose a file and wait for the verdict', {
        author: { type: 'string', describe: 'Name in the audit trail; the user name by default' },
        'base-version': { type: 'number', describe: 'Refuse to apply on any other version' },
        attempts
      }, async argv => {
        const module = await import('./commands/ApplyCommand.js')
        const command = new module.ApplyCommand(this._environment, this._log(argv), this._output(argv))
        this._handleResult(await command.run({
          file: String(argv['file']),
          author: argv['author'] as string | undefined,
          baseVersion: argv['base-version'] as number | undefined,
          attempts: Number(argv['attempts'])
        }), argv)
      })
      .command('history', 'Show who proposed what, when, on which base, the verdict, and where and when the version was enforced', {
        proposal: { type: 'string', describe: 'Show only the proposal with this id; the exit code shows its verdict' },
        limit: { type: 'number', default: 20, describe: 'Number of newest proposals' }
      }, async argv => {
        const module = await import('./commands/HistoryCommand.js')
        const command = new module.HistoryCommand(this._log(argv), this._admin(argv), this._environment.clock, this._output(argv))
        this._handleResult(await command.run({
          proposalId: argv['proposal'] as string | undefined,
          limit: Number(argv['limit']),
          addresses: argv['admin'] as string[]
        }), argv)
      })
      .command('recover <file>', 'Put a file in force when neither the log nor any node knows the version in force', {
        'as-version': { type: 'number', demandOption: true, describe: 'Number of the new version; above every version that was ever in force' },
        attempts
      }, async argv => {
        const module = await import('./commands/RecoverCommand.js')
        const command = new module.RecoverCommand(this._environment, this._log(argv), this._admin(argv), this._output(argv))
        this._handleResult(await command.run({
          file: String(argv['file']),
          asVersion: Number(argv['as-version']),
          addresses: argv['admin'] as string[],
          attempts: Number(argv['attempts'])
        }), argv)
      })
      .command('snapshot', 'Append the accepted state again, so that the log keeps it', { attempts }, async argv => {
        const module = await import('./commands/SnapshotCommand.js')
        const command = new module.SnapshotCommand(this._environment, this._log(argv), this._output(argv))
        this._handleResult(await command.run(Number(argv['attempts'])), argv)
      })
  }

  private _nodeCommands (parser: yargs.Argv): yargs.Argv {
    return parser
      .command('status', 'Show the version in force on each node', {
        check: { type: 'boolean', default: false, describe: `Exit with ${types.EXIT_CODES.stale} if a live node is behind` },
        log: { type: 'boolean', default: true, describe: 'Ask the log for the accepted version; --no-log asks the nodes only' }
      }, async argv => {
        const module = await import('./commands/StatusCommand.js')
        const command = new module.StatusCommand(this._admin(argv), this._output(argv))
        this._handleResult(await command.run(argv['admin'] as string[], argv['log'] === true ? this._log(argv) : undefined, argv['check'] === true), argv)
      })
      .command('drain <node>', 'Let a node finish its work and take no more', {}, async argv => { await this._drain(argv, 'drain') })
      .command('undrain <node>', 'Let a draining node take work again', {}, async argv => { await this._drain(argv, 'undrain') })
      .command('unblock <fingerprint>', 'Pass a request on again with which targets have crashed', {}, async argv => {
        const module = await import('./commands/UnblockCommand.js')
        const command = new module.UnblockCommand(this._admin(argv), this._output(argv))
        this._handleResult(await command.run(argv['admin'] as string[], String(argv['fingerprint'])), argv)
      })
  }

  private async _drain (argv: Arguments, action: 'drain' | 'undrain'): Promise<void> {
    const module = await import('./commands/DrainCommand.js')
    const command = new module.DrainCommand(this._admin(argv), this._output(argv))
    this._handleResult(await command.run(argv['admin'] as string[], String(argv['node']), action), argv)
  }

  private _log (argv: Arguments): services.ILogClient {
    return this._environment.createLogClient(String(argv['log-url']), Number(argv['timeout-ms']), this._logger)
  }

  private _admin (argv: Arguments): services.IAdminClient {
    return this._environment.createAdminClient(Number(argv['timeout-ms']), this._logger)
  }

  private _output (argv: Arguments): services.IOutput {
    return this._environment.createOutput(argv['output'] as types.OutputFormat, this._logger)
  }

  private _handleResult (result: CommandResult, argv: Arguments): void {
    if (typeof result === 'number') this._exitCode = result
    else if (result.isOk()) this._exitCode = result.value
    else this._fail(result.error, argv['output'] as types.OutputFormat)
  }

  private _fail (error: unknown, format: types.OutputFormat): void {
    const expected = error instanceof cliError.CliError ? error : undefined
    const message = error instanceof Error ? error.message : String(error)
    const details = expected?.details ?? []
    this._exitCode = expected?.exitCode ?? types.EXIT_CODES.internalError
    const output = this._environment.createOutput(format, this._logger)
    for (const line of [`elmpost: ${message}`, ...details]) output.printNote(line)
    if (format === 'json') output.printResult({ error: { kind: expected?.kind ?? 'internal-error', message, details } }, [])
  }
}

function checkOptions (argv: Arguments): true {
  for (const [name, minimum, maximum] of NUMBER_BOUNDS) {
    const value = argv[name]
    if (value === undefined || (Number.isInteger(value) && Number(value) >= minimum && Number(value) <= maximum)) continue
    throw new cliError.CliError('invalid-input', `--${name} must be one integer from ${minimum} to ${maximum}.`)
  }
  return true
}
