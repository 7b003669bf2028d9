/** Public classes of the command line, for tests and tools that run it in their own process. */
export * from './Cli.js'
export * from './CliError.js'
export type * from './Services.js'
export * from './Types.js'
