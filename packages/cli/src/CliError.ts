import * as types from './Types.js'

export type CliErrorKind = 'invalid-input' | 'unreachable' | 'rejected' | 'unknown'

const EXIT_CODE_OF: Readonly<Record<CliErrorKind, types.ExitCode>> = {
  'invalid-input': types.EXIT_CODES.invalidInput,
  unreachable: types.EXIT_CODES.unreachable,
  rejected: types.EXIT_CODES.rejected,
  unknown: types.EXIT_CODES.unknown
}

/** An expected failure. The message names the remedy; `details` are printed below it. */
export class CliError extends Error {
  public override readonly name = 'CliError'

  constructor (public readonly kind: CliErrorKind, message: string, public readonly details: readonly string[] = []) {
    super(message)
  }

  public get exitCode (): types.ExitCode {
    return EXIT_CODE_OF[this.kind]
  }
}
