import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as logWriter from './LogWriter.js'
import * as module from 'node:module'
import * as os from 'node:os'
import * as path from 'node:path'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const PATIENCE_MS = 20_000
/** The object that the library calls; the properties of an import cannot be replaced. */
const SHARED_FS = module.createRequire(import.meta.url)('node:fs') as typeof fs

test.describe('LogWriter', () => {
  let folder: string
  let file: string
  let writer: logWriter.LogWriter

  async function untilWritten (text: string): Promise<void> {
    for (let waitedMs = 0; waitedMs < PATIENCE_MS && fs.readFileSync(file, 'utf8') !== text; waitedMs += 10) await timers.setTimeout(10)
    assert.equal(fs.readFileSync(file, 'utf8'), text)
  }

  test.beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'log-'))
    file = path.join(folder, 'out')
    writer = new logWriter.LogWriter(fs.openSync(file, 'w'))
  })

  test.afterEach(() => { fs.rmSync(folder, { recursive: true }) })

  // Guards against a thread that is woken for each line of a node under load, also while writes take long.
  for (const writeMs of [0, 20]) {
    test.it(`writes the lines of a short time together when a write takes ${writeMs} ms`, async () => {
      let writes = 0
      const { write } = fs
      test.mock.method(SHARED_FS, 'write', (...values: unknown[]) => {
        writes += 1
        setTimeout(() => { Reflect.apply(write, fs, values) }, writeMs)
      })
      const beganAtMs = performance.now()
      let text = ''
      for (let line = 0; line < 100; line++) {
        writer.write(`line ${line}`)
        text += `line ${line}\n`
        await timers.setTimeout(2)
      }
      await untilWritten(text)
      test.mock.restoreAll()
      const elapsedMs = performance.now() - beganAtMs
      assert.ok(writes <= elapsedMs / logWriter.FLUSH_MS + 2, `${writes} writes in ${Math.round(elapsedMs)} ms`)
    })
  }

  test.it('writes a line that no other one follows, so that a quiet log is not held back', async () => {
    writer.write('first')
    await untilWritten('first\n')
    writer.write('second')
    await untilWritten('first\nsecond\n')
  })

  test.it('writes what is left at once when the process ends', () => {
    writer.write('last')
    writer.flushSync()
    assert.equal(fs.readFileSync(file, 'utf8'), 'last\n')
  })
})
