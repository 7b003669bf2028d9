/** The modules that are generated from JSON Schemas; each exports one validation function per schema. */
import * as configSchema from '@elmpost/common/config/ConfigSchema.js'
import * as logAnswerSchemas from '@elmpost/node/LogAnswerSchemas.js'
import * as messageSchemas from '@elmpost/node/MessageSchemas.js'
import * as ownershipSchemas from '@elmpost/common/hosting/OwnershipSchemas.js'
import * as recordSchemas from '@elmpost/common/config/RecordSchemas.js'
import * as schemaCompiler from '@elmpost/common/base/SchemaCompiler.js'
import * as settingsSchema from '@elmpost/node/SettingsSchema.js'
import * as url from 'node:url'

const COMMON_BASE = '../base'
const NODE_BASE = '@elmpost/common/base'

export interface CheckModule {
  /** Path of the source file, relative to the folder `packages`. */
  readonly path: string
  /** Import path of the folder `base` of `packages/common`, as seen from the module. */
  readonly basePath: string
  /** Whether a check reports every error or only the first. */
  readonly allErrors: boolean
  readonly schemas: Readonly<Record<string, schemaCompiler.Schema>>
}

export const CHECK_MODULES: readonly CheckModule[] = [
  { path: 'common/src/generated/ConfigChecks.ts', basePath: COMMON_BASE, allErrors: true, schemas: { document: configSchema.CONFIG_SCHEMA } },
  { path: 'common/src/generated/ConfigRecordChecks.ts', basePath: COMMON_BASE, allErrors: false, schemas: recordSchemas.RECORD_SCHEMAS },
  { path: 'common/src/generated/OwnershipChecks.ts', basePath: COMMON_BASE, allErrors: false, schemas: ownershipSchemas.OWNERSHIP_SCHEMAS },
  { path: 'node/src/generated/SettingsChecks.ts', basePath: NODE_BASE, allErrors: true, schemas: { settings: settingsSchema.SETTINGS_SCHEMA } },
  { path: 'node/src/generated/LogAnswerChecks.ts', basePath: NODE_BASE, allErrors: false, schemas: logAnswerSchemas.LOG_ANSWER_SCHEMAS },
  { path: 'node/src/generated/MessageChecks.ts', basePath: NODE_BASE, allErrors: false, schemas: messageSchemas.MESSAGE_SCHEMAS }
]

/** Absolute path of the committed source file. */
export function sourceFileOf (module: CheckModule): string {
  return url.fileURLToPath(new URL(`../../../${module.path}`, import.meta.url))
}

/** Absolute path of the compiled module. */
export function compiledFileOf (module: CheckModule): string {
  return sourceFileOf({ ...module, path: module.path.replace('/src/', '/lib/').replace(/\.ts$/, '.js') })
}

export function compilerOf (module: CheckModule): schemaCompiler.SchemaCompiler {
  return new schemaCompiler.SchemaCompiler({ allErrors: module.allErrors })
}

/** Source text of the module. */
export function sourceTextOf (module: CheckModule): string {
  return compilerOf(module).moduleText(module.schemas, module.basePath)
}
