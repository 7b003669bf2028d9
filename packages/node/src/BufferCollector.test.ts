import * as assert from 'node:assert/strict'
import * as bufferCollector from './BufferCollector.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const MIB = 1024 * 1024
const SLACK_BYTES = 16 * MIB

test.describe('BufferCollector', () => {
  // Guards against buffers without use that take as much memory as all that is in use.
  test.it('collects the garbage of buffers before it adds up', async () => {
    const collected: string[] = []
    const collector = new bufferCollector.BufferCollector(({ type }) => { collected.push(type) })
    for (let at = 0; at < 64; at++) collector.recordRead(MIB)
    assert.deepEqual(collected, Array.from({ length: collected.length }, () => 'minor'))
    assert.ok(collected.length >= 4, `${collected.length} collections`)
    collected.length = 0
    for (let at = 0; at < 4; at++) collector.recordReleased(SLACK_BYTES)
    await timers.setImmediate()
    assert.ok(collected.includes('major'))
    collected.length = 0
    // At once, because many connections may be closed in one turn of the event loop.
    for (let at = 0; at < 4; at++) collector.recordDropped(SLACK_BYTES)
    assert.ok(collected.length >= 2)
  })

  test.it('frees buffers that nothing refers to', async () => {
    const collector = new bufferCollector.BufferCollector()
    const before = process.memoryUsage().arrayBuffers
    let held: Buffer[] = Array.from({ length: 64 }, () => Buffer.alloc(MIB))
    assert.ok(process.memoryUsage().arrayBuffers - before >= 64 * MIB)
    held = []
    collector.recordReleased(64 * MIB)
    for (let turn = 0; turn < 100 && process.memoryUsage().arrayBuffers - before > SLACK_BYTES; turn++) await timers.setTimeout(10)
    assert.ok(process.memoryUsage().arrayBuffers - before <= SLACK_BYTES, `${held.length}`)
  })
})
