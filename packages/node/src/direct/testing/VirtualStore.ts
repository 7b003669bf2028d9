import * as storeEra from '@elmpost/common/direct/StoreEra.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as services from '../Services.js'
import type * as types from '../Types.js'
import type * as virtualTime from './VirtualTime.js'

export const TOPIC = 'config'
const STORE_MS = 10

/** How a process reaches the store. */
export interface IStoreAccess extends virtualTime.IVirtualProcess {
  /** Whether what it sends to the store, and what the store answers, is lost. */
  readonly isWithoutStore: boolean
}

/** Store that all nodes reach, except those that are cut off from it. */
export class VirtualStore {
  public version = 1
  public calls = 0
  /** From a call to its answer, if there is no wait. */
  public answerMs = STORE_MS
  private readonly _waiting = new Set<() => void>()

  constructor (public readonly time: virtualTime.VirtualTime) {}

  public accept (version: number): void {
    this.version = version
    for (const wake of [...this._waiting]) wake()
  }

  /** Calls back for the first version at the offset or a later one, or after the wait. */
  public onVersion (fromOffset: number, waitMs: base.Millis, callback: () => void): void {
    if (this.version >= fromOffset || waitMs <= 0) {
      callback()
      return
    }
    const wake = (): void => {
      if (this._waiting.delete(wake)) callback()
    }
    this._waiting.add(wake)
    this.time.schedule(undefined, waitMs, wake)
  }
}

/** The store as one node reaches it. The offset of a record is its version. */
export class StoreLink implements services.IKeyedStore {
  public readonly era = new storeEra.StoreEra()

  constructor (private readonly _store: VirtualStore, private readonly _node: IStoreAccess) {}

  public newest (_topic: string, timeoutMs: base.Millis): Promise<types.NewestResult> {
    return this._ask(0, 0, timeoutMs)
  }

  public read (_topic: string, fromOffset: number, waitMs: base.Millis, timeoutMs: base.Millis): Promise<types.ReadResult> {
    return this._ask(fromOffset, waitMs, timeoutMs)
  }

  public put (): Promise<types.PutResult> {
    return Promise.resolve({ kind: 'written' })
  }

  public dispose (): void {}

  /** What the store answers is true of the moment at which it answers, and not of that at which a node reads it. */
  private _ask (fromOffset: number, waitMs: base.Millis, timeoutMs: base.Millis): Promise<types.NewestResult> {
    const { time } = this._store
    this._store.calls += 1
    return new Promise(resolve => {
      time.scheduleAwaited(this._node, timeoutMs, () => { resolve({ kind: 'unavailable', problem: 'timeout' }) })
      if (this._node.isWithoutStore) return
      const wayMs = this._store.answerMs / 2
      time.schedule(undefined, wayMs, () => {
        this._store.onVersion(fromOffset, waitMs, () => {
          const { version } = this._store
          if (this._node.isWithoutStore) return
          time.scheduleAwaited(this._node, wayMs, () => { resolve(recordsOf(version, fromOffset)) })
        })
      })
    })
  }
}

function recordsOf (version: number, fromOffset: number): types.NewestResult {
  if (version < fromOffset) return { kind: 'records', records: [], nextOffset: fromOffset }
  return { kind: 'records', records: [{ key: TOPIC, value: Buffer.from(String(version)) }], nextOffset: version + 1 }
}
