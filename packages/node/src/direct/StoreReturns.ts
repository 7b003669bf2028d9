import type * as base from '@elmpost/common/base/Types.js'
import type * as nodeServices from '../Services.js'
import type * as storeEra from '@elmpost/common/direct/StoreEra.js'

/** Writes to the store that a return from an older copy may have undone. */
export interface IStoreWriter {
  /** Writes again what was written in the last `ageMs`. Returns the number of records. */
  writeAgain(ageMs: base.Millis): number
}

/** Age of writes that are repeated. The copy from which a store comes back is some seconds old. */
const LOST_MS = 60_000

export interface StoreReturnsOptions {
  readonly era: storeEra.StoreEra
  readonly nodeRecord: IStoreWriter
  readonly auditTrail: IStoreWriter
  readonly logger: nodeServices.ILogger
  /** Tells the other nodes, which may have no contact to the store themselves. */
  readonly spread: () => void
}

/** Writes lost records again when the store has come back from an older copy. */
export class StoreReturns implements base.IDisposable {
  private readonly _subscription: base.IDisposable

  constructor (private readonly _options: StoreReturnsOptions) {
    this._subscription = _options.era.onReturn(era => { this._handleReturn(era) })
  }

  public dispose (): void {
    this._subscription.dispose()
  }

  private _handleReturn (storeEra: number): void {
    const { nodeRecord, auditTrail, logger, spread } = this._options
    const nodeRecords = nodeRecord.writeAgain(LOST_MS)
    logger.log('warn', 'store-returned', { storeEra, nodeRecords, auditRecords: auditTrail.writeAgain(LOST_MS) })
    spread()
  }
}
