import * as assert from 'node:assert/strict'
import * as logger from './Logger.js'
import * as test from 'node:test'

test.describe('Logger', () => {
  test.it('writes one JSON line with the fields that operators search for, and skips lines below the level', () => {
    const lines: string[] = []
    const log = new logger.Logger({ level: 'warn', nodeId: 'n1', zone: 'vake', version: () => 4, write: line => { lines.push(line) } })
    log.log('info', 'started')
    log.log('warn', 'target-not-ready', { requestId: 'k', problem: 'a "quoted" %s\nproblem' })
    assert.equal(lines.length, 1)
    const line = JSON.parse(lines[0] ?? '') as { context: object, message: string }
    assert.equal(line.message, 'target-not-ready')
    assert.deepEqual(line.context, { level: 'warn', logLevel: 40, node: 'n1', problem: 'a "quoted" %s\nproblem', requestId: 'k', version: 4, zone: 'vake' })
    assert.equal(log.isEnabled('debug'), false)
  })
})
