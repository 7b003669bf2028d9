import * as cli from './Cli.js'
import * as processEnvironment from './ProcessEnvironment.js'

/** Runs the command line of this process. The exit code is set, so that output is written to the end. */
export async function main (): Promise<void> {
  process.exitCode = await new cli.Cli(new processEnvironment.ProcessEnvironment()).run(process.argv.slice(2))
}
