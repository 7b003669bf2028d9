import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as test from 'node:test'
import * as url from 'node:url'

const PROGRAM = url.fileURLToPath(new URL('../bin/elmpost-node.js', import.meta.url))
const SETTINGS = {
  nodeId: 'n1',
  institution: 'kartuli',
  zone: 'vake',
  callerAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  adminAddress: '127.0.0.1:0',
  logUrl: 'http://127.0.0.1:9'
}

test.describe('elmpost-node', () => {
  let directory: string

  test.beforeEach(() => { directory = fs.mkdtempSync(path.join(os.tmpdir(), 'elmpost-main-')) })
  test.afterEach(() => { fs.rmSync(directory, { recursive: true }) })

  function start (settings: object, ...args: readonly string[]): childProcess.ChildProcessWithoutNullStreams {
    const file = path.join(directory, 'settings.json')
    fs.writeFileSync(file, JSON.stringify(settings))
    return childProcess.spawn(process.execPath, [PROGRAM, '--settings', file, ...args])
  }

  /** Collects the output until the process has ended. */
  async function waitForExit (child: childProcess.ChildProcessWithoutNullStreams, onOutput: (output: string) => void = () => {}): Promise<{ code: unknown, output: string }> {
    let output = ''
    const collect = (part: Buffer): void => {
      output += String(part)
      onOutput(output)
    }
    child.stdout.on('data', collect)
    child.stderr.on('data', collect)
    const code = await new Promise(resolve => { child.once('close', resolve) })
    return { code, output }
  }

  test.it('checks settings without starting the node, and exits with 0 or 2', async () => {
    const valid = await waitForExit(start(SETTINGS, '--check'))
    assert.deepEqual([valid.code, /are valid/.test(valid.output)], [0, true])
    const invalid = await waitForExit(start({ ...SETTINGS, zone: '' }, '--check'))
    assert.deepEqual([invalid.code, invalid.output.includes('/zone')], [2, true])
  })

  test.it('exits with 0 after a signal, and completes its stop after a second signal', async () => {
    const child = start(SETTINGS)
    let signals = 0
    const { code, output } = await waitForExit(child, seen => {
      if (seen.includes('"started"') && signals === 0) signals = Number(child.kill('SIGTERM'))
      if (seen.includes('"stopping"') && signals === 1) signals += Number(child.kill('SIGTERM'))
    })
    assert.deepEqual([code, signals], [0, 2])
    assert.match(output, /"stopped"/)
  })

  test.it('prints a remedy when it cannot listen on an address', async () => {
    const { code, output } = await waitForExit(start({ ...SETTINGS, callerAddress: '203.0.113.1:1' }))
    assert.equal(code, 1)
    assert.match(output, /Check the addresses in the settings/)
  })
})
