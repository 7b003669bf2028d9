/** Steps for the command line, which runs as a separate process. */
import * as assert from 'node:assert/strict'
import * as fs from 'node:fs/promises'
import * as timers from 'node:timers/promises'
import * as cucumber from '@cucumber/cucumber'
import * as configurationSteps from './configurationSteps.js'
import * as operators from '../harness/Operator.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as meshWorld from './MeshWorld.js'

/** Generous limit for progress. */
const PROGRESS_TIMEOUT_MS = 20_000
const POLL_INTERVAL_MS = 200
const EXTRA_TIMEOUT_MS = 250
/** At 100 calls per second, each target of `till` receives about 14 calls in this time. */
const WORK_WINDOW_MS = 1000

interface Change {
  readonly subject: string
  readonly field: string
  readonly before: number
  readonly after: number
}

interface HistoryEntry {
  readonly proposalId: string
  readonly author: string
  readonly proposedAt: string
  readonly version: number
  readonly baseVersion: number
  readonly verdict: string
  readonly changes: readonly Change[]
  readonly enforced: ReadonlyArray<{ readonly zone: string, readonly nodes: number, readonly firstAt: string, readonly lastAt: string, readonly unconfirmed: string | null }>
}

interface Proposal {
  readonly outcome: string
  readonly audit: ReadonlyArray<{ readonly kind: string }>
}

interface Status {
  readonly newestVersion: number
  readonly live: number
  readonly converged: number
  readonly stale: readonly string[]
  readonly nodes: ReadonlyArray<{ readonly nodeId: string, readonly state: string, readonly version: number, readonly isStale: boolean }>
}

function getSession (world: meshWorld.MeshWorld): meshWorld.OperatorSession {
  if (world.session === undefined) throw new Error('the scenario must start with the step: the operator "nino" writes a file with longer timeouts')
  return world.session
}

async function run (world: meshWorld.MeshWorld, ...args: readonly string[]): Promise<operators.JsonResult> {
  return await getSession(world).operator.runJson(...args)
}

async function runSuccessfully (world: meshWorld.MeshWorld, ...args: readonly string[]): Promise<unknown> {
  const result = await run(world, ...args)
  assert.equal(result.exitCode, 0, JSON.stringify(result))
  return result.json
}

/** Repeats a command until its result passes the check. */
async function waitFor<Result> (read: () => Promise<Result>, isReached: (result: Result) => boolean): Promise<Result> {
  const startedAtMs = performance.now()
  for (;;) {
    const result = await read()
    if (isReached(result)) return result
    if (performance.now() - startedAtMs > PROGRESS_TIMEOUT_MS) throw new Error(`expected result not reached: ${JSON.stringify(result)}`)
    await timers.setTimeout(POLL_INTERVAL_MS)
  }
}

async function assertLongerTimeouts (world: meshWorld.MeshWorld, changes: readonly Change[]): Promise<void> {
  const document = JSON.parse(await fs.readFile(world.fleet.spec.configFile, 'utf8')) as config.ConfigDocument
  const expected = document.routes.map(({ name, timeoutMs }) => ({ subject: `route '${name}'`, field: 'timeoutMs', before: timeoutMs, after: timeoutMs + EXTRA_TIMEOUT_MS }))
  assert.deepEqual(changes.map(({ subject, field, before, after }) => ({ subject, field, before, after })), expected)
}

cucumber.Given('the operator {string} writes a file with longer timeouts', async function (this: meshWorld.MeshWorld, name: string) {
  this.session = {
    operator: new operators.Operator(name, this.fleet.logUrl, this.fleet.workers.map(worker => worker.adminAddress)),
    name,
    file: await configurationSteps.writeChangedFile(this, document => configurationSteps.withLongerTimeouts(document, EXTRA_TIMEOUT_MS)),
    brokenFile: await configurationSteps.writeChangedFile(this, document => ({ ...document, services: [] })),
    startedAtMs: Date.now()
  }
})

cucumber.Then('the file is valid', async function (this: meshWorld.MeshWorld) {
  const { file } = getSession(this)
  assert.deepEqual(await runSuccessfully(this, 'validate', file), { files: [{ file, valid: true, message: `${file} is valid.`, problems: [] }] })
})

cucumber.Then('the difference to version {int} is the timeout of every route', async function (this: meshWorld.MeshWorld, version: number) {
  const difference = await runSuccessfully(this, 'diff', getSession(this).file) as { against: string, version: number, changes: readonly Change[] }
  assert.deepEqual([difference.against, difference.version], [`version ${version}`, version])
  await assertLongerTimeouts(this, difference.changes)
})

cucumber.When('the operator applies the file on version {int}', async function (this: meshWorld.MeshWorld, version: number) {
  const { file, name } = getSession(this)
  this.lastCommand = await run(this, 'apply', file, '--author', name, '--base-version', String(version))
})

