import * as assert from 'node:assert/strict'
import * as crashWatches from './CrashWatch.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as types from './Types.js'

function run (requestId: string): crashWatches.CrashedRun {
  return { call: { requestId, remainingMs: 1_000 } as types.CallMessage, isTrial: false }
}

test.describe('CrashWatch', () => {
  let nowMs: number
  let target: direct.TargetStart | undefined
  let running: crashWatches.CrashedRun[]
  let answerProbe: (result: crashWatches.ProbeResult) => void
  let crashes: string[]
  let checked: string[]
  let watch: crashWatches.CrashWatch

  function lose (lost: crashWatches.CrashedRun): void {
    watch.handleLost(lost, () => { checked.push(lost.call.requestId) })
  }

  test.beforeEach(() => {
    nowMs = 0
    target = { targetId: 't', startedAtMs: 1 }
    running = []
    crashes = []
    checked = []
    let ids = 0
    watch = new crashWatches.CrashWatch({
      probe: onResult => { answerProbe = onResult },
      target: () => target,
      running: () => running,
      newId: () => `c${++ids}`,
      nowMs: () => nowMs,
      onCrash: ({ id, runs }) => { crashes.push(`${id} ${runs.map(({ call }) => call.requestId).join(' ')}`) }
    })
  })

  test.describe('a target that accepts no connection after runs were lost', () => {
    test.it('has crashed, with all that it was running when the first of them was lost', () => {
      const [a, b, c] = [run('a'), run('b'), run('c')]
      running = [a, b, c]
      lose(a)
      running = [b, c]
      lose(b)
      assert.deepEqual(checked, [])
      answerProbe('refused')
      assert.deepEqual([crashes, checked], [['c1 a b c'], ['a', 'b']])
    })

    test.it('has crashed if connections are closed at once, and all its runs were lost', () => {
      running = [run('a'), run('b')]
      for (const one of running) lose(one)
      answerProbe('closed')
      assert.deepEqual(crashes, ['c1 a b'])
    })

    test.it('counts once, with what is lost later', () => {
      lose(run('a'))
      answerProbe('refused')
      lose(run('b'))
      answerProbe('refused')
      assert.deepEqual(crashes, ['c1 a', 'c1 b'])
    })

    test.it('counts again after another start', () => {
      lose(run('a'))
      answerProbe('refused')
      target = { targetId: 't', startedAtMs: 2 }
      watch.handleNewStart()
      lose(run('b'))
      answerProbe('refused')
      assert.deepEqual(crashes, ['c1 a', 'c2 b'])
    })
  })

  // Guards against harmless requests that are blamed for a lost connection or a planned end.
  test.describe('an end that no request has caused', () => {
    test.it('is no crash if the target accepts connections', () => {
      running = [run('a'), run('b')]
      lose(run('a'))
      answerProbe('up')
      assert.deepEqual([crashes, checked], [[], ['a']])
    })

    test.it('is no crash if a full target closes new connections and goes on with its runs', () => {
      running = [run('a'), run('b')]
      lose(running[0] as crashWatches.CrashedRun)
      answerProbe('closed')
      assert.deepEqual(crashes, [])
    })

    test.it('is no crash of a target that is leaving', () => {
      target = undefined
      lose(run('a'))
      answerProbe('refused')
      assert.deepEqual(crashes, [])
    })
  })

  // Guards against a request that is given up, crashes its target a moment later, and is blamed for nothing.
  test.describe('a run that was given up', () => {
    test.it('counts as running until its deadline', () => {
      watch.recordAbandoned(run('a'), 500)
      nowMs = 400
      watch.handleRefused()
      assert.deepEqual(crashes, ['c1 a'])
    })

    test.it('does not count later', () => {
      watch.recordAbandoned(run('a'), 500)
      nowMs = 600
      watch.handleRefused()
      assert.deepEqual(crashes, [])
    })
  })
})
