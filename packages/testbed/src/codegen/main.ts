/** Writes the generated modules. Run by `npm run generate`. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as checkModules from './CheckModules.js'

for (const module of checkModules.CHECK_MODULES) {
  const file = checkModules.sourceFileOf(module)
  fs.mkdirSync(path.dirname(file), { recursive: true })
  fs.writeFileSync(file, checkModules.sourceTextOf(module))
}
