import * as assert from 'node:assert/strict'
import * as nodeDirectory from './NodeDirectory.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'

const FLEET_SIZE = 60

class FakeLinks implements nodeDirectory.ILinkManager {
  public readonly open = new Set<string>()
  public readonly busy = new Set<string>()
  public readonly sent: linkCodec.LinkMessage[] = []

  public connect (nodeId: string): void {
    this.open.add(nodeId)
  }

  public disconnect (nodeId: string): void {
    this.open.delete(nodeId)
  }

  public isConnected (nodeId: string): boolean {
    return this.open.has(nodeId)
  }

  public isIdle (nodeId: string): boolean {
    return !this.busy.has(nodeId)
  }

  public sendToSome (message: linkCodec.LinkMessage): void {
    this.sent.push(message)
  }
}

function record (nodeId: string, service = 'till', zone = 'vake'): direct.NodeRecord {
  return { nodeId, zone, service, linkMbps: 5, target: undefined }
}

test.describe('NodeDirectory', () => {
  let nowMs: number
  let table: targetTable.TargetTable
  let links: FakeLinks
  let expired: string[]
  let directory: nodeDirectory.NodeDirectory

  test.beforeEach(() => {
    nowMs = 0
    table = new targetTable.TargetTable()
    links = new FakeLinks()
    expired = []
    directory = new nodeDirectory.NodeDirectory({
      selfId: 'self',
      zone: 'vake',
      table,
      links,
      nowMs: () => nowMs,
      logger: { isEnabled: () => true, log: () => {} },
      requiredPeers: () => [],
      onExpired: nodeId => { expired.push(nodeId) }
    })
  })

  function nodeIdsOf (message: linkCodec.LinkMessage | undefined): readonly string[] {
    return message?.kind === 'nodes' ? message.nodes.map(({ nodeId }) => nodeId) : []
  }

  test.describe('new nodes', () => {
    test.it('are connected to at once in a small fleet, which uses them for the next call', () => {
      directory.addFromHello(record('a'))
      assert.deepEqual([...links.open], ['a'])
    })

    test.it('are forwarded once and in one batch, because not every node links to each other one', () => {
      directory.addFromHello(record('a'))
      directory.addFromPeer([record('b'), record('a')])
      directory.tick()
      nowMs = 100
      directory.addFromPeer([record('c'), record('b')])
      directory.tick()
      nowMs = 500
      directory.tick()
      nowMs = 2_000
      directory.tick()
      assert.deepEqual(links.sent.map(nodeIdsOf), [['a', 'b'], ['c']])
    })

    test.it('are not forwarded after the first read of the store, because all nodes read it', () => {
      directory.addFromStore([record('a')])
      directory.tick()
      assert.deepEqual(links.sent, [])
    })

    test.it('are forwarded when a later read of the store shows them, because most nodes rarely read it', () => {
      directory.addFromStore([record('a')])
      directory.addFromStore([record('a'), record('b')])
      directory.tick()
      assert.deepEqual(links.sent.map(nodeIdsOf), [['b']])
    })
  })

  test.describe('a known node', () => {
    test.it('is moved to another service by its own hello and not by reports of other nodes, which may be out of date', () => {
      directory.addFromHello(record('a', 'till'))
      directory.addFromPeer([record('a', 'vault')])
      assert.equal(table.get('a')?.service, 'till')
      directory.addFromHello(record('a', 'vault'))
      assert.deepEqual(table.ofService('till'), [])
      assert.equal(table.get('a')?.service, 'vault')
    })

    test.it('is removed and reported as expired when it has been unreachable for long', () => {
      directory.addFromHello(record('a'))
      table.setConnected('a', false)
      for (nowMs = 0; nowMs <= 121_000; nowMs += 1_000) directory.tick()
      assert.deepEqual([table.get('a'), expired], [undefined, ['a']])
    })
  })

  test.describe('links in a large fleet', () => {
    test.it('are closed when they are not in the plan any more, unless a call is on them', () => {
      directory.addFromStore(Array.from({ length: FLEET_SIZE }, (_, at) => record(`n${at}`)))
      const planned = [...links.open]
      assert.ok(planned.length < FLEET_SIZE / 2, `${planned.length} links`)
      const extra = Array.from({ length: FLEET_SIZE }, (_, at) => `n${at}`).filter(nodeId => !planned.includes(nodeId)).slice(0, 2)
      for (const nodeId of extra) links.connect(nodeId)
      links.busy.add(extra[0] ?? '')
      nowMs = 2_100
      directory.tick()
      assert.deepEqual(extra.map(nodeId => links.open.has(nodeId)), [true, false])
      assert.ok(planned.every(nodeId => links.open.has(nodeId)))
    })
  })
})
