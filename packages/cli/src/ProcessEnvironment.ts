import * as consoleOutput from './ConsoleOutput.js'
import * as crypto from 'node:crypto'
import * as fs from 'node:fs/promises'
import * as fsSync from 'node:fs'
import * as httpAdminClient from './HttpAdminClient.js'
import * as httpLogClient from './HttpLogClient.js'
import * as os from 'node:os'
import * as streamConsumers from 'node:stream/consumers'
import * as timers from 'node:timers/promises'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const STANDARD_INPUT = '-'

/** The environment of a real process. */
export class ProcessEnvironment implements services.ICliEnvironment {
  public readonly variables = process.env
  public readonly clock: services.ICliClock = {
    nowMs: () => Date.now(),
    sleep: async durationMs => { await timers.setTimeout(durationMs) }
  }

  public readonly files: services.IFiles = {
    readText: async path => path === STANDARD_INPUT ? await streamConsumers.text(process.stdin) : await fs.readFile(path, 'utf8')
  }

  public readonly random: base.IRandom = {
    nextInt: bound => crypto.randomInt(bound),
    nextFloat: () => Math.random()
  }

  public get userName (): string {
    return os.userInfo().username
  }

  public get version (): string {
    const manifest = JSON.parse(fsSync.readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as { readonly version: string }
    return manifest.version
  }

  public newId (): string {
    return crypto.randomUUID()
  }

  public createOutput (format: types.OutputFormat, logger: services.ILogger): services.IOutput {
    return new consoleOutput.ConsoleOutput(format, text => process.stdout.write(text), text => process.stderr.write(text), logger)
  }

  /** Loaded on demand: `roarr` takes about 100 ms to load. */
  public async loadVerboseLogger (): Promise<services.ILogger> {
    const module = await import('./Logger.js')
    return new module.Logger(line => process.stderr.write(`${line}\n`))
  }

  public createLogClient (url: string, timeoutMs: base.Millis, logger: services.ILogger): services.ILogClient {
    return new httpLogClient.HttpLogClient(url, timeoutMs, logger)
  }

  public createAdminClient (timeoutMs: base.Millis, logger: services.ILogger): services.IAdminClient {
    return new httpAdminClient.HttpAdminClient(timeoutMs, logger)
  }
}
