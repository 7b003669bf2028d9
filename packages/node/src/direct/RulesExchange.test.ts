import * as assert from 'node:assert/strict'
import * as rulesExchange from './RulesExchange.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'

test.describe('RulesExchange', () => {
  let table: targetTable.TargetTable
  let exchange: rulesExchange.RulesExchange

  function know (nodeId: string, zone: string, linkMbps: number): void {
    table.put(nodeId, zone, 'till', linkMbps)
    table.connected(nodeId, true)
    table.status(nodeId, { state: 'ready', load: { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }, version: 1, storeAgeMs: 100 })
  }

  test.beforeEach(() => {
    table = new targetTable.TargetTable()
    know('b', 'vake', 5)
    exchange = new rulesExchange.RulesExchange({ selfId: 'b', zone: 'vake', table, nowMs: () => 0, version: () => 1, request: () => {} })
  })

  test.describe('the reader of a zone', () => {
    test.it('is the VM with the fastest link, because a slow one would pass a configuration on for many seconds', () => {
      know('c', 'vake', 100)
      assert.equal(exchange.isReader, false)
      table.connected('c', false)
      assert.equal(exchange.isReader, true)
    })

    test.it('is the first one by id among equal links, so that two nodes agree on it', () => {
      know('c', 'vake', 5)
      assert.equal(exchange.isReader, true)
      know('a', 'vake', 5)
      assert.equal(exchange.isReader, false)
    })

    test.it('need not be found in another zone', () => {
      know('a', 'didube', 100)
      assert.deepEqual([exchange.isReader, exchange.isFirst], [true, false])
    })
  })

  test.describe('a configuration for other nodes', () => {
    const bytes = Buffer.from(JSON.stringify(Array.from({ length: 1600 }, (_, index) => ({ name: `route-${index}`, 'path-prefix': `/prefix-${index}/`, timeout: '800ms' }))))

    test.it('is a small part of what is stored, and the same when it is unpacked', () => {
      exchange.keep(bytes)
      const packed = exchange.packed
      assert.ok(packed !== undefined && packed.length < bytes.length / 5, `${packed?.length} of ${bytes.length} bytes`)
      assert.deepEqual(Buffer.from(rulesExchange.unpack(packed) as Uint8Array), bytes)
    })

    test.it('is that of the newest version', () => {
      exchange.keep(bytes)
      assert.notEqual(exchange.packed, undefined)
      exchange.keep(Buffer.from('{}'))
      assert.equal(Buffer.from(exchange.packed ?? []).toString(), '{}')
    })

    test.it('is refused with an error when it is damaged, so that the node lives', () => {
      exchange.keep(bytes)
      const damaged = Buffer.from(exchange.packed ?? [])
      damaged.fill(0x55, 20, 60)
      assert.ok(rulesExchange.unpack(damaged) instanceof Error)
    })
  })
})
