/** Setup and teardown of the scenarios. */
import * as cucumber from '@cucumber/cucumber'
import * as meshWorld from './MeshWorld.js'

const STEP_TIMEOUT_MS = 90_000

cucumber.setWorldConstructor(meshWorld.MeshWorld)
cucumber.setDefaultTimeout(STEP_TIMEOUT_MS)

cucumber.After(async function (this: meshWorld.MeshWorld, { result }: cucumber.ITestCaseHookParameter) {
  if (result?.status === cucumber.Status.FAILED) {
    for (const node of this.startedNodes) this.log(node.describe())
  }
  await this.stop()
})
