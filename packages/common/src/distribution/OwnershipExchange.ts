import type * as hosting from '../hosting/Services.js'
import type * as hostingTypes from '../hosting/Types.js'
import type * as memberTypes from '../membership/Types.js'

/** Carries the ownership table along with configuration messages. Without a table it does nothing. */
export class OwnershipExchange {
  private _pushedVersion = 0
  private _pushedHorizonMs = 0
  private _isForcedBehind = false

  constructor (private readonly _table: hosting.IOwnershipTable | undefined) {}

  public get version (): number {
    return this._table?.tableVersion ?? 0
  }

  /** Whether the table has changed since it was last pushed to, or by, this node. */
  public get hasUnpushed (): boolean {
    if (this._table === undefined) return false
    return this._table.tableVersion > this._pushedVersion || this._table.horizonMs > this._pushedHorizonMs
  }

  public isBehind (peer: memberTypes.PeerVersion): boolean {
    if (this._table === undefined) return false
    return this._isForcedBehind || peer.ownershipVersion > this._table.tableVersion || peer.horizonMs > this._table.horizonMs
  }

  /** `gap`: the update starts from a version that this node does not have yet. */
  public take (update: hostingTypes.OwnershipUpdate | undefined): 'taken' | 'gap' {
    if (this._table === undefined || update === undefined) return 'taken'
    if (update.sinceVersion > this._table.tableVersion) {
      this._isForcedBehind = true
      return 'gap'
    }
    this._isForcedBehind = false
    this._table.merge(update)
    return 'taken'
  }

  public updateFor (haveVersion: number): { readonly ownership?: hostingTypes.OwnershipUpdate } {
    if (this._table === undefined || this._table.tableVersion < haveVersion || haveVersion === Number.MAX_SAFE_INTEGER) return {}
    return { ownership: this._table.updateSince(haveVersion) }
  }

  /** The zone has been, or is being, told of the table as this node knows it. */
  public pushed (): void {
    this._pushedVersion = this._table?.tableVersion ?? 0
    this._pushedHorizonMs = this._table?.horizonMs ?? 0
  }

  public takeUnpushed (): { readonly ownership?: hostingTypes.OwnershipUpdate } {
    if (this._table === undefined || !this.hasUnpushed) return {}
    const ownership = this._table.updateSince(this._pushedVersion)
    this.pushed()
    return { ownership }
  }
}
