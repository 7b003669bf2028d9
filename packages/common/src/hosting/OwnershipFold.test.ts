import * as assert from 'node:assert/strict'
import * as codec from './WindowCodec.js'
import * as fc from 'fast-check'
import * as fixture from './testing/Fixture.js'
import * as keys from './Keys.js'
import type * as messages from '../node/Messages.js'
import * as ownership from './OwnershipTable.js'
import * as ownershipReader from './OwnershipReader.js'
import * as random from '../base/Random.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const NUM_RUNS = 400
const MAX_TIME_MS = 40
const NODES = ['a', 'b', 'c']

/** One append; what it says depends on the table that its author has read. */
interface Append {
  readonly kind: types.OwnershipRecord['kind'] | 'nonsense'
  readonly node: number
  readonly partition: number
  readonly timeMs: number
  /** Records that the author has not read yet. */
  readonly behind: number
}

const append: fc.Arbitrary<Append> = fc.record({
  kind: fc.constantFrom('horizon', 'horizon', 'partitions', 'partitions', 'partitions', 'release', 'table-snapshot', 'table-reset', 'nonsense'),
  node: fc.nat({ max: 2 }),
  partition: fc.nat({ max: 3 }),
  timeMs: fc.nat({ max: MAX_TIME_MS }),
  behind: fc.constantFrom(0, 0, 0, 1, 3)
})

/** Keys for times 0 to 40 in the first partitions. */
const KEYS = Array.from({ length: MAX_TIME_MS + 1 }, (_, timeMs) => {
  const candidates = Array.from({ length: 400 }, (_, i) => fixture.keyAt(timeMs, i + 1))
  return [0, 1, 2, 3].map(partition => candidates.find(key => keys.partitionOf(key) === partition) ?? candidates[0] ?? '')
}).flat()

/** A reset whose author has not read the last horizon; random appends need thousands of runs to find it. */
const RESET_RACE: Append[] = ([['partitions', 0, 0, 0], ['horizon', 0, 1, 0], ['table-reset', 0, 0, 3], ['partitions', 1, 0, 0], ['horizon', 0, 1, 0]] as const)
  .map(([kind, node, timeMs, behind]) => ({ kind, node, partition: 0, timeMs, behind }))

function owner (node: number, incarnation = 1): types.PartitionOwner {
  return { nodeId: NODES[node] ?? 'a', incarnation }
}

function toRecord (table: ownership.OwnershipTable, { kind, node, partition, timeMs }: Append): unknown {
  if (kind === 'horizon') return { kind, untilMs: timeMs }
  if (kind === 'release') return { kind, owner: owner(node), successor: owner(node + 1) }
  if (kind === 'table-snapshot') return { kind, ...table.updateSince(0) }
  if (kind === 'table-reset') return { kind, asOfOffset: table.asOfOffset, floorMs: table.horizonMs }
  if (kind === 'nonsense') return { kind }
  const entry = { service: fixture.SERVICE, partition, startsAtMs: timeMs, owner: owner(node) }
  return { kind, baseTableVersion: table.tableVersion, startsAtMs: timeMs, services: codec.pack([entry]) }
}

/** The stream, and the table after each prefix of it. */
function fold (appends: readonly Append[]): { readonly stream: readonly unknown[], readonly tables: readonly ownership.OwnershipTable[] } {
  const stream: unknown[] = []
  const tables = [new ownership.OwnershipTable()]
  for (const one of appends) {
    const author = tables[Math.max(0, tables.length - 1 - one.behind)]
    if (author === undefined) break
    stream.push(toRecord(author, one))
    tables.push(read(stream, 0, new ownership.OwnershipTable()))
  }
  return { stream, tables }
}

/** Reads the stream as a node does whose log has dropped what is before `firstOffset`. */
function read (stream: readonly unknown[], firstOffset: number, table: ownership.OwnershipTable): ownership.OwnershipTable {
  const effects: messages.Effect[] = []
  const reader = new ownershipReader.OwnershipReader({ table, effects, random: new random.Random(1) })
  for (let reads = 0; reads < 8; reads++) {
    reader.tick(reads, true)
    const effect = effects.pop()
    if (effect?.kind !== 'read-log') break
    const from = Math.max(firstOffset, effect.fromOffset)
    const records = stream.slice(from).map((data, i) => ({ offset: from + i, data }))
    reader.handleLogRead({ stream: 'ownership', ok: true, records, firstOffset, nextOffset: stream.length, retentionMs: 1 }, reads)
  }
  return table
}

function ownersOf (table: ownership.OwnershipTable): readonly (string | undefined)[] {
  return KEYS.map(key => {
    const lookup = table.ownerOf(fixture.SERVICE, key).unwrap()
    return lookup.kind === 'owner' ? lookup.owner.nodeId : undefined
  })
}

test.describe('The fold of the ownership stream', () => {
  test.it('names no second owner for a key at any two prefixes, so that a node that is behind cannot run it too', () => {
    fc.assert(fc.property(fc.array(append, { maxLength: 25 }), appends => {
      const first: (string | undefined)[] = []
      for (const table of fold(appends).tables) {
        for (const [i, name] of ownersOf(table).entries()) {
          if (name !== undefined) first[i] ??= name
          assert.ok(name === undefined || name === first[i], `key ${KEYS[i]} belongs to ${first[i]} and to ${name}`)
        }
      }
    }), { seed: 17, numRuns: NUM_RUNS, examples: [[RESET_RACE]] })
  })

  test.it('is the same for a node that starts in the middle or takes an update, so that no node goes its own way', () => {
    fc.assert(fc.property(fc.array(append, { maxLength: 25 }), fc.nat({ max: 20 }), fc.nat({ max: 25 }), fc.nat({ max: 25 }), (appends, firstOffset, peer, asked) => {
      const { stream, tables } = fold(appends)
      const late = read(stream, Math.min(firstOffset, stream.length), new ownership.OwnershipTable())
      assert.deepEqual(late.updateSince(0), tables[late.asOfOffset]?.updateSince(0))
      // Made for the version of another node, as an update that went to the wrong one or came late.
      const since = tables[Math.min(asked, stream.length)]?.tableVersion ?? 0
      const update = tables[Math.min(peer, stream.length)]?.updateSince(since)
      if (update !== undefined) late.merge(update)
      assert.deepEqual(late.updateSince(0), tables[late.asOfOffset]?.updateSince(0))
      read(stream, Math.min(firstOffset, stream.length), late)
      assert.deepEqual(late.updateSince(0), tables[late.asOfOffset]?.updateSince(0))
    }), { seed: 18, numRuns: NUM_RUNS })
  })
})
