import type * as base from '../base/Types.js'
import * as keys from './Keys.js'
import type * as types from './Types.js'

const NO_OWNER = -1

/** Windows with the same start. */
interface Group {
  readonly startsAtMs: base.Millis
  /** Index into `_owners` by partition. */
  readonly owners: Int16Array
}

/** Owners of the partitions of one service by key issue time; compact, because a node holds hundreds of them. */
export class ServiceTable {
  private _owners: types.PartitionOwner[] = []
  /** Newest first. */
  private readonly _groups: Group[] = []

  /** `version` is the table version of the last change. */
  constructor (public version: number) {}

  public static unpack (windows: types.ServiceWindows, version: number): ServiceTable {
    const table = new ServiceTable(version)
    for (const entry of entriesOf(windows)) table.set(entry.partition, entry.startsAtMs, entry.owner)
    return table
  }

  public pack (service: string): types.ServiceWindows {
    this._compact()
    const groups = this._groups.map(({ startsAtMs, owners }) => {
      const pairs: number[] = []
      for (const [partition, owner] of owners.entries()) {
        if (owner !== NO_OWNER) pairs.push(partition, owner)
      }
      return { startsAtMs, pairs }
    })
    return { service, owners: this._owners, groups }
  }

  public ownerAt (partition: number, timeMs: base.Millis): types.PartitionOwner | undefined {
    return this._find(partition, timeMs)?.owner
  }

  public newestWindow (partition: number): { readonly startsAtMs: base.Millis, readonly owner: types.PartitionOwner } | undefined {
    return this._find(partition, Infinity)
  }

  public set (partition: number, startsAtMs: base.Millis, owner: types.PartitionOwner): void {
    if (partition >= keys.PARTITIONS) return
    this._group(startsAtMs).owners[partition] = this._ownerIndex(owner)
  }

  /** Drops windows that ended at or before the time. */
  public prune (beforeMs: base.Millis): void {
    const covered = new Uint8Array(keys.PARTITIONS)
    for (const { startsAtMs, owners } of this._groups) {
      for (let partition = 0; partition < keys.PARTITIONS; partition++) {
        if (covered[partition] === 1) owners[partition] = NO_OWNER
        else if (owners[partition] !== NO_OWNER && startsAtMs <= beforeMs) covered[partition] = 1
      }
    }
    const kept = this._groups.filter(({ owners }) => owners.some(owner => owner !== NO_OWNER))
    this._groups.splice(0, this._groups.length, ...kept)
    this._compact()
  }

  public owners (): readonly types.PartitionOwner[] {
    return this._owners
  }

  /** Drops owners without windows and sorts the rest by first use, so that equal tables are packed equally. */
  private _compact (): void {
    const indexes = new Map<number, number>()
    const used: types.PartitionOwner[] = []
    for (const { owners } of this._groups) {
      for (const [partition, index] of owners.entries()) {
        const owner = this._owners[index]
        if (owner === undefined) continue
        let compacted = indexes.get(index)
        if (compacted === undefined) indexes.set(index, compacted = used.push(owner) - 1)
        owners[partition] = compacted
      }
    }
    this._owners = used
  }

  private _find (partition: number, timeMs: base.Millis): { startsAtMs: base.Millis, owner: types.PartitionOwner } | undefined {
    for (const { startsAtMs, owners } of this._groups) {
      const owner = startsAtMs <= timeMs ? this._owners[owners[partition] ?? NO_OWNER] : undefined
      if (owner !== undefined) return { startsAtMs, owner }
    }
    return undefined
  }

  private _group (startsAtMs: base.Millis): Group {
    const at = this._groups.findIndex(group => group.startsAtMs <= startsAtMs)
    const found = this._groups[at]
    if (found?.startsAtMs === startsAtMs) return found
    const group = { startsAtMs, owners: new Int16Array(keys.PARTITIONS).fill(NO_OWNER) }
    this._groups.splice(at < 0 ? this._groups.length : at, 0, group)
    return group
  }

  private _ownerIndex (owner: types.PartitionOwner): number {
    const { nodeId, incarnation } = owner
    const index = this._owners.findIndex(known => known.nodeId === nodeId && known.incarnation === incarnation)
    return index >= 0 ? index : this._owners.push(owner) - 1
  }
}

export function * entriesOf ({ service, owners, groups }: types.ServiceWindows): Generator<types.PartitionEntry> {
  for (const { startsAtMs, pairs } of groups) {
    for (let i = 0; i + 1 < pairs.length; i += 2) {
      const partition = pairs[i]
      const owner = owners[pairs[i + 1] ?? NO_OWNER]
      if (partition !== undefined && owner !== undefined) yield { service, partition, startsAtMs, owner }
    }
  }
}
