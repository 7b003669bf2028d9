import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as soakRun from './SoakRun.js'
import * as test from 'node:test'
import * as url from 'node:url'

const ROOT = url.fileURLToPath(new URL('../../../../', import.meta.url))
const SEED = 1
/** Seed for which targets lose nearly all answers. */
const LOSING_SEED = 2
/** Seed with customers, in which calls with withdrawn keys enter at nodes in touch. */
const CUSTOMER_SEED = 13

test.describe('A short soak of the platform program', () => {
  let folder: string
  let program: string

  test.before(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'elmpost-soak-test-'))
    program = path.join(folder, 'elmpost-node.cjs')
    childProcess.execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${program}`], { cwd: ROOT })
  })

  test.after(() => { fs.rmSync(folder, { recursive: true }) })

  test.it('keeps the guarantees to callers and targets while faults overlap', async () => {
    const result = await new soakRun.SoakRun({ seed: SEED, nodeCount: 4, lengthMs: 5_000, faultCount: 6, program, folder }).run()
    assert.deepEqual(result.problems, [])
    assert.ok(result.answered > 100, `${result.answered} of ${result.calls} calls were answered`)
  })

  // Guards against a fleet that exceeds its retry bound when most sends fail; nested calls of retried runs count as retries.
  test.it('keeps the bound on retries while targets lose nearly all answers', async () => {
    const result = await new soakRun.SoakRun({ seed: LOSING_SEED, nodeCount: 6, lengthMs: 10_000, faultCount: 4, program, folder }).run()
    assert.deepEqual(result.problems, [])
  })

  // Guards against keys, names and limits of customers that hold only while all nodes are up and in touch.
  test.it('keeps the keys and limits of customers', async () => {
    const result = await new soakRun.SoakRun({ seed: CUSTOMER_SEED, nodeCount: 6, lengthMs: 8_000, faultCount: 6, program, folder }).run()
    assert.deepEqual(result.problems, [])
    assert.ok(result.answered > 100, `${result.answered} of ${result.calls} calls were answered`)
    // Without refusals of both kinds, neither keys nor limits were put to the test.
    for (const status of [401, 429]) assert.ok((result.statuses.get(status) ?? 0) > 0, `no call was answered with ${status}`)
  })
})
