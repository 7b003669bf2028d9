import * as assert from 'node:assert/strict'
import * as cli from './Cli.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as test from 'node:test'
import * as testEnvironment from './TestEnvironment.js'

async function run (log: testEnvironment.FakeLog, nodes: testEnvironment.FakeNodes, ...args: string[]): Promise<testEnvironment.TestEnvironment & { exitCode: number }> {
  const environment = new testEnvironment.TestEnvironment(log, { 'a.json': JSON.stringify(documents.testDocument()) }, nodes)
  const exitCode = await new cli.Cli(environment).run(args)
  return Object.assign(environment, { exitCode })
}

test.describe('Cli', () => {
  const nodes = new testEnvironment.FakeNodes([testEnvironment.fakeRow('till-1', 'vake', 1, 7071), testEnvironment.fakeRow('till-2', 'didube', 1, 7072)])
  const log = new testEnvironment.FakeLog()

  test.it('rejects unknown commands, options and values, so that a misspelt option is not ignored', async () => {
    for (const args of [[], ['aply', 'a.json'], ['apply'], ['apply', 'a.json', '--dry'], ['apply', 'a.json', '--attempts', '0'], ['history', '--limit', 'x'], ['status', '--output', 'xml']]) {
      assert.deepEqual([args, (await run(log, nodes, ...args)).exitCode], [args, 4])
    }
    assert.deepEqual(log.streams.config, [])
  })

  test.it('completes commands, so that shells can offer them', async () => {
    assert.match((await run(log, nodes, 'completion')).stdout, /elmpost --get-yargs-completions/)
  })

  test.it('prints errors as JSON too, so that scripts need no second parser', async () => {
    const { stdout, exitCode } = await run(log, nodes, 'drain', 'x', '--output', 'json')
    assert.deepEqual([exitCode, (JSON.parse(stdout) as { error: { kind: string } }).error.kind], [4, 'invalid-input'])
  })

  test.describe('validate', () => {
    test.it('reports each key that a file repeats, because the last value would silently win', async () => {
      const [first, ...rest] = JSON.stringify(documents.testDocument(), undefined, 2).replace('"slots":', '"slots": 1,\n"slots":').split('\n')
      const environment = new testEnvironment.TestEnvironment(log, { 'a.json': [first, '  "institution": "other",', ...rest].join('\n') }, nodes)
      assert.equal(await new cli.Cli(environment).run(['validate', 'a.json', '--output', 'json']), 4)
      const { files } = JSON.parse(environment.stdout) as { files: { problems: string[] }[] }
      assert.deepEqual(files[0]?.problems, [
        'a.json: /institution: The key is repeated on line 3. Remove one of the two.',
        'a.json: /services/0/slots: The key is repeated on line 8. Remove one of the two.'
      ])
    })

    test.it('reports a file that is nested too deeply as invalid, without a crash', async () => {
      const environment = new testEnvironment.TestEnvironment(log, { 'a.json': '['.repeat(50_000) + ']'.repeat(50_000) }, nodes)
      assert.equal(await new cli.Cli(environment).run(['validate', 'a.json']), 4)
    })
  })

  test.describe('--verbose', () => {
    test.it('writes retries and verdicts to the standard error only, so that scripts can parse the result', async () => {
      const lossy = new testEnvironment.FakeLog()
      lossy.faults = ['lost-request']
      const { stdout, stderr, exitCode } = await run(lossy, nodes, 'apply', 'a.json', '--output', 'json', '--verbose')
      assert.deepEqual([exitCode, (JSON.parse(stdout) as { outcome: string }).outcome], [0, 'accepted'])
      const steps = stderr.split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as { message: string, context: Record<string, unknown> })
      assert.deepEqual(steps.map(step => step.message), ['append-retry', 'verdict'])
      assert.deepEqual([steps[0]?.context['attempt'], steps[0]?.context['stream'], steps[1]?.context['verdict']], [2, 'config', 'accepted'])
    })

    test.it('writes no steps without the option, so that notes stay readable', async () => {
      assert.equal((await run(new testEnvironment.FakeLog(), nodes, 'history', '--output', 'json')).stderr, '')
    })
  })

  test.describe('status', () => {
    test.it('works without the log, so that operators see the nodes during an outage of the log', async () => {
      const down = new testEnvironment.FakeLog()
      down.isReadFailing = true
      const result = await run(down, nodes, 'status', '--check')
      assert.equal(result.exitCode, 0)
      assert.match(result.stderr, /it cannot be determined from the log/)
    })

    test.it('tries all addresses, so that one stopped node does not hide the others', async () => {
      assert.equal((await run(log, nodes, 'status', '--admin', '127.0.0.1:1', '127.0.0.1:7072')).exitCode, 0)
      assert.equal((await run(log, nodes, 'status', '--admin', '127.0.0.1:1')).exitCode, 5)
    })
  })

  test.describe('drain', () => {
    test.it('finds the named node through any other node, so that operators need no list of addresses', async () => {
      await run(log, nodes, 'drain', 'till-2')
      await run(log, nodes, 'undrain', 'till-2')
      assert.deepEqual(nodes.posts, ['127.0.0.1:7072 drain', '127.0.0.1:7072 undrain'])
    })
  })

  test.describe('unblock', () => {
    test.beforeEach(() => {
      nodes.restrictedRequests = [{ fingerprint: 'Zb3k', service: 'vault', standing: 'blocked', crashes: 3, ageMs: 61_000 }]
    })

    test.it('asks the first node that answers, which tells the others', async () => {
      assert.match((await run(log, nodes, 'status')).stdout, /request Zb3k: blocked, 3 crashes of vault, the last one 61 s ago/)
      const { exitCode } = await run(log, nodes, 'unblock', 'Zb3k', '--admin', '127.0.0.1:1', '--admin', '127.0.0.1:7072')
      assert.deepEqual([exitCode, nodes.posts.at(-1)], [0, '127.0.0.1:7072 unblock Zb3k'])
    })

    test.it('says that nothing is held against an unknown request, and that no node answers', async () => {
      assert.equal((await run(log, nodes, 'unblock', 'other', '--admin', '127.0.0.1:7072')).exitCode, 4)
      assert.equal((await run(log, nodes, 'unblock', 'Zb3k', '--admin', '127.0.0.1:1')).exitCode, 5)
    })
  })

  test.describe('recover', () => {
    test.it('puts a file into force when the log has dropped its records, so that a fleet can start again after a long stop', async () => {
      const expired = new testEnvironment.FakeLog()
      await run(expired, nodes, 'apply', 'a.json')
      assert.equal((await run(expired, nodes, 'recover', 'a.json', '--as-version', '9')).exitCode, 2)
      expired.firstOffset = 1
      assert.equal((await run(expired, nodes, 'apply', 'a.json')).exitCode, 5)
      assert.equal((await run(expired, nodes, 'recover', 'a.json', '--as-version', '1')).exitCode, 2)
      expired.faults = ['lost-request', 'lost-answer']
      assert.equal((await run(expired, nodes, 'recover', 'a.json', '--as-version', '9')).exitCode, 0)
      assert.match((await run(expired, nodes, 'apply', 'a.json')).stdout, /^accepted version 9/)
    })

    test.it('skips a record with an unsupported rules version, so that a forged one cannot block all changes', async () => {
      const blocked = new testEnvironment.FakeLog()
      blocked.streams.config.push({ ...documents.testProposal(1, undefined, documents.testDocument()), rulesVersion: 99 })
      assert.equal((await run(blocked, nodes, 'apply', 'a.json')).exitCode, 5)
      assert.equal((await run(blocked, nodes, 'recover', 'a.json', '--as-version', '2')).exitCode, 0)
      assert.match((await run(blocked, nodes, 'apply', 'a.json')).stdout, /^accepted version 2/)
    })
  })

  test.describe('snapshot', () => {
    test.it('appends the accepted state for late readers, and nothing if no version is in force', async () => {
      const fresh = new testEnvironment.FakeLog()
      assert.equal((await run(fresh, nodes, 'snapshot')).exitCode, 2)
      await run(fresh, nodes, 'apply', 'a.json')
      assert.equal((await run(fresh, nodes, 'snapshot')).exitCode, 0)
      fresh.firstOffset = 1
      assert.match((await run(fresh, nodes, 'diff', 'a.json')).stdout, /No changes against version 1/)
    })
  })
})
