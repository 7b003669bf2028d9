import * as documentFile from '../DocumentFile.js'
import * as types from '../Types.js'
import type * as services from '../Services.js'

/** Checks files without contacting anything. */
export class ValidateCommand {
  constructor (private readonly _environment: services.ICliEnvironment, private readonly _output: services.IOutput) {}

  public async run (paths: readonly string[]): Promise<types.ExitCode> {
    const reports = await Promise.all(paths.map(async file => {
      const document = await documentFile.readDocument(this._environment.files, file)
      if (document.isOk()) return { file, valid: true, message: `${file} is valid.`, problems: [] }
      return { file, valid: false, message: document.error.message, problems: document.error.details }
    }))
    this._output.printResult({ files: reports }, reports.flatMap(report => [report.message, ...report.problems]))
    return reports.every(report => report.valid) ? types.EXIT_CODES.ok : types.EXIT_CODES.invalidInput
  }
}
