import type * as services from './Services.js'

/** The logger of commands without `--verbose`. */
export const SILENT_LOGGER: services.ILogger = { log () {} }
