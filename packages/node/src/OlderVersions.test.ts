import * as assert from 'node:assert/strict'
import * as acceptance from '@elmpost/common/config/Acceptance.js'
import * as configValidator from '@elmpost/common/config/ConfigValidator.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as messageChecks from './generated/MessageChecks.js'
import * as nodeComposition from '@elmpost/common/node/NodeComposition.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import * as peerCodec from './PeerCodec.js'
import * as random from '@elmpost/common/base/Random.js'
import * as recorded from './testing/RecordedMessages.js'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'

const NOW_MS = recorded.STARTED_AT_MS + 40_000
/** Kinds that the gateways and links process instead of the core. */
const CALL_KINDS: ReadonlySet<string> = new Set(['hello', 'call', 'cancel', 'answer', 'chunk', 'chunk-credit'])
/** Kinds that were added after the frames were recorded. */
const LATER_KINDS: ReadonlySet<string> = new Set(['handover-refusal'])

class Node {
  public readonly problems: string[] = []
  public readonly core: nodeComposition.NodeComposition['core']

  constructor () {
    this.core = new nodeComposition.NodeComposition({
      self: { nodeId: 'new', incarnation: NOW_MS, peerAddress: 'n:1', callerAddress: 'n:2', adminAddress: 'n:3', zone: 'vake', service: '', targetReady: false, targetReadySinceMs: 0, enforcedVersion: 0 },
      seeds: ['a:1'],
      random: new random.Random(1),
      onRefused: error => { this.problems.push(error.message) },
      onRecordSkipped: (skipped: nodeServices.RecordSkipped) => { this.problems.push(skipped.problem) }
    }).core
  }

  public read (stream: keyof typeof recorded.RECORDS): void {
    const records = recorded.RECORDS[stream].map((text, offset) => ({ offset, data: JSON.parse(text) as unknown }))
    this.core.logRead({ stream, ok: true, records, firstOffset: 0, nextOffset: records.length, retentionMs: 3_600_000 }, NOW_MS)
  }
}

test.describe('compatibility with versions before rule set 2', () => {
  const codec = new peerCodec.PeerCodec()

  test.it('decodes recorded messages of every kind and the core accepts them, so that nodes can be upgraded one by one', () => {
    const kinds = Object.keys(messageChecks.CHECKS).filter(kind => !LATER_KINDS.has(kind))
    assert.deepEqual(Object.keys(recorded.FRAMES).sort(), kinds.sort())
    for (const [kind, frame] of Object.entries(recorded.FRAMES)) {
      const node = new Node()
      const message = codec.decode(Buffer.from(frame, 'base64')).unwrap()
      assert.equal(message.kind, kind)
      if (!CALL_KINDS.has(kind)) node.core.receive('a', message as messages.ControlMessage, NOW_MS)
      assert.deepEqual([kind, node.problems], [kind, []])
    }
  })

  test.it('folds recorded records to the same verdicts and state, so that all nodes enforce the same version and digest', () => {
    const node = new Node()
    node.read('config')
    node.read('ownership')
    assert.deepEqual(node.problems, [])
    assert.ok(node.core.services.ownershipTable.horizonMs > recorded.STARTED_AT_MS)
    assert.ok(node.core.services.ownershipTable.newestOwners('till').length > 0)
    const fold = new acceptance.Acceptance(new configValidator.ConfigValidator())
    const verdicts = recorded.RECORDS.config.map((text, offset) => fold.apply({ offset, data: JSON.parse(text) as unknown }).kind)
    assert.deepEqual(verdicts, ['accepted', 'stale-snapshot', 'accepted', 'stale-snapshot'])
    assert.deepEqual([fold.state?.version, fold.state?.digest], [2, documents.testState(2, documents.testDocument(2)).digest])
  })
})
