import type * as types from './Types.js'

/** Packs entries by service and start. */
export function pack (entries: Iterable<types.PartitionEntry>): types.ServiceWindows[] {
  const services = new Map<string, ServicePacker>()
  for (const entry of entries) {
    let packer = services.get(entry.service)
    if (packer === undefined) services.set(entry.service, packer = new ServicePacker())
    packer.add(entry)
  }
  return [...services].map(([service, packer]) => packer.result(service))
}

export function * unpack (services: readonly types.ServiceWindows[]): Generator<types.PartitionEntry> {
  for (const { service, owners, groups } of services) {
    for (const { startsAtMs, pairs } of groups) {
      for (let i = 0; i + 1 < pairs.length; i += 2) {
        const partition = pairs[i]
        const owner = owners[pairs[i + 1] ?? -1]
        if (partition !== undefined && owner !== undefined) yield { service, partition, startsAtMs, owner }
      }
    }
  }
}

class ServicePacker {
  private readonly _owners: types.PartitionOwner[] = []
  private readonly _groups = new Map<number, number[]>()

  public add (entry: types.PartitionEntry): void {
    const { nodeId, incarnation } = entry.owner
    let index = this._owners.findIndex(owner => owner.nodeId === nodeId && owner.incarnation === incarnation)
    if (index < 0) index = this._owners.push(entry.owner) - 1
    let pairs = this._groups.get(entry.startsAtMs)
    if (pairs === undefined) this._groups.set(entry.startsAtMs, pairs = [])
    pairs.push(entry.partition, index)
  }

  public result (service: string): types.ServiceWindows {
    const groups = [...this._groups].map(([startsAtMs, pairs]) => ({ startsAtMs, pairs }))
    return { service, owners: this._owners, groups }
  }
}
