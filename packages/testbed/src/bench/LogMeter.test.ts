import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as logMeters from './LogMeter.js'

const RECORD = { kind: 'proposal', author: 'nino', patch: ['é'] }
const PAGE = { records: [{ offset: 12, data: RECORD }], firstOffset: 0, nextOffset: 13, retentionMs: 1_000 }
const EMPTY = { ...PAGE, records: [] }

function answer (page: typeof PAGE, stream: messages.StreamName = 'config'): messages.LogReadResult {
  return { stream, ok: true, ...page }
}

function bytesOf (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

test.describe('LogMeter', () => {
  test.it('counts the bytes of whole answers of the log service, not of the records alone', () => {
    const meter = new logMeters.LogMeter()
    meter.countAppend(RECORD)
    for (const page of [PAGE, EMPTY, PAGE]) meter.countRead('a', answer(page))
    assert.deepEqual(meter.figures(2), { bytesPerChange: bytesOf(RECORD), readers: 1, bytesPerReaderS: (2 * bytesOf(PAGE) + bytesOf(EMPTY)) / 2 })
  })

  test.it('ignores other streams, and nodes that received no records', () => {
    const meter = new logMeters.LogMeter()
    meter.countRead('a', answer(PAGE))
    meter.countRead('a', answer(PAGE, 'ownership'))
    meter.countRead('b', answer(EMPTY))
    assert.deepEqual(meter.figures(1), { bytesPerChange: Number.NaN, readers: 1, bytesPerReaderS: bytesOf(PAGE) })
    meter.reset()
    assert.equal(meter.figures(1).readers, 0)
  })
})
