import * as assert from 'node:assert/strict'
import * as customerLedger from './CustomerLedger.js'
import * as test from 'node:test'

const NORTH = { name: 'north', keys: ['k-north'] }
const EAST = { name: 'east', keys: ['k-east'], maxCallsPerS: 20, burstCalls: 20 }
/** (20 x 5 + 20) x 1.1 + 20 */
const ALLOWED = 152

test.describe('CustomerLedger', () => {
  let ledger: customerLedger.CustomerLedger
  let isInTouch: boolean
  let calls: customerLedger.CustomerCall[]
  let runs: customerLedger.CustomerRun[]

  function call (requestId: string, customerKey: string | undefined, status: number, startedAtMs = 0): void {
    calls.push({ requestId, entry: 'vm-1', customerKey, startedAtMs, endedAtMs: startedAtMs + 50, status })
  }

  function run (requestId: string, name: string | undefined, atMs = 10, customerKey?: string): void {
    runs.push({ requestId, targetId: 't', customer: name, customerKey, atMs })
  }

  function found (): string {
    return ledger.check(calls, runs).join('\n')
  }

  test.beforeEach(() => {
    isInTouch = true
    calls = []
    runs = []
    ledger = new customerLedger.CustomerLedger(() => isInTouch)
    ledger.recordVersion([{ ...NORTH, keys: ['k-north', 'k-old'] }, EAST], 0)
  })

  test.describe('runs', () => {
    test.it('are of known keys, in the name of the customer and without the key', () => {
      call('r1', 'k-north', 200)
      run('r1', 'north')
      assert.equal(found(), '')
      run('r1', 'west')
      run('r1', undefined)
      run('r1', 'north, north')
      run('r1', 'north', 10, 'k-north')
      assert.deepEqual(ledger.check(calls, runs), ['west', '(none)', 'north, north'].map(name => `t got r1 of north with the name ${name}`).concat('t got the key of r1'))
    })

    test.it('are reported for unknown and absent keys', () => {
      for (const key of ['k-none', '__proto__', '', undefined]) call(`r${key}`, key, 200)
      for (const { requestId } of calls) run(requestId, 'north')
      assert.equal(ledger.check(calls, runs).length, 4)
      assert.match(found(), /t ran rk-none, which has the key k-none of no customer/)
    })

    test.it('of nested calls belong to the customer of their run', () => {
      call('r1', 'k-north', 200)
      run('r1.7', 'north')
      assert.equal(found(), '')
      run('r1.8', 'east')
      run('r2.9', 'north')
      assert.deepEqual(ledger.check(calls, runs), ['t got r1.8 of north with the name east', 't ran r2.9, which has the key (none) of no customer'])
    })

    test.it('are reported after a refusal for the key', () => {
      call('r1', 'k-later', 401)
      ledger.recordVersion([{ ...NORTH, keys: ['k-north', 'k-old', 'k-later'] }, EAST], 10)
      assert.equal(found(), '')
      run('r1', 'north')
      assert.match(found(), /was refused for its key and ran on t: r1/)
    })
  })

  test.it('reports a refusal of a key that all versions hold', () => {
    call('r1', 'k-old', 401, 0)
    assert.match(found(), /has a key that all versions hold/)
    ledger.recordVersion([NORTH, EAST], 40)
    assert.equal(found(), '')
    call('r2', 'k-north', 401, 9_000)
    assert.match(found(), /hold and was refused for it: r2/)
  })

  test.describe('a withdrawn key', () => {
    test.beforeEach(() => { ledger.recordVersion([NORTH, EAST], 1_000) })

    test.it('may be served for 2.5 s, and by a node that is not in touch', () => {
      call('r1', 'k-old', 200, 3_499)
      run('r1', 'north', 3_510)
      assert.equal(found(), '')
      call('r2', 'k-old', 200, 3_500)
      run('r2', 'north', 3_510)
      assert.match(found(), /^was sent 2500 ms after its key was withdrawn and not refused: r2 .*$/)
      isInTouch = false
      assert.equal(found(), '')
    })

    test.it('is refused later; no run may follow', () => {
      for (const status of [0, 401, 503]) call(`r${status}`, 'k-old', status, 5_000)
      assert.equal(found(), '')
      run('r0', 'north', 5_010)
      assert.match(found(), /not refused: r0/)
      call('r4', 'k-old', 404, 5_000)
      assert.match(found(), /not refused: r4/)
    })

    test.it('counts from its first withdrawal when the version is published again', () => {
      ledger.recordVersion([NORTH, EAST], 9_000)
      call('r1', 'k-old', 200, 5_000)
      assert.match(found(), /was sent 4000 ms after/)
    })
  })

  test.describe('a limit', () => {
    function serve (count: number, sentAtMs: number, atMs: number): void {
      for (let at = 0; at < count; at++) {
        const requestId = `r${calls.length}`
        call(requestId, 'k-east', 200, sentAtMs)
        run(requestId, 'east', atMs)
      }
    }

    test.it('holds in each window for the requests that were sent and began in it', () => {
      serve(ALLOWED, 1_000, 1_010)
      assert.equal(found(), '')
      serve(1, 5_900, 6_000)
      assert.match(found(), /^east was served 153 requests in the window from 1000 ms, 152 are allowed$/)
    })

    test.it('does not count requests that were sent before a window or began after it, and counts a retried one once', () => {
      serve(ALLOWED, 1_000, 6_000)
      serve(1, 999, 2_000)
      run('r0', 'east', 6_000)
      serve(1, 5_900, 6_001)
      assert.equal(found(), '')
    })

    test.it('refuses no request of a customer without one', () => {
      call('r1', 'k-east', 429)
      assert.equal(found(), '')
      call('r2', 'k-north', 429)
      assert.match(found(), /^is of a customer without a limit and was refused for it: r2/)
    })
  })

  test.it('checks nothing without customers', () => {
    run('r1', undefined)
    assert.deepEqual(new customerLedger.CustomerLedger(() => true).check(calls, runs), [])
  })
})
