/** Steps for applying files and for the version in force. */
import * as assert from 'node:assert/strict'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as cucumber from '@cucumber/cucumber'
import * as loadGenerator from '../harness/LoadGenerator.js'
import type * as config from '@elmpost/common/config/Types.js'
import type * as meshWorld from './MeshWorld.js'

/** Generous limit for progress; the benchmark measures the convergence time itself. */
const PROGRESS_TIMEOUT_MS = 40_000

const NEW_SERVICE = { name: 'ticket', workers: 2, slots: 15, connections: 120 }
const NEW_PATH = '/ticket/list'

export async function writeChangedFile (world: meshWorld.MeshWorld, change: (document: config.ConfigDocument) => object): Promise<string> {
  const document = JSON.parse(await fs.readFile(world.fleet.spec.configFile, 'utf8')) as config.ConfigDocument
  const file = path.join(await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-scenario-')), 'changed.json')
  await fs.writeFile(file, JSON.stringify(change(document)))
  return file
}

export function withLongerTimeouts (document: config.ConfigDocument, extraMs: number): object {
  return { ...document, routes: document.routes.map(route => ({ ...route, timeoutMs: route.timeoutMs + extraMs })) }
}

function withNewService (document: config.ConfigDocument): object {
  const [service] = document.services
  const route = document.routes.find(route => route.idempotent)
  const target = document.targets.find(rule => rule.service === service?.name)
  const { name } = NEW_SERVICE
  return {
    ...document,
    services: [...document.services, { ...service, name }],
    targets: [...document.targets, { ...target, service: name }],
    routes: [...document.routes, { ...route, name: 'ticket-list', service: name, match: { method: 'GET', pathPrefix: NEW_PATH } }]
  }
}

cucumber.Given('the institution {string} runs', async function (this: meshWorld.MeshWorld, name: string) {
  await this.startFleet(name)
})

cucumber.Given('the institution {string} runs with connections that can be cut', async function (this: meshWorld.MeshWorld, name: string) {
  await this.startFleet(name, true)
})

cucumber.Given('its file is in force on every node', async function (this: meshWorld.MeshWorld) {
  const result = await this.operator.apply(this.fleet.spec.configFile)
  assert.equal(result.exitCode, 0, result.stdout + result.stderr)
  await this.fleet.waitForVersion(1, PROGRESS_TIMEOUT_MS)
})

cucumber.When('an operator applies longer timeouts', async function (this: meshWorld.MeshWorld) {
  this.lastCommand = await this.operator.apply(await writeChangedFile(this, document => withLongerTimeouts(document, 250)))
})

cucumber.When('two operators apply different files at the same time', async function (this: meshWorld.MeshWorld) {
  const files = await Promise.all([100, 200].map(async extraMs => await writeChangedFile(this, document => withLongerTimeouts(document, extraMs))))
  // Both commands give the base version, so that the slower one cannot build on the result of the faster one.
  const results = await Promise.all(files.map(async file => await this.operator.apply(file, '--base-version', '1')))
  const accepted = results.filter(result => result.exitCode === 0)
  assert.equal(accepted.length, 1, results.map(result => result.stdout + result.stderr).join('\n'))
})

cucumber.When('an operator applies a file with a route to a missing service', async function (this: meshWorld.MeshWorld) {
  this.lastCommand = await this.operator.apply(await writeChangedFile(this, document => ({ ...document, services: document.services.slice(1) })))
})

cucumber.When('an operator applies a file with a new service while its targets start', async function (this: meshWorld.MeshWorld) {
  const file = await writeChangedFile(this, withNewService)
  const [result] = await Promise.all([this.operator.apply(file), this.fleet.addWorkers(NEW_SERVICE, PROGRESS_TIMEOUT_MS)])
  this.lastCommand = result
})

cucumber.When('an operator applies the first file again', async function (this: meshWorld.MeshWorld) {
  this.lastCommand = await this.operator.apply(this.fleet.spec.configFile)
})

cucumber.Then('fetches of the new service are answered through every node', async function (this: meshWorld.MeshWorld) {
  for (const { callerAddress, nodeId } of this.fleet.workers) {
    const result = await loadGenerator.callUntilAccepted(this.caller, callerAddress, { method: 'GET', path: NEW_PATH, timeoutMs: 2000 })
    assert.deepEqual([result.outcome, result.status], ['answered', 200], `${nodeId}: ${JSON.stringify(result)}`)
  }
})

cucumber.Then('fetches of the new service have no route on any node', async function (this: meshWorld.MeshWorld) {
  for (const { callerAddress, nodeId } of this.fleet.workers) {
    const result = await this.caller.call(callerAddress, { method: 'GET', path: NEW_PATH, timeoutMs: 2000 })
    assert.deepEqual([result.outcome, result.reason], ['not-run', 'no-route'], nodeId)
  }
})

cucumber.Then('no node enforces a version, and each reports a reason', async function (this: meshWorld.MeshWorld) {
  for (const worker of this.fleet.workers) {
    const status = await this.fleet.fetchStatus(worker)
    assert.deepEqual([status?.version, status?.readiness.ready], [0, false], worker.nodeId)
    assert.notEqual(status?.readiness.reason ?? '', '', worker.nodeId)
  }
})

cucumber.Then('the file is accepted', function (this: meshWorld.MeshWorld) {
  assert.equal(this.lastCommand?.exitCode, 0, JSON.stringify(this.lastCommand))
})

cucumber.Then('the file is not accepted', function (this: meshWorld.MeshWorld) {
  assert.notEqual(this.lastCommand?.exitCode, 0, JSON.stringify(this.lastCommand))
})

cucumber.Then('version {int} is in force on every node', async function (this: meshWorld.MeshWorld, version: number) {
  await this.fleet.waitForVersion(version, PROGRESS_TIMEOUT_MS)
})

cucumber.Then('no node enforces more than version {int}', async function (this: meshWorld.MeshWorld, version: number) {
  for (const worker of this.fleet.workers) {
    const status = await this.fleet.fetchStatus(worker)
    assert.ok((status?.version ?? 0) <= version, `${worker.nodeId} enforces ${status?.version}`)
  }
})
