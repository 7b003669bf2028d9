/** Interfaces to the log, nodes, files, clock and output that commands use, so that tests can run them in memory. */
import type * as base from '@elmpost/common/base/Types.js'
import type * as adminStatus from '@elmpost/common/node/AdminStatus.js'
import type * as results from 'ts-results-es'
import type * as cliError from './CliError.js'
import type * as types from './Types.js'

/** The log service. */
export interface ILogClient {
  append(stream: types.StreamName, data: unknown): Promise<types.AppendResult>
  read(stream: types.StreamName, fromOffset: number): Promise<results.Result<types.LogPage, cliError.CliError>>
}

/** The administration endpoints of nodes. */
export interface IAdminClient {
  fetchStatus(address: string): Promise<results.Result<adminStatus.AdminStatus, cliError.CliError>>
  /** Asks a node to start or to end its drain. */
  postAction(address: string, action: 'drain' | 'undrain'): Promise<results.Result<void, cliError.CliError>>
  /** Lifts the block of a request on all nodes. False if nothing is held against it. */
  unblock(address: string, fingerprint: string): Promise<results.Result<boolean, cliError.CliError>>
}

export interface ICliClock extends base.IClock {
  sleep(durationMs: base.Millis): Promise<void>
}

/** Records the steps of a command. */
export interface ILogger {
  log(level: types.LogLevel, event: string, context: types.LogContext): void
}

export interface IOutput extends ILogger {
  /** Prints the result of the command, as lines or as one JSON document. */
  printResult(value: unknown, lines: readonly string[]): void
  /** Prints a note that is not part of the result. */
  printNote(line: string): void
}

export interface IFiles {
  /** `-` is the standard input. */
  readText(path: string): Promise<string>
}

/** Services and values that the command line gets from its process. */
export interface ICliEnvironment {
  readonly files: IFiles
  readonly clock: ICliClock
  readonly random: base.IRandom
  readonly userName: string
  readonly version: string
  readonly variables: Readonly<Record<string, string | undefined>>
  newId(): string
  createOutput(format: types.OutputFormat, logger: ILogger): IOutput
  /** Writes JSON lines to the standard error. */
  loadVerboseLogger(): Promise<ILogger>
  createLogClient(url: string, timeoutMs: base.Millis, logger: ILogger): ILogClient
  createAdminClient(timeoutMs: base.Millis, logger: ILogger): IAdminClient
}
