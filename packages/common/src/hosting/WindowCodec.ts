import * as serviceTables from './ServiceTable.js'
import type * as types from './Types.js'

/** Packs entries, grouped by service and start time. */
export function pack (entries: Iterable<types.PartitionEntry>): types.ServiceWindows[] {
  const tables = new Map<string, serviceTables.ServiceTable>()
  for (const { service, partition, startsAtMs, owner } of entries) {
    let table = tables.get(service)
    if (table === undefined) tables.set(service, table = new serviceTables.ServiceTable(0))
    table.set(partition, startsAtMs, owner)
  }
  return [...tables].map(([service, table]) => table.pack(service))
}

/** Inverse of `pack`. */
export function * unpack (services: readonly types.ServiceWindows[]): Generator<types.PartitionEntry> {
  for (const windows of services) yield * serviceTables.entriesOf(windows)
}
