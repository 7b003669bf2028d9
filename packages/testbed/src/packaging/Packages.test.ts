import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as test from 'node:test'
import * as url from 'node:url'
import * as util from 'node:util'

const ROOT = url.fileURLToPath(new URL('../../../../', import.meta.url))
const PUBLIC_PACKAGES = ['packages/common', 'packages/node', 'packages/cli', 'addons/addon-metrics']
const RELATIVE_IMPORT = /(?:from|import) ['"](\.[^'"]+)['"]/g
const NON_PUBLIC_FILE = /\.test\.|(^|\/)testing\/|(^|\/)(Test|Fake)[A-Z]\w*\.|tsbuildinfo$/

const execFile = util.promisify(childProcess.execFile)

/** Files that `npm publish` would include in the package. */
async function packedFiles (folder: string): Promise<readonly string[]> {
  const { stdout } = await execFile('npm', ['pack', '--dry-run', '--json', '--ignore-scripts'], { cwd: path.join(ROOT, folder) })
  const [packed] = JSON.parse(stdout) as { files: { path: string }[] }[]
  return packed?.files.map(file => file.path) ?? []
}

function missingImports (folder: string, files: readonly string[]): readonly string[] {
  const packed = new Set(files)
  return files.filter(file => file.endsWith('.js')).flatMap(file => {
    const text = fs.readFileSync(path.join(ROOT, folder, file), 'utf8')
    return [...text.matchAll(RELATIVE_IMPORT)].map(([, target = '']) => path.posix.join(path.posix.dirname(file), target))
      .filter(target => !packed.has(target))
  })
}

test.describe('Packages', () => {
  for (const folder of PUBLIC_PACKAGES) {
    test.it(`${folder} includes every file it imports and no test code, which would become public API`, async () => {
      const files = await packedFiles(folder)
      assert.ok(files.some(file => file.endsWith('.js')), 'the package has no code')
      assert.deepEqual(files.filter(file => NON_PUBLIC_FILE.test(file)), [])
      assert.deepEqual(missingImports(folder, files), [])
    })
  }
})
