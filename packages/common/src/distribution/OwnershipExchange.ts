import type * as hosting from '../hosting/Services.js'
import type * as hostingTypes from '../hosting/Types.js'
import type * as memberTypes from '../membership/Types.js'

/** Exchanges updates of the ownership table along with configuration messages. Does nothing without a table. */
export class OwnershipExchange {
  private _pushedVersion = 0
  private _pushedOffset = 0
  private _hasGap = false

  constructor (private readonly _table: hosting.IOwnershipTable | undefined) {}

  public get version (): number {
    return this._table?.tableVersion ?? 0
  }

  /** Length of the `ownership` stream that the table includes. */
  public get offset (): number {
    return this._table?.asOfOffset ?? 0
  }

  /** Whether the table has changed since it was last pushed to, or by, this node. */
  public get hasUnpushed (): boolean {
    return this.offset > this._pushedOffset
  }

  public isBehind (peer: memberTypes.PeerVersion): boolean {
    return this._table !== undefined && (this._hasGap || peer.ownershipOffset > this._table.asOfOffset)
  }

  /** Merges an update. Returns `gap` if it starts from a version that this node does not have yet. */
  public apply (update: hostingTypes.OwnershipUpdate | undefined): 'taken' | 'gap' {
    if (this._table === undefined || update === undefined) return 'taken'
    this._hasGap = update.asOfOffset > this._table.asOfOffset && update.sinceVersion > this._table.tableVersion
    if (this._hasGap) return 'gap'
    this._table.merge(update)
    return 'taken'
  }

  public updateFor (haveVersion: number, haveOffset: number): { readonly ownership?: hostingTypes.OwnershipUpdate } {
    if (this._table === undefined || this._table.asOfOffset <= haveOffset) return {}
    return { ownership: this._table.updateSince(haveVersion) }
  }

  /** Marks the table in its present version as pushed to the zone. */
  public markPushed (): void {
    this._pushedVersion = this.version
    this._pushedOffset = this.offset
  }

  public takeUnpushed (): { readonly ownership?: hostingTypes.OwnershipUpdate } {
    if (this._table === undefined || !this.hasUnpushed) return {}
    const ownership = this._table.updateSince(this._pushedVersion)
    this.markPushed()
    return { ownership }
  }
}
