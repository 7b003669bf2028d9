import * as keys from './Keys.js'
import type * as types from './Types.js'

export interface PartitionPlanInput {
  /** Owner of the newest window of each partition; empty for a service without a table. */
  readonly owners: readonly (types.PartitionOwner | undefined)[]
  /** Nodes that may get partitions. */
  readonly live: readonly types.PartitionOwner[]
  /** Whether the owner keeps its partitions; true also for nodes that drain or are suspected. */
  readonly keeps: (owner: types.PartitionOwner) => boolean
}

export interface PartitionMove {
  readonly partition: number
  readonly owner: types.PartitionOwner
}

/** Spreads the partitions evenly over the live nodes with as few moves as possible. */
export function planPartitions (input: PartitionPlanInput): readonly PartitionMove[] {
  if (input.live.length === 0) return []
  const live = [...input.live].sort((a, b) => a.nodeId < b.nodeId ? -1 : 1)
  const held = new Map<string, number[]>(live.map(node => [node.nodeId, []]))
  const free: number[] = []
  for (let partition = 0; partition < keys.PARTITIONS; partition++) {
    const owner = input.owners[partition]
    if (owner === undefined || !input.keeps(owner)) free.push(partition)
    else held.get(owner.nodeId)?.push(partition)
  }
  return assign(live, held, free)
}

function assign (live: readonly types.PartitionOwner[], held: ReadonlyMap<string, number[]>, free: number[]): readonly PartitionMove[] {
  const quotas = computeQuotas(live, held, free.length)
  for (const { nodeId } of live) {
    const partitions = held.get(nodeId) ?? []
    free.push(...partitions.splice(quotas.get(nodeId) ?? 0))
  }
  const moves: PartitionMove[] = []
  for (const owner of live) {
    const missing = (quotas.get(owner.nodeId) ?? 0) - (held.get(owner.nodeId)?.length ?? 0)
    for (const partition of free.splice(0, Math.max(0, missing))) moves.push({ partition, owner })
  }
  return moves
}

/** Nodes with the most partitions get the larger quotas, so that fewer partitions move. */
function computeQuotas (live: readonly types.PartitionOwner[], held: ReadonlyMap<string, number[]>, freeCount: number): ReadonlyMap<string, number> {
  const count = (node: types.PartitionOwner): number => held.get(node.nodeId)?.length ?? 0
  const total = live.reduce((sum, node) => sum + count(node), freeCount)
  const share = Math.floor(total / live.length)
  const larger = total % live.length
  const byHeld = [...live].sort((a, b) => count(b) - count(a))
  return new Map(byHeld.map((node, i) => [node.nodeId, i < larger ? share + 1 : share]))
}
