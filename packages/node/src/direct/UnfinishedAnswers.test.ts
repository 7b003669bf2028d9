import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as unfinishedAnswers from './UnfinishedAnswers.js'

test.describe('UnfinishedAnswers', () => {
  let answers: unfinishedAnswers.UnfinishedAnswers
  let givenUp: string[]

  function answer (name: string): unfinishedAnswers.IUnfinishedAnswer {
    return { tooLarge: () => { givenUp.push(name) } }
  }

  test.beforeEach(() => {
    answers = new unfinishedAnswers.UnfinishedAnswers(100)
    givenUp = []
  })

  test.it('gives up the largest answer and not the one that grew last, so that an endless one costs no other call', () => {
    const endless = answer('endless')
    answers.grew(endless, 60)
    answers.grew(answer('usual'), 10)
    answers.grew(endless, 25)
    answers.grew(answer('last'), 10)
    assert.deepEqual(givenUp, ['endless'])
  })

  test.it('does not count answers that have ended, so that a target may send any number of them', () => {
    for (let call = 0; call < 50; call++) {
      const whole = answer('whole')
      answers.grew(whole, 90)
      answers.ended(whole)
    }
    assert.deepEqual(givenUp, [])
  })

  test.it('gives up one that exceeds the bound alone, and counts it no more', () => {
    answers.grew(answer('huge'), 101)
    answers.grew(answer('usual'), 100)
    assert.deepEqual(givenUp, ['huge'])
  })
})
