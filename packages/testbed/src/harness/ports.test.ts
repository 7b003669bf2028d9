import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as net from 'node:net'
import * as ports from './ports.js'
import * as test from 'node:test'
import type * as stream from 'node:stream'

const OTHER_RUNS = 5
const PORTS_OF_A_RUN = 1_900
/** Prints the ports that it finds and listens on none of them, like a run whose processes have not started yet. */
const OTHER_RUN = `
  const ports = await import(${JSON.stringify(new URL('./ports.js', import.meta.url).href)})
  console.log(JSON.stringify(await ports.findFreePorts(${PORTS_OF_A_RUN})))
  setInterval(() => {}, 1000)
`

test.describe('findFreePorts', () => {
  test.it('returns distinct ports outside the range of outgoing connections, so that a process can still listen on them later', async () => {
    const found = await ports.findFreePorts(50)
    assert.equal(new Set(found).size, 50)
    assert.ok(found.every(port => port < 32_768))
  })

  test.it('skips ports in use', async () => {
    const [first = 0] = await ports.findFreePorts(1)
    const server = net.createServer().listen(first + 1, '127.0.0.1')
    try {
      const [second = 0] = await ports.findFreePorts(1)
      assert.equal(second, first + 2)
    } finally {
      server.close()
    }
  })

  // Guards against a process that cannot start because another run on the machine has chosen the same port in the meantime.
  test.it('returns no port that another run has found but not used yet', async () => {
    const children = Array.from({ length: OTHER_RUNS }, () => childProcess.spawn(process.execPath, ['--input-type=module', '-e', OTHER_RUN], { stdio: ['ignore', 'pipe', 'inherit'] }))
    try {
      const found = await Promise.all([ports.findFreePorts(PORTS_OF_A_RUN), ...children.map(readPorts)])
      assert.equal(new Set(found.flat()).size, (OTHER_RUNS + 1) * PORTS_OF_A_RUN)
    } finally {
      for (const child of children) child.kill()
    }
  })
})

async function readPorts (child: childProcess.ChildProcessByStdio<null, stream.Readable, null>): Promise<number[]> {
  let text = ''
  for await (const part of child.stdout) {
    text += String(part)
    if (text.endsWith('\n')) break
  }
  return JSON.parse(text) as number[]
}
