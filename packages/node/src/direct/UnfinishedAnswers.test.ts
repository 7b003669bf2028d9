import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as unfinishedAnswers from './UnfinishedAnswers.js'

/** What each piece costs beside its length. */
const PIECE_BYTES = 64

test.describe('UnfinishedAnswers', () => {
  let answers: unfinishedAnswers.UnfinishedAnswers
  let abandoned: string[]

  function answer (name: string): unfinishedAnswers.IUnfinishedAnswer {
    return { abandon: () => { abandoned.push(name) } }
  }

  test.beforeEach(() => {
    answers = new unfinishedAnswers.UnfinishedAnswers(100 * PIECE_BYTES)
    abandoned = []
  })

  test.it('abandons the largest answer and not the one that grew last, so that an endless answer costs no other call', () => {
    const endless = answer('endless')
    answers.addPiece(endless, 60 * PIECE_BYTES - PIECE_BYTES)
    answers.addPiece(answer('usual'), 10 * PIECE_BYTES - PIECE_BYTES)
    answers.addPiece(endless, 25 * PIECE_BYTES - PIECE_BYTES)
    answers.addPiece(answer('last'), 10 * PIECE_BYTES - PIECE_BYTES)
    assert.deepEqual(abandoned, ['endless'])
  })

  test.it('does not count answers that have ended, so that a target may send any number of answers', () => {
    for (let call = 0; call < 50; call++) {
      const whole = answer('whole')
      answers.addPiece(whole, 90 * PIECE_BYTES - PIECE_BYTES)
      answers.remove(whole)
    }
    assert.deepEqual(abandoned, [])
  })

  test.it('abandons an answer that alone exceeds the bound, and stops counting it', () => {
    answers.addPiece(answer('huge'), 101 * PIECE_BYTES - PIECE_BYTES)
    answers.addPiece(answer('usual'), 100 * PIECE_BYTES - PIECE_BYTES)
    assert.deepEqual(abandoned, ['huge'])
  })

  // Guards against a node that is busy for seconds with an answer in chunks of one byte.
  test.it('abandons an answer in tiny pieces long before their lengths reach the bound', () => {
    const tiny = answer('tiny')
    for (let piece = 0; piece < 100; piece++) answers.addPiece(tiny, 1)
    assert.deepEqual(abandoned, ['tiny'])
  })
})
