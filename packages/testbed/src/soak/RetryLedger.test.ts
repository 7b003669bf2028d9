import * as assert from 'node:assert/strict'
import * as retryLedger from './RetryLedger.js'
import * as test from 'node:test'

test.describe('RetryLedger', () => {
  let ledger: retryLedger.RetryLedger

  test.beforeEach(() => { ledger = new retryLedger.RetryLedger() })

  function ask (count: number, arrivals: number): void {
    for (let at = 0; at < count; at++) {
      ledger.recordRequest('till', `r${at}`)
      for (let arrival = 0; arrival < arrivals; arrival++) ledger.recordArrival('till', `r${at}`)
    }
  }

  test.it('reports nothing when each request arrives once, however many there are', () => {
    ask(500, 1)
    assert.deepEqual(ledger.check(), [])
  })

  test.it('reports retries that exceed the share of the requests plus the slack', () => {
    ask(70, 2)
    assert.deepEqual(ledger.check(), [])
    ask(5, 2)
    assert.match(ledger.check().join(), /till got 80 retries .* 75 are allowed/)
  })

  test.it('counts nested calls as retries only when they are made in a retried run', () => {
    ask(1, 1)
    for (let call = 0; call < 80; call++) ledger.recordRequest('vault', `r0.${call}`, 'r0')
    for (let call = 0; call < 80; call++) ledger.recordArrival('vault', `r0.${call}`)
    assert.deepEqual(ledger.check(), [])
    ledger.recordArrival('till', 'r0')
    for (let call = 80; call < 160; call++) {
      ledger.recordRequest('vault', `r0.${call}`, 'r0')
      ledger.recordArrival('vault', `r0.${call}`)
    }
    assert.match(ledger.check().join(), /vault got 80 retries/)
  })
})