cucumber.Then('the status shows version {int} on every node', async function (this: meshWorld.MeshWorld, version: number) {
  const count = this.fleet.workers.length
  const result = await waitFor(async () => await run(this, 'status', '--check'), ({ exitCode, json }) => exitCode === 0 && (json as Status).live === count)
  const status = result.json as Status
  assert.deepEqual([status.newestVersion, status.converged, status.stale], [version, count, []])
  assert.deepEqual(status.nodes.map(node => node.nodeId), this.fleet.workers.map(worker => worker.nodeId).sort())
  for (const node of status.nodes) assert.deepEqual([node.nodeId, node.version, node.isStale], [node.nodeId, version, false])
})

cucumber.Then('the history names the operator, the base {int}, the difference, the verdict and the zones that enforced version {int}', async function (this: meshWorld.MeshWorld, base: number, version: number) {
  const { name, startedAtMs } = getSession(this)
  const { zones } = this.fleet.spec
  const read = async (): Promise<HistoryEntry | undefined> => (await runSuccessfully(this, 'history') as { entries: readonly HistoryEntry[] }).entries.at(-1)
  const entry = await waitFor(read, newest => newest?.enforced.length === zones.length && newest.enforced.every(zone => zone.unconfirmed === null))
  assert.ok(entry !== undefined)
  assert.deepEqual([entry.author, entry.baseVersion, entry.version, entry.verdict], [name, base, version, 'accepted'])
  await assertLongerTimeouts(this, entry.changes)
  assertBetween(startedAtMs, entry.proposedAt, Date.now())
  assert.deepEqual(entry.enforced.map(zone => zone.zone), [...zones].sort())
  for (const { zone, nodes, firstAt, lastAt } of entry.enforced) {
    assert.equal(nodes, this.fleet.workers.filter(worker => worker.zone === zone).length, `nodes in ${zone}`)
    assertBetween(Date.parse(entry.proposedAt), firstAt, Date.parse(lastAt))
    assertBetween(Date.parse(firstAt), lastAt, Date.now())
  }
  await waitFor(async () => await runSuccessfully(this, 'history', '--proposal', entry.proposalId) as Proposal, ({ outcome, audit }) =>
    outcome === 'accepted' && ['proposed', 'accepted', 'enforced'].every(kind => audit.some(record => record.kind === kind)))
})

cucumber.When(/^the operator (drains|undrains) "([^"]*)"$/, async function (this: meshWorld.MeshWorld, verb: string, nodeId: string) {
  const action = verb.replace(/s$/, '')
  assert.deepEqual(await runSuccessfully(this, action, nodeId), { nodeId, action, adminAddress: this.fleet.worker(nodeId).adminAddress })
})

cucumber.Then('the status shows {string} as {string}', async function (this: meshWorld.MeshWorld, nodeId: string, state: string) {
  const read = async (): Promise<Status> => await runSuccessfully(this, 'status') as Status
  await waitFor(read, status => status.nodes.some(node => node.nodeId === nodeId && node.state === state))
})

cucumber.Then('the target {string} gets no work', async function (this: meshWorld.MeshWorld, nodeId: string) {
  const before = this.ledger.runsOn(nodeId)
  assert.ok(before > 0, 'the target never received work, so the check proves nothing')
  await timers.setTimeout(WORK_WINDOW_MS)
  assert.equal(this.ledger.runsOn(nodeId), before)
})

cucumber.Then('the target {string} gets work', async function (this: meshWorld.MeshWorld, nodeId: string) {
  const before = this.ledger.runsOn(nodeId)
  await waitFor(async () => this.ledger.runsOn(nodeId), runs => runs > before)
})

cucumber.When('the operator appends version {int} as a snapshot', async function (this: meshWorld.MeshWorld, version: number) {
  const result = await runSuccessfully(this, 'snapshot') as { version: number, offset: number }
  assert.deepEqual([result.version, Number.isSafeInteger(result.offset)], [version, true])
})

cucumber.Then('the commands exit as follows', async function (this: meshWorld.MeshWorld, table: cucumber.DataTable) {
  const { file, brokenFile } = getSession(this)
  const rows = table.hashes().map(({ command = '', 'exit code': exitCode, result }) => ({ command, exitCode: Number(exitCode), result }))
  const actual = await Promise.all(rows.map(async ({ command }) => {
    const ended = await run(this, ...command.split(' ').map(word => word === 'FILE' ? file : word === 'BROKEN' ? brokenFile : word))
    return { command, exitCode: ended.exitCode, result: resultOf(ended.json) }
  }))
  assert.deepEqual(actual, rows)
})

function resultOf (json: unknown): string {
  const { outcome, error } = json as { readonly outcome?: string, readonly error?: { readonly kind: string } }
  return outcome ?? error?.kind ?? ''
}

function assertBetween (fromMs: number, time: string, toMs: number): void {
  const timeMs = Date.parse(time)
  assert.ok(fromMs <= timeMs && timeMs <= toMs, `${time} is not between ${new Date(fromMs).toISOString()} and ${new Date(toMs).toISOString()}`)
}
