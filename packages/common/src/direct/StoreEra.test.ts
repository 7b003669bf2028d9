import * as assert from 'node:assert/strict'
import * as storeEra from './StoreEra.js'
import * as test from 'node:test'

test.describe('StoreEra', () => {
  test.it('fires once for each later era, whoever tells it, and not for the first one', () => {
    const era = new storeEra.StoreEra()
    const returns: number[] = []
    era.onReturn(current => { returns.push(current) })
    for (const told of [undefined, 3, 3, 4, 4, undefined, 6]) era.record(told)
    assert.deepEqual([returns, era.current], [[4, 6], 6])
  })

  // Guards against an answer that was under way during a return and is taken for one of the store as it is now.
  test.it('tells answers of an earlier era from current ones', () => {
    const era = new storeEra.StoreEra()
    assert.deepEqual([era.record(2), era.record(1), era.record(undefined), era.record(2)], [true, false, true, true])
    assert.equal(era.current, 2)
  })
})
