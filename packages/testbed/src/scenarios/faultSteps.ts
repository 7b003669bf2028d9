/** Steps that inject faults and stop processes, and their checks. */
import * as assert from 'node:assert/strict'
import * as timers from 'node:timers/promises'
import * as cucumber from '@cucumber/cucumber'
import type * as fleet from '../harness/Fleet.js'
import type * as meshWorld from './MeshWorld.js'

/** Guaranteed by the design page. */
const MAX_NEW_WORK_DELAY_MS = 3000

async function stopGracefully (worker: fleet.Worker): Promise<void> {
  worker.node.signal('SIGTERM')
  await timers.setTimeout(200)
  // The second signal must not shorten the drain.
  worker.node.signal('SIGTERM')
  const exit = await worker.node.exited
  assert.equal(exit.code, 0, worker.node.output.slice(-5).join('\n'))
}

cucumber.When('every node is stopped at the same time', async function (this: meshWorld.MeshWorld) {
  await Promise.all(this.fleet.workers.map(async worker => { await stopGracefully(worker) }))
})

cucumber.When('the nodes of each service are stopped and started again one after the other', async function (this: meshWorld.MeshWorld) {
  const { fleet } = this
  await Promise.all(fleet.spec.services.map(async service => {
    for (const worker of fleet.workersOf(service.name)) {
      await stopGracefully(worker)
      await fleet.startNode(worker)
    }
  }))
})

cucumber.When('the node {string} starts its planned stop', function (this: meshWorld.MeshWorld, nodeId: string) {
  this.stoppedAtMs = Date.now()
  this.fleet.worker(nodeId).node.signal('SIGTERM')
})

cucumber.Then('the node {string} completes its planned stop', async function (this: meshWorld.MeshWorld, nodeId: string) {
  await stopGracefully(this.fleet.worker(nodeId))
})

cucumber.Then('the target {string} gets no new work later than 3 seconds after the stop started', function (this: meshWorld.MeshWorld, nodeId: string) {
  const delayMs = this.ledger.lastRunAtMs(nodeId) - this.stoppedAtMs
  assert.ok(delayMs <= MAX_NEW_WORK_DELAY_MS, `${nodeId} started a request ${delayMs} ms after the stop started`)
})

cucumber.Then('at most {int} targets of {string} crash', function (this: meshWorld.MeshWorld, maxCount: number, service: string) {
  const crashed = this.fleet.workersOf(service).filter(worker => !worker.target.isRunning).map(worker => worker.nodeId)
  assert.ok(crashed.length > 0, 'no target crashed, so the check proves nothing')
  assert.ok(crashed.length <= maxCount, crashed.join(', '))
})

cucumber.When('the node {string} is killed', async function (this: meshWorld.MeshWorld, nodeId: string) {
  const worker = this.fleet.worker(nodeId)
  worker.node.signal('SIGKILL')
  await worker.node.exited
})

cucumber.When('the node {string} starts again', async function (this: meshWorld.MeshWorld, nodeId: string) {
  await this.fleet.startNode(this.fleet.worker(nodeId))
})

cucumber.When('the target {string} is killed', async function (this: meshWorld.MeshWorld, nodeId: string) {
  const worker = this.fleet.worker(nodeId)
  worker.target.signal('SIGKILL')
  await worker.target.exited
})

cucumber.When('the target {string} starts again', async function (this: meshWorld.MeshWorld, nodeId: string) {
  await this.fleet.startTarget(this.fleet.worker(nodeId))
})

cucumber.When('the node {string} is frozen for {float} seconds', async function (this: meshWorld.MeshWorld, nodeId: string, seconds: number) {
  const worker = this.fleet.worker(nodeId)
  worker.node.signal('SIGSTOP')
  await timers.setTimeout(seconds * 1000)
  worker.node.signal('SIGCONT')
})

cucumber.When('the node {string} is frozen', function (this: meshWorld.MeshWorld, nodeId: string) {
  this.fleet.worker(nodeId).node.signal('SIGSTOP')
})

cucumber.When('the node {string} resumes', function (this: meshWorld.MeshWorld, nodeId: string) {
  this.fleet.worker(nodeId).node.signal('SIGCONT')
})

cucumber.When('the node {string} is separated from its peers', function (this: meshWorld.MeshWorld, nodeId: string) {
  this.fleet.separate(nodeId)
})

cucumber.When('the node {string} is reconnected to its peers', function (this: meshWorld.MeshWorld, nodeId: string) {
  this.fleet.rejoin(nodeId)
})

cucumber.When('every node is killed and starts again', async function (this: meshWorld.MeshWorld) {
  for (const worker of this.fleet.workers) worker.node.signal('SIGKILL')
  await Promise.all(this.fleet.workers.map(async worker => await worker.node.exited))
  await Promise.all(this.fleet.workers.map(async worker => { await this.fleet.startNode(worker) }))
})

cucumber.When('the log goes down', async function (this: meshWorld.MeshWorld) {
  await this.fleet.setLogFaults({ outage: true })
})

cucumber.When('the log comes back', async function (this: meshWorld.MeshWorld) {
  await this.fleet.setLogFaults({ outage: false })
})

cucumber.When('the log answers after {int} milliseconds', async function (this: meshWorld.MeshWorld, delayMs: number) {
  await this.fleet.setLogFaults({ delayMs })
})

cucumber.When('the answer to the next append is lost', async function (this: meshWorld.MeshWorld) {
  await this.fleet.setLogFaults({ loseNextAppendAnswers: 1 })
})

cucumber.When('the node {string} is stopped', async function (this: meshWorld.MeshWorld, nodeId: string) {
  await stopGracefully(this.fleet.worker(nodeId))
})

cucumber.When('the node beside the target of the fetch is stopped', async function (this: meshWorld.MeshWorld) {
  await stopGracefully(this.fleet.worker(await this.slowFetch?.target ?? ''))
})
