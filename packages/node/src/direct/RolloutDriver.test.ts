import * as assert from 'node:assert/strict'
import * as random from '@elmpost/common/base/Random.js'
import * as rolloutDriver from './RolloutDriver.js'
import * as rolloutHealths from './RolloutHealths.js'
import * as rolloutRegister from '@elmpost/common/direct/RolloutRegister.js'
import * as rolloutStatuses from './RolloutStatuses.js'
import * as storeEra from '@elmpost/common/direct/StoreEra.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import type * as rolloutTypes from '@elmpost/common/direct/RolloutTypes.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const ORDER: rolloutTypes.RolloutOrder = { service: 'till', targetVersion: 'v2', rampMs: 12_000, offset: 7, digest: 'd7' }
const STATE: rolloutTypes.RolloutState = { order: ORDER, phase: 'all', share: 1, isBad: false, isRecorded: true, isPast: false, orderedAtMs: 0 }
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }
const FORMAT: services.IRolloutFormat = {
  statusTopic: 'status',
  keyOf: service => service,
  isKey: () => true,
  decodeOrder: () => new Error('not used'),
  decodeStatus: bytes => JSON.parse(Buffer.from(bytes).toString()) as services.RolloutReport,
  encodeStatus: report => Buffer.from(JSON.stringify(report))
}

/** Topic with conditional appends, which a test can hold up. */
class FakeStore implements services.IKeyedStore {
  public readonly era = new storeEra.StoreEra()
  public readonly states: string[] = []
  public reads = 0
  public isAway = false
  public delay: Promise<void> = Promise.resolve()
  private _newest: Buffer | undefined

  public newest (): Promise<types.NewestResult> {
    this.reads += 1
    if (this.isAway) return Promise.resolve({ kind: 'unavailable', problem: 'away' })
    return Promise.resolve({ kind: 'records', records: this._newest === undefined ? [] : [{ key: 'till', value: this._newest }], nextOffset: this.states.length })
  }

  public read (): Promise<types.ReadResult> {
    return this.newest()
  }

  public async put (_topic: string, [record]: readonly types.KeyedRecord[], _timeoutMs: number, atOffset?: number): Promise<types.PutResult> {
    await this.delay
    if (this.isAway) return { kind: 'unknown', problem: 'away' }
    if (atOffset !== this.states.length) return { kind: 'moved', problem: `ends at ${this.states.length}` }
    this._newest = record?.value
    this.states.push((JSON.parse(String(record?.value)) as services.RolloutReport).state)
    return { kind: 'written' }
  }

  public dispose (): void {}
}

interface Driver {
  readonly register: rolloutRegister.RolloutRegister
  readonly driver: rolloutDriver.RolloutDriver
  isDriver: boolean
}

test.describe('RolloutDriver', () => {
  let nowMs: number
  let store: FakeStore

  function create (state: rolloutTypes.RolloutState): Driver {
    const clock = (): number => nowMs
    const table = new targetTable.TargetTable()
    for (const softwareVersion of ['v1', 'v2']) {
      table.put(softwareVersion, 'vake', 'till')
      table.setConnected(softwareVersion, true)
      table.updateStatus(softwareVersion, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0, target: { targetId: softwareVersion, startedAtMs: 1, isLeaving: false, softwareVersion } }, 0)
    }
    const register = new rolloutRegister.RolloutRegister({ table, random: new random.Random(1), nowMs: clock, startedAtMs: 0 })
    register.put(state)
    const statuses = new rolloutStatuses.RolloutStatuses({ store, format: FORMAT, nowMs: clock, logger: { isEnabled: () => true, log: () => {} } })
    const created: Driver = {
      register,
      driver: new rolloutDriver.RolloutDriver({ register, healths: new rolloutHealths.RolloutHealths(clock), statuses, table, exposureShare: 0.1, nowMs: clock, routes: () => [], isDriver: () => created.isDriver, apply: decided => { register.put(decided) } }),
      isDriver: true
    }
    return created
  }

  async function run (drivers: readonly Driver[], ms: number): Promise<void> {
    for (const endMs = nowMs + ms; nowMs < endMs; nowMs += 100) {
      for (const { driver } of drivers) driver.tick()
      await timers.setImmediate()
    }
  }

  test.beforeEach(() => {
    nowMs = 10_000
    store = new FakeStore()
  })

  test.it('writes running and completed with one read, and nothing after that', async () => {
    const one = create(STATE)
    await run([one], 3_000)
    assert.deepEqual([store.states, store.reads, one.register.get('till')?.phase], [['running', 'completed'], 1, 'done'])
  })

  test.it('lets one of two drivers end an order, and the other one take it over', async () => {
    const drivers = [create(STATE), create({ ...STATE, isBad: true })]
    await run(drivers, 3_000)
    const [final] = store.states.slice(-1)
    assert.equal(store.states.filter(state => state !== 'running').length, 1, store.states.join(' '))
    for (const { register } of drivers) assert.equal(register.get('till')?.phase, final === 'completed' ? 'done' : 'rolled-back')
  })

  // Guards against a stopped driver that goes on with a decision of the time before its pause.
  test.it('makes the write of an earlier driver fail that is still on its way', async () => {
    let arrive: () => void = () => {}
    const later = create({ ...STATE, isBad: true })
    const first = create(STATE)
    await run([first], 300)
    store.delay = new Promise(resolve => { arrive = resolve })
    await run([first], 300)
    store.delay = Promise.resolve()
    await run([later], 1_000)
    arrive()
    await run([first, later], 1_500)
    assert.equal(store.states.includes('completed'), false, store.states.join(' '))
    assert.deepEqual([first, later].map(({ register }) => register.get('till')?.phase), ['rolled-back', 'rolled-back'])
  })

  test.it('does not open an order of the past that has ended, but one that is new with the same version', async () => {
    const past = { ...STATE, phase: 'waiting', share: 0, isRecorded: false, isPast: true } as const
    await run([create({ ...STATE, isBad: true })], 1_000)
    assert.equal(store.states.at(-1), 'rolled_back')
    const restarted = create(past)
    await run([restarted], 500)
    assert.equal(restarted.register.get('till')?.phase, 'rolled-back')
    restarted.register.put({ ...past, isPast: false, order: { ...ORDER, offset: 9 }, orderedAtMs: nowMs })
    await run([restarted], 1_000)
    assert.deepEqual([store.states.at(-1), restarted.register.get('till')?.phase], ['running', 'canary'])
  })

  test.it('keeps the phase when the store is away, and writes the end when it is back', async () => {
    store.isAway = true
    const one = create(STATE)
    await run([one], 5_000)
    assert.equal(one.register.get('till')?.phase, 'all')
    store.isAway = false
    await run([one], 1_000)
    assert.deepEqual(store.states, ['running', 'completed'])
  })
})
