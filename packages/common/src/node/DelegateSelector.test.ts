import * as assert from 'node:assert/strict'
import * as delegateSelector from './DelegateSelector.js'
import * as fakeMesh from '../routing/FakeMesh.js'
import * as hostAnswers from '../hosting/Answers.js'
import * as random from '../base/Random.js'
import * as targetSelector from '../routing/TargetSelector.js'
import * as test from 'node:test'

const SLOTS = 4

function selectorOf (nodes: number): delegateSelector.DelegateSelector {
  const rows = Array.from({ length: nodes }, (_, i) => fakeMesh.rowOf({ nodeId: `n${i}`, zone: 'vake', service: 'till' }))
  const mesh = new fakeMesh.FakeMesh(rows)
  const [self] = rows
  assert.ok(self !== undefined)
  const membership = { self, get: (nodeId: string) => mesh.get(nodeId), targetsOf: (service: string) => mesh.targetsOf(service) }
  const selector = new targetSelector.TargetSelector({ membership, enforcement: mesh, random: new random.Random(1) })
  return new delegateSelector.DelegateSelector({ membership, selector, slotsOf: () => SLOTS })
}

test.describe('DelegateSelector', () => {
  test.it('counts its own calls, so that a burst between two reports does not fill one node beyond its slots', () => {
    const subject = selectorOf(3)
    const counts = new Map<string, number>()
    for (let i = 0; i < 3 * SLOTS; i++) {
      const nodeId = subject.select('till', 0)?.nodeId
      if (nodeId !== undefined) counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1)
    }
    assert.deepEqual([...counts].sort(), [['n1', SLOTS], ['n2', SLOTS]])
  })

  test.it('uses a node again when its calls have ended', () => {
    const subject = selectorOf(2)
    for (let i = 0; i < SLOTS; i++) assert.equal(subject.select('till', 0)?.nodeId, 'n1')
    assert.equal(subject.select('till', 0), undefined)
    subject.recordEnd('n1', hostAnswers.answered(200, {}, undefined), undefined, 0)
    assert.equal(subject.select('till', 0)?.nodeId, 'n1')
  })

  test.it('passes over a node whose connection was lost again and again', () => {
    const subject = selectorOf(4)
    // The selector knows the targets of a service after its first choice.
    subject.select('till', 0)
    for (let i = 0; i < 5; i++) subject.recordEnd('n1', hostAnswers.unknown('peer-lost'), undefined, 0)
    for (let i = 0; i < 2 * SLOTS; i++) assert.notEqual(subject.select('till', 0)?.nodeId, 'n1')
  })
})
