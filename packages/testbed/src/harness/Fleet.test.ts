import * as assert from 'node:assert/strict'
import * as fleet from './Fleet.js'
import * as institutions from './institutions.js'
import * as ledger from './Ledger.js'
import * as test from 'node:test'

class FleetWithoutTarget extends fleet.Fleet {
  public override async startTarget (worker: fleet.Worker): Promise<void> {
    if (worker.nodeId === 'till-1') throw new Error('the target till-1 cannot listen')
    await super.startTarget(worker)
  }
}

test.describe('Fleet', () => {
  // Guards against a test run that never ends, because processes of a fleet outlive the failure of its start.
  test.it('ends all of its processes, also those that were still starting when the start failed', async () => {
    const started = new FleetWithoutTarget({ spec: institutions.KARTULI, ledger: new ledger.Ledger() })
    await assert.rejects(started.start(), /till-1 cannot listen/)
    await started.stop('SIGKILL')
    assert.ok(started.startedNodes.length > 0)
    await new Promise(resolve => { setTimeout(resolve, 1_000) })
    assert.deepEqual(started.startedNodes.filter(({ isRunning }) => isRunning).map(({ name }) => name), [])
  })
})
