import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as messages from '../node/Messages.js'
import type * as entryCalls from './EntryCalls.js'
import * as fake from './FakeMesh.js'

const LEVELS = 16

/** A chain of services in which each target calls the next level and answers a failure of it with 502. */
class Chain {
  public leafRuns = 0
  private readonly _levels: entryCalls.EntryCalls[]

  constructor (retryBudgetRatio: number) {
    const base = fake.documentOf({})
    const document = { ...base, terms: { ...base.terms, retryBudgetRatio } }
    this._levels = Array.from({ length: LEVELS }, (_, level) => {
      const rows = Array.from({ length: 5 }, (_, i) => fake.rowOf({ nodeId: `till-${i}` }))
      return fake.fillRetryBudget(new fake.FakeMesh(rows, document).entryCalls(level + 1), 0)
    })
  }

  public run (level: number, attempt: number): Partial<messages.AnswerMessage> {
    const calls = this._levels[level]
    if (calls === undefined) {
      this.leafRuns += 1
      return { outcome: 'unknown', reason: 'target-lost', status: 502 }
    }
    let decision = calls.begin(fake.requestOf({ depth: level, attempt }), 0)
    while (decision.kind === 'send') {
      const below = this.run(level + 1, decision.attempt)
      const next = calls.handleAnswer(decision.callId, decision.to, fake.answerOf(decision.callId, below), 0)
      if (next === undefined) throw new Error('The answer was ignored; check the call ids of the chain.')
      decision = next
    }
    return { outcome: 'answered', reason: 'ok', status: 502 }
  }
}

test.describe('EntryCalls in a chain of 16 levels', () => {
  test.it('runs a failing leaf at most 1 + 16 x 2 times for one call, instead of 3^16 times', () => {
    const chain = new Chain(1)
    chain.run(0, 1)
    assert.equal(chain.leafRuns, 33)
  })

  test.it('runs a failing leaf fewer than 3 times per call in the long run, because each level has a retry budget', () => {
    const chain = new Chain(0.1)
    for (let i = 0; i < 1_000; i++) chain.run(0, 1)
    assert.ok(chain.leafRuns <= 1_000 * (1 + LEVELS * 0.1) + LEVELS * 10, `${chain.leafRuns}`)
    assert.ok(chain.leafRuns > 1_000)
  })
})
