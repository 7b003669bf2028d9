import * as assert from 'node:assert/strict'
import * as storeEra from '@elmpost/common/direct/StoreEra.js'
import * as storeReturns from './StoreReturns.js'
import * as test from 'node:test'

test.describe('StoreReturns', () => {
  test.it('writes again and tells the other nodes once for each later era, and logs what it writes', () => {
    const era = new storeEra.StoreEra()
    const done: string[] = []
    const returns = new storeReturns.StoreReturns({
      era,
      nodeRecord: { writeAgain: ageMs => done.push(`node ${ageMs}`) },
      auditTrail: { writeAgain: ageMs => done.push(`audit ${ageMs}`) },
      logger: { isEnabled: () => true, log: (_level, event, context = {}) => { done.push(`${event} ${String((context as { storeEra: number }).storeEra)}`) } },
      spread: () => { done.push('spread') }
    })
    for (const told of [1, 1, 2, 2]) era.record(told)
    assert.deepEqual(done, ['node 60000', 'audit 60000', 'store-returned 2', 'spread'])
    returns.dispose()
    era.record(3)
    assert.equal(done.length, 4)
  })
})
