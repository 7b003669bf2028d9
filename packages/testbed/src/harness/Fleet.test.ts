import * as assert from 'node:assert/strict'
import * as fleet from './Fleet.js'
import * as institutions from './institutions.js'
import * as ledger from './Ledger.js'
import * as test from 'node:test'

class FleetWithFailingTarget extends fleet.Fleet {
  public override async startTarget (worker: fleet.Worker): Promise<void> {
    if (worker.nodeId === 'till-1') throw new Error('the target till-1 cannot listen')
    await super.startTarget(worker)
  }
}

test.describe('Fleet', () => {
  // Guards against a test run that never ends because processes of a fleet keep running after its start has failed.
  test.it('stops all processes after a failed start, including those that were still starting', async () => {
    const failedFleet = new FleetWithFailingTarget({ spec: institutions.KARTULI, ledger: new ledger.Ledger() })
    await assert.rejects(failedFleet.start(), /till-1 cannot listen/)
    await failedFleet.stop('SIGKILL')
    assert.ok(failedFleet.startedNodes.length > 0)
    await new Promise(resolve => { setTimeout(resolve, 1_000) })
    assert.deepEqual(failedFleet.startedNodes.filter(({ isRunning }) => isRunning).map(({ name }) => name), [])
  })
})
