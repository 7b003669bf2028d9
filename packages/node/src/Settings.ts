import * as addresses from './Addresses.js'
import * as errors from './Errors.js'
import * as fs from 'node:fs'
import * as results from 'ts-results-es'
import * as settingsChecks from './generated/SettingsChecks.js'
import * as settingsSchema from './SettingsSchema.js'
import type * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import type * as types from './Types.js'

const ENVIRONMENT_PREFIX = 'ELMPOST_'

const DEFAULTS: Readonly<Record<string, unknown>> = {
  service: '',
  targetUrl: '',
  targetHealthPath: '/healthz',
  seeds: [],
  logLevel: 'info'
}

const REMEDIES: Readonly<Record<string, string>> = {
  required: 'Add the setting to the file or set its ELMPOST_ variable',
  additionalProperties: 'Remove it, or check its spelling against docs/operators.md',
  type: 'Give a value of that type',
  enum: 'Use one of trace, debug, info, warn, error, fatal'
}

const PATTERN_REMEDIES: Readonly<Record<string, string>> = {
  [settingsSchema.ADDRESS_PATTERN]: 'Write it as host:port, for example 127.0.0.1:7100',
  [settingsSchema.URL_PATTERN]: 'Write it as an http URL, for example http://127.0.0.1:7000',
  [settingsSchema.SETTINGS_SCHEMA.properties.targetUrl.pattern]: 'Write it as an http URL, for example http://127.0.0.1:8080, or leave it empty',
  [settingsSchema.SETTINGS_SCHEMA.properties.targetHealthPath.pattern]: 'Begin the path with /'
}
const NAME_REMEDY = 'Use letters, digits, dots, hyphens and underscores only'

type Environment = Readonly<Record<string, string | undefined>>

/** Reads the settings file, applies the environment and checks the result. */
export async function load (file: string, environment: Environment): Promise<results.Result<types.NodeSettings, errors.SettingsError>> {
  let text: string
  try {
    text = fs.readFileSync(file, 'utf8')
  } catch (error) {
    return refuse(file, [{ pointer: '', message: `the file cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown error'})`, remedy: 'Check the path given with --settings and its permissions' }])
  }
  return await parse(file, text, environment)
}

/** Checks the text of a settings file and reports all problems together. */
export async function parse (source: string, text: string, environment: Environment): Promise<results.Result<types.NodeSettings, errors.SettingsError>> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return refuse(source, [{ pointer: '', message: `it is not JSON: ${(error as Error).message}`, remedy: 'Correct the syntax at that position' }])
  }
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return refuse(source, [{ pointer: '', message: 'it is not a JSON object', remedy: 'Write the settings as fields of one object' }])
  }
  const settings = { ...DEFAULTS, ...value, ...overrides(environment) } as Record<string, unknown>
  const problems = [...await repeatedKeyProblems(text, value), ...schemaProblems(settings), ...ruleProblems(settings)]
  if (problems.length > 0) return refuse(source, problems)
  settings.announcedPeerAddress ??= settings.peerAddress
  return new results.Ok(settings as unknown as types.NodeSettings)
}

/** Name of the environment variable that overrides a setting. */
export function environmentNameOf (setting: string): string {
  return ENVIRONMENT_PREFIX + setting.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()
}

function overrides (environment: Environment): Record<string, unknown> {
  const found: Record<string, unknown> = {}
  for (const setting of Object.keys(settingsSchema.SETTINGS_SCHEMA.properties)) {
    const value = environment[environmentNameOf(setting)]
    if (value === undefined) continue
    found[setting] = setting === 'seeds' ? value.split(',').map(seed => seed.trim()).filter(seed => seed !== '') : value
  }
  return found
}

/** `JSON.parse` keeps the last value of a repeated key without an error. Text nested too deeply for the search fails the schema. */
async function repeatedKeyProblems (text: string, value: object): Promise<errors.SettingsProblem[]> {
  // Each key gives at least one match. The search for repeated keys takes 1 MB of memory, so it is loaded only if needed.
  if ((text.match(/"\s*:/g) ?? []).length <= Object.keys(value).length) return []
  const repeatedKeys = await import('@elmpost/common/config/RepeatedKeys.js')
  return results.Result.wrap(() => repeatedKeys.findRepeatedKeys(text)).unwrapOr([])
    .map(({ pointer, line }) => ({ pointer, message: `the key is repeated on line ${line}`, remedy: 'Remove one of the two' }))
}

function schemaProblems (settings: Record<string, unknown>): errors.SettingsProblem[] {
  const check = settingsChecks.CHECKS.settings
  if (check(settings)) return []
  return (check.errors ?? []).map(describe)
}

function describe (error: jsonSchema.SchemaError): errors.SettingsProblem {
  const params = error.params as { missingProperty?: string, additionalProperty?: string, pattern?: string }
  const name = params.missingProperty ?? params.additionalProperty
  const pointer = name === undefined ? error.instancePath : `${error.instancePath}/${name}`
  const message = error.keyword === 'required'
    ? 'it is missing'
    : error.keyword === 'additionalProperties' ? 'there is no such setting' : error.message ?? error.keyword
  const remedy = params.pattern === undefined ? REMEDIES[error.keyword] : PATTERN_REMEDIES[params.pattern] ?? NAME_REMEDY
  return { pointer, message, remedy: remedy ?? 'See docs/operators.md' }
}

/** Rules that involve more than one setting or the meaning of a value. */
function ruleProblems (settings: Record<string, unknown>): errors.SettingsProblem[] {
  const problems: errors.SettingsProblem[] = []
  const { adminAddress, service, targetUrl } = settings
  if (typeof adminAddress === 'string' && adminAddress.includes(':') && !addresses.isLoopback(adminAddress)) {
    problems.push({ pointer: '/adminAddress', message: 'it is not a loopback address', remedy: 'Use 127.0.0.1, [::1] or localhost; the endpoint has no access control' })
  }
  if (typeof service === 'string' && service !== '' && targetUrl === '') {
    problems.push({ pointer: '/targetUrl', message: 'it is empty although a service is set', remedy: 'Set the URL of the target beside the node, or leave service empty' })
  }
  for (const name of ['callerAddress', 'peerAddress', 'announcedPeerAddress', 'adminAddress']) problems.push(...portProblems(name, settings[name]))
  return problems
}

function portProblems (name: string, address: unknown): errors.SettingsProblem[] {
  if (typeof address !== 'string' || !(addresses.parse(address).port > 65_535)) return []
  return [{ pointer: `/${name}`, message: 'the port is above 65535', remedy: 'Use a port from 1 to 65535' }]
}

function refuse (source: string, problems: readonly errors.SettingsProblem[]): results.Err<errors.SettingsError> {
  return new results.Err(new errors.SettingsError(source, problems))
}
