/** Ownership tables for measurements. */
import * as codec from '@elmpost/common/hosting/WindowCodec.js'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as keys from '@elmpost/common/hosting/Keys.js'
import * as ownership from '@elmpost/common/hosting/OwnershipTable.js'
import type * as types from '@elmpost/common/hosting/Types.js'

export const NODES_PER_SERVICE = 8

/** Ownership table of a fleet with the initial partitions of each service and a horizon. */
export function largeTable (serviceCount: number): ownership.OwnershipTable {
  const table = new ownership.OwnershipTable()
  const entries: types.PartitionEntry[] = []
  for (let number = 0; number < serviceCount; number++) {
    for (let partition = 0; partition < keys.PARTITIONS; partition++) {
      const owner = { nodeId: `vm-${number}-${partition % NODES_PER_SERVICE}`, incarnation: fixture.T0 }
      entries.push({ service: `service-${number}`, partition, startsAtMs: fixture.T0, owner })
    }
  }
  table.apply({ kind: 'partitions', baseTableVersion: 0, startsAtMs: fixture.T0, services: codec.pack(entries) }, 0)
  table.apply({ kind: 'horizon', untilMs: fixture.T0 + 600_000 }, 1)
  return table
}
