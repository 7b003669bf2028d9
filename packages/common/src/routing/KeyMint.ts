import * as uuid from 'uuid'
import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as ownerLocator from './OwnerLocator.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Keys tried before the last one is used even though its owner is not live. */
const MOST_TRIES = 8

/** Live owners compared by utilization. */
const CHOICES = 2

/** Rank of owners whose own target cannot run the call; above every utilization. */
const BUSIEST_RANK = 1_000_000

const NOTHING_EXCLUDED: ReadonlySet<base.NodeId> = new Set()

const KEY_BYTES = 16

export interface KeyMintOptions {
  /** Node that mints, so that nodes with equal random sequences still make different keys. */
  readonly nodeId: base.NodeId
  readonly incarnation: base.Incarnation
  readonly locator: Pick<ownerLocator.OwnerLocator, 'locate'>
  readonly selector: Pick<services.ITargetSelector, 'utilizationOf'>
  readonly random: base.IRandom
}

/** A new key and where its owner is. */
export interface MintedKey {
  readonly key: string
  readonly location: ownerLocator.OwnerLocation
}

/** Generates UUIDv7 keys whose random bits give them a live and not too busy owner. */
export class KeyMint {
  private readonly _options: KeyMintOptions
  private readonly _salt: number

  constructor (options: KeyMintOptions) {
    this._options = options
    this._salt = digest.placementHash(`${options.nodeId}#${options.incarnation}`)
  }

  /** Never returns a key whose owner is in `exclude`, unless no other was drawn. */
  public mint (service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): MintedKey {
    let best = this._draw(service, nowMs)
    let bestRank = this._rank(best, service, exclude, nowMs)
    let liveChoices = bestRank < BUSIEST_RANK ? 1 : 0
    for (let i = 1; i < MOST_TRIES && liveChoices < CHOICES && !isHopeless(best.location); i++) {
      const drawn = this._draw(service, nowMs)
      const rank = this._rank(drawn, service, exclude, nowMs)
      if (rank < BUSIEST_RANK) liveChoices += 1
      if (rank >= bestRank) continue
      best = drawn
      bestRank = rank
    }
    return best
  }

  /** Utilization of a live owner; more for owners that can only delegate, and most for unreachable ones. */
  private _rank (minted: MintedKey, service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): number {
    if (minted.location.kind !== 'found') return Infinity
    const row = minted.location.row
    if (exclude.has(row.nodeId)) return Infinity
    if (row.state !== 'ready' || !row.targetReady) return BUSIEST_RANK
    const utilization = this._options.selector.utilizationOf(row.nodeId, service.config.slots, nowMs)
    return Math.min(utilization, BUSIEST_RANK - 1)
  }

  private _draw (service: types.ServiceTargets, nowMs: base.Millis): MintedKey {
    const key = uuid.v7({ msecs: nowMs, random: this._randomBytes() })
    const located = this._options.locator.locate(service.config.name, key, NOTHING_EXCLUDED)
    return { key, location: located.unwrapOr<ownerLocator.OwnerLocation>({ kind: 'no-table' }) }
  }

  private _randomBytes (): Uint8Array {
    const bytes = new Uint8Array(KEY_BYTES)
    const view = new DataView(bytes.buffer)
    for (let i = 0; i < KEY_BYTES; i += 4) view.setUint32(i, this._options.random.nextInt(2 ** 32))
    view.setUint32(KEY_BYTES - 4, (view.getUint32(KEY_BYTES - 4) ^ this._salt) >>> 0)
    return bytes
  }
}

/** Another key of the same time would fare no better. */
function isHopeless (location: ownerLocator.OwnerLocation): boolean {
  return location.kind === 'beyond-horizon' || location.kind === 'no-table'
}
