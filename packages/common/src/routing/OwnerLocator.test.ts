import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fake from './FakeMesh.js'
import * as ownerLocator from './OwnerLocator.js'

function setUp (incarnation = 10): { mesh: fake.FakeMesh, locate: (...exclude: string[]) => string } {
  const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'owner', incarnation }), fake.rowOf({ nodeId: 'heir' })])
  mesh.lookup = { kind: 'owner', owner: { nodeId: 'owner', incarnation }, sendTo: 'owner' }
  const locator = new ownerLocator.OwnerLocator({ membership: mesh, ownership: mesh })
  const locate = (...exclude: string[]): string => {
    const location = locator.locate('till', 'key', new Set(exclude)).unwrap()
    return location.kind === 'found' ? location.row.nodeId : location.kind
  }
  return { mesh, locate }
}

test.describe('OwnerLocator', () => {
  test.it('follows the successor of an owner that has left, because the key table is there', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', state: 'left', successor: 'heir' })
    assert.equal(locate(), 'heir')
    mesh.put({ nodeId: 'heir', state: 'left', successor: 'owner' })
    assert.equal(locate(), 'unreachable')
  })

  test.it('returns unreachable when the owner is dead or has left without a successor, so that no call runs twice', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', state: 'left' })
    assert.equal(locate(), 'unreachable')
    mesh.put({ nodeId: 'owner', state: 'dead' })
    assert.equal(locate(), 'unreachable')
  })

  test.it('accepts a later incarnation at the same address, which adopts the windows', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', incarnation: 11 })
    assert.equal(locate(), 'owner')
  })

  test.it('rejects a later incarnation at another address, because the earlier process may still run', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', incarnation: 11, peerAddress: 'other:7000' })
    assert.equal(locate(), 'unreachable')
    mesh.put({ nodeId: 'owner', incarnation: 12 })
    assert.equal(locate(), 'unreachable')
    mesh.lookup = { kind: 'owner', owner: { nodeId: 'owner', incarnation: 11 }, sendTo: 'owner' }
    assert.equal(locate(), 'owner')
  })

  test.it('does not follow a successor named by an incarnation before the owner', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', incarnation: 9, state: 'left', successor: 'heir' })
    assert.equal(locate(), 'owner')
    assert.equal(locate('owner'), 'unreachable')
  })

  test.it('finds the successor after the owner has restarted, because the restart replaces the row that named it', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', state: 'left', successor: 'heir' })
    mesh.put({ nodeId: 'owner', incarnation: 11, state: 'ready', successor: '' })
    assert.equal(locate(), 'owner')
    assert.equal(locate('owner'), 'heir')
    mesh.released.set('owner', 10)
    mesh.lookup = { kind: 'owner', owner: { nodeId: 'owner', incarnation: 10 }, sendTo: 'heir' }
    assert.equal(locate(), 'heir')
  })

  test.it('returns the current process of a node that took back the keys of its earlier process, so that keys are found after a rolling restart', () => {
    const { mesh, locate } = setUp()
    mesh.put({ nodeId: 'owner', state: 'left', successor: 'heir' })
    mesh.put({ nodeId: 'owner', incarnation: 11, state: 'ready', successor: '' })
    mesh.released.set('owner', 10)
    // The successor has handed the keys over to the new process of the owner and has been restarted.
    mesh.put({ nodeId: 'heir', state: 'left', successor: 'owner' })
    mesh.put({ nodeId: 'heir', incarnation: 12, state: 'ready', successor: '' })
    mesh.lookup = { kind: 'owner', owner: { nodeId: 'owner', incarnation: 10 }, sendTo: 'owner' }
    assert.equal(locate(), 'owner')
  })
})
