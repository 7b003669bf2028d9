import * as assert from 'node:assert/strict'
import * as cli from './Cli.js'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as testEnvironment from './TestEnvironment.js'
import type * as config from '@elmpost/common/config/Types.js'

const PAGE = new URL('../../../docs/cli.md', import.meta.url)

/** A command with the output that the page shows, and the faults of the log named in a comment above it. */
interface Example {
  readonly faults: readonly testEnvironment.AppendFault[]
  readonly args: readonly string[]
  readonly output: string
  readonly exitCode: number
}

const EXAMPLE = /(?:<!-- log: (?<faults>[\w -]*) -->\n)?```console\n\$ elmpost (?<args>.*)\n(?<output>[^]*?)\$ echo \$\?\n(?<exitCode>\d)\n```/g

function examples (page: string): Example[] {
  return [...page.matchAll(EXAMPLE)].map(({ groups = {} }) => ({
    faults: (groups['faults'] ?? '').split(' ').filter(fault => fault !== '') as testEnvironment.AppendFault[],
    args: (groups['args'] ?? '').split(' '),
    output: groups['output'] ?? '',
    exitCode: Number(groups['exitCode'])
  }))
}

/** The files that the page describes. */
function files (): Record<string, string> {
  const reference = fs.readFileSync(new URL('configuration.md', PAGE), 'utf8')
  const first = JSON.parse(/```json\n([^]*?)```/.exec(reference)?.[1] ?? '') as config.ConfigDocument
  const vault = { name: 'vault', slots: 15, connections: 120, coldStartMs: 1000 }
  const second = {
    ...first,
    services: [...first.services.map(service => ({ ...service, slots: 20 })), vault],
    targets: [...first.targets, { service: 'vault', zones: ['vake', 'didube'] }]
  }
  const broken = {
    ...first,
    services: first.services.map(({ slots, ...service }) => ({ ...service, slotts: slots })),
    terms: { ...first.terms, drainMs: -1 }
  }
  const third = { ...second, terms: { ...second.terms, drainMs: 20_000 } }
  return {
    'kartuli.json': JSON.stringify(first),
    'kartuli-2.json': JSON.stringify(second),
    'kartuli-3.json': JSON.stringify(third),
    'broken.json': JSON.stringify(broken)
  }
}

test.describe('docs/cli.md', () => {
  test.it('shows the output and exit codes of the commands, so that operators can rely on the page', async () => {
    const log = new testEnvironment.FakeLog()
    const enforcedAtMs = Date.UTC(2026, 0, 5, 9, 0, 0, 350)
    const enforced = { kind: 'enforced', zone: 'vake', version: 2, count: 1, firstAtMs: enforcedAtMs, lastAtMs: enforcedAtMs + 70 }
    log.streams.audit.push(enforced, { ...enforced, zone: 'nowhere', count: 4 })
    const nodes = new testEnvironment.FakeNodes([
      testEnvironment.fakeRow('till-1', 'vake', 3, 7071),
      testEnvironment.fakeRow('till-2', 'saburtalo', 2, 7171),
      testEnvironment.fakeRow('till-3', 'didube', 1, 7271, 'dead')
    ])
    const environment = new testEnvironment.TestEnvironment(log, files(), nodes)
    const shown = examples(fs.readFileSync(PAGE, 'utf8'))
    assert.ok(shown.length >= 10, `only ${shown.length} examples were found`)
    for (const { faults, args, output, exitCode } of shown) {
      log.faults = [...faults]
      environment.transcript = ''
      const actual = await new cli.Cli(environment).run(args)
      assert.deepEqual([args, environment.transcript, actual], [args, output, exitCode])
    }
  })
})
