import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as unfinishedAnswers from './UnfinishedAnswers.js'

test.describe('UnfinishedAnswers', () => {
  let answers: unfinishedAnswers.UnfinishedAnswers
  let abandoned: string[]

  function answer (name: string): unfinishedAnswers.IUnfinishedAnswer {
    return { abandon: () => { abandoned.push(name) } }
  }

  test.beforeEach(() => {
    answers = new unfinishedAnswers.UnfinishedAnswers(100)
    abandoned = []
  })

  test.it('abandons the largest answer and not the one that grew last, so that an endless answer costs no other call', () => {
    const endless = answer('endless')
    answers.addBytes(endless, 60)
    answers.addBytes(answer('usual'), 10)
    answers.addBytes(endless, 25)
    answers.addBytes(answer('last'), 10)
    assert.deepEqual(abandoned, ['endless'])
  })

  test.it('does not count answers that have ended, so that a target may send any number of answers', () => {
    for (let call = 0; call < 50; call++) {
      const whole = answer('whole')
      answers.addBytes(whole, 90)
      answers.remove(whole)
    }
    assert.deepEqual(abandoned, [])
  })

  test.it('abandons an answer that alone exceeds the bound, and stops counting it', () => {
    answers.addBytes(answer('huge'), 101)
    answers.addBytes(answer('usual'), 100)
    assert.deepEqual(abandoned, ['huge'])
  })
})
