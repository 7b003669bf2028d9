import * as assert from 'node:assert/strict'
import * as fleetMembership from './FleetMembership.js'
import * as random from '@elmpost/common/base/Random.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as readerPlan from '@elmpost/common/direct/ReaderPlan.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const SELF = '10.0.0.1:7080'
const FLEET_SIZE = 30
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }
const STATUS: direct.HostStatus = { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }

test.describe('FleetMembership', () => {
  let nowMs: number
  let connected: Set<string>
  let issuers: readonly string[]
  let fleet: fleetMembership.FleetMembership
  let table: targetTable.TargetTable

  function tick (): ReadonlySet<string> {
    nowMs += 1_000
    fleet.tick()
    return new Set(connected)
  }

  test.beforeEach(() => {
    nowMs = 0
    connected = new Set()
    issuers = []
    table = new targetTable.TargetTable()
    fleet = new fleetMembership.FleetMembership({
      settings: { peerAddress: SELF, zone: 'vake', service: 'till', linkMbps: 7, isFirstStart: false } as types.DirectSettings,
      table,
      links: {
        connect: nodeId => {
          connected.add(nodeId)
          table.setConnected(nodeId, true)
          table.updateStatus(nodeId, STATUS, nowMs)
        },
        disconnect: nodeId => { connected.delete(nodeId) },
        isConnected: nodeId => connected.has(nodeId),
        isIdle: () => true,
        sendToSome: () => {},
        send: () => {}
      },
      readers: { requiredPeers: [] as readonly string[], isReader: false } as unknown as readerPlan.ReaderPlan,
      issuers: () => issuers,
      isMixed: () => false,
      store: {} as services.IKeyedStore,
      logger: { isEnabled: () => true, log: () => {} },
      random: new random.Random(1),
      nowMs: () => nowMs,
      target: () => undefined,
      crashes: { stored: [], restore: () => {} },
      restore: () => {}
    })
    fleet.handleNodes(Array.from({ length: FLEET_SIZE }, (_, at) => ({ nodeId: `10.0.1.${at}:7080`, zone: 'vake', service: 'till', linkMbps: 7, target: undefined })))
  })

  test.afterEach(() => { fleet.dispose() })

  // Guards against calls of customers that are refused in large fleets, because the issuers are not among the targets that a node has links to.
  test.it('keeps links to the issuers of grants while there are any', () => {
    const before = tick()
    const other = [...table.all()].map(({ nodeId }) => nodeId).find(nodeId => !before.has(nodeId)) ?? ''
    issuers = [other, SELF]
    fleet.invalidatePlan()
    assert.deepEqual(tick(), new Set([...before, other]))
    issuers = []
    fleet.invalidatePlan()
    assert.deepEqual(tick(), before)
  })

  // Guards against an issuer that stays excluded after its restart on nodes that it has no reason to report to.
  test.it('takes a greeting for the return of a node that had announced that it leaves', () => {
    const nodeId = '10.0.1.3:7080'
    table.recordLeaving(nodeId, true)
    fleet.handleHello({ kind: 'hello', nodeId, zone: 'vake', service: 'till', version: 1, linkMbps: 7 })
    assert.equal(table.get(nodeId)?.hasAnnouncedLeaving, false)
  })
})
