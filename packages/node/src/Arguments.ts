import * as results from 'ts-results-es'
import * as util from 'node:util'

export const USAGE = `elmpost-node --settings FILE [--check]

  --settings FILE  JSON settings of the node; ELMPOST_ variables override fields
  --check          check the settings and exit
  --help           show this text`

export interface Arguments {
  readonly settings: string
  readonly check: boolean
  readonly help: boolean
}

/** Parses the command line. */
export function parse (args: readonly string[]): results.Result<Arguments, Error> {
  try {
    const { values } = util.parseArgs({
      args: [...args],
      options: { settings: { type: 'string' }, check: { type: 'boolean' }, help: { type: 'boolean' } }
    })
    const { settings = '', check = false, help = false } = values
    if (settings === '' && !help) return new results.Err(new Error(`--settings is missing. Give the path of the settings file.\n\n${USAGE}`))
    return new results.Ok({ settings, check, help })
  } catch (error) {
    return new results.Err(new Error(`${(error as Error).message}\n\n${USAGE}`))
  }
}
