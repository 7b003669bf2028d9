import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as unfinishedAnswers from './UnfinishedAnswers.js'

test.describe('UnfinishedAnswers', () => {
  let answers: unfinishedAnswers.UnfinishedAnswers
  let abandoned: string[]

  function answer (name: string): unfinishedAnswers.IUnfinishedAnswer {
    return { tooLarge: () => { abandoned.push(name) } }
  }

  test.beforeEach(() => {
    answers = new unfinishedAnswers.UnfinishedAnswers(100)
    abandoned = []
  })

  test.it('abandons the largest answer and not the one that grew last, so that an endless answer costs no other call', () => {
    const endless = answer('endless')
    answers.grew(endless, 60)
    answers.grew(answer('usual'), 10)
    answers.grew(endless, 25)
    answers.grew(answer('last'), 10)
    assert.deepEqual(abandoned, ['endless'])
  })

  test.it('does not count answers that have ended, so that a target may send any number of answers', () => {
    for (let call = 0; call < 50; call++) {
      const whole = answer('whole')
      answers.grew(whole, 90)
      answers.ended(whole)
    }
    assert.deepEqual(abandoned, [])
  })

  test.it('abandons an answer that alone exceeds the bound, and stops counting it', () => {
    answers.grew(answer('huge'), 101)
    answers.grew(answer('usual'), 100)
    assert.deepEqual(abandoned, ['huge'])
  })
})
