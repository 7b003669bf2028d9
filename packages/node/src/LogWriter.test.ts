import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as logWriter from './LogWriter.js'
import * as module from 'node:module'
import * as os from 'node:os'
import * as path from 'node:path'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const TIMEOUT_MS = 20_000
/** The module object that `sonic-boom` uses. Unlike those of an import, its properties can be mocked. */
const SHARED_FS = module.createRequire(import.meta.url)('node:fs') as typeof fs

test.describe('LogWriter', () => {
  let folder: string
  let file: string
  let writer: logWriter.LogWriter

  async function untilWritten (text: string): Promise<void> {
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS && fs.readFileSync(file, 'utf8') !== text; waitedMs += 10) await timers.setTimeout(10)
    assert.equal(fs.readFileSync(file, 'utf8'), text)
  }

  test.beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'log-'))
    file = path.join(folder, 'out')
    writer = new logWriter.LogWriter(fs.openSync(file, 'w'))
  })

  test.afterEach(() => { fs.rmSync(folder, { recursive: true }) })

  // Guards against one write, and so one wake-up of a thread, per line under load, with fast and with slow writes.
  for (const writeMs of [0, 20]) {
    test.it(`batches the lines of a flush interval when a write takes ${writeMs} ms`, async () => {
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
      assert.ok(writes <= elapsedMs / logWriter.FLUSH_INTERVAL_MS + 2, `${writes} writes in ${Math.round(elapsedMs)} ms`)
    })
  }

  test.it('writes a line that no other line follows, so that a quiet log is not delayed', async () => {
    writer.write('first')
    await untilWritten('first\n')
    writer.write('second')
    await untilWritten('first\nsecond\n')
  })

  test.it('writes pending lines synchronously in flushSync', () => {
    writer.write('last')
    writer.flushSync()
    assert.equal(fs.readFileSync(file, 'utf8'), 'last\n')
  })
})
