import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as logStore from './LogStore.js'

test.describe('LogStore', () => {
  test.describe('retention', () => {
    test.it('removes old records without reusing their offsets, so that tests cover a log without its first records', () => {
      const store = new logStore.LogStore(1000)
      store.append('a', 0)
      store.append('b', 1500)
      const page = store.read(0, 10, 2000)
      assert.deepEqual(page, { records: [{ offset: 1, data: 'b' }], firstOffset: 1, nextOffset: 2 })
    })
  })

  test.describe('read', () => {
    test.it('returns a bounded page, so that a backlog is read in several pages', () => {
      const store = new logStore.LogStore(1000)
      for (let i = 0; i < 5; i++) store.append(i, 0)
      assert.deepEqual(store.read(1, 2, 0).records.map(record => record.offset), [1, 2])
    })
  })
})
