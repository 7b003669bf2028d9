/** Wiring of the scenario runner. */
import * as cucumber from '@cucumber/cucumber'
import * as meshWorld from './MeshWorld.js'

const STEP_TIMEOUT_MS = 90_000

cucumber.setWorldConstructor(meshWorld.MeshWorld)
cucumber.setDefaultTimeout(STEP_TIMEOUT_MS)

cucumber.After(async function (this: meshWorld.MeshWorld, { result }: cucumber.ITestCaseHookParameter) {
  if (result?.status === cucumber.Status.FAILED) {
    for (const worker of this.fleet.workers) this.log(`${worker.nodeId}: ${worker.node.output.slice(-5).join('\n')}`)
  }
  await this.stop()
})
