import * as uuid from 'uuid'
import * as digest from '../base/Digest.js'
import type * as base from '../base/Types.js'
import type * as ownerLocator from './OwnerLocator.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Maximum number of keys drawn; if none has a live owner, the best of them is used. */
const MAX_DRAWS = 8

/** Number of live owners that are compared by utilization. */
const COMPARED_OWNERS = 2

/** Rank of owners whose own target cannot run the call; higher than every utilization. */
const UNAVAILABLE_RANK = 1_000_000

const NOTHING_EXCLUDED: ReadonlySet<base.NodeId> = new Set()

const KEY_BYTES = 16

export interface KeyGeneratorOptions {
  /** Node that generates the keys. Nodes with equal random sequences generate different keys. */
  readonly nodeId: base.NodeId
  readonly incarnation: base.Incarnation
  readonly locator: Pick<ownerLocator.OwnerLocator, 'locate'>
  readonly selector: Pick<services.ITargetSelector, 'utilizationOf'>
  readonly random: base.IRandom
}

/** A new key and the location of its owner. */
export interface GeneratedKey {
  readonly key: string
  readonly location: ownerLocator.OwnerLocation
}

/** Generates UUIDv7 keys, with random bits chosen so that the owner of the key is live and not too busy. */
export class KeyGenerator {
  private readonly _options: KeyGeneratorOptions
  private readonly _salt: number

  constructor (options: KeyGeneratorOptions) {
    this._options = options
    this._salt = digest.placementHash(`${options.nodeId}#${options.incarnation}`)
  }

  /** Generates a key. Its owner is in `exclude` only if no other key was drawn. */
  public generate (service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): GeneratedKey {
    let best = this._draw(service, nowMs)
    let bestRank = this._rank(best, service, exclude, nowMs)
    let liveOwners = bestRank < UNAVAILABLE_RANK ? 1 : 0
    for (let i = 1; i < MAX_DRAWS && liveOwners < COMPARED_OWNERS && !isFinalLocation(best.location); i++) {
      const drawn = this._draw(service, nowMs)
      const rank = this._rank(drawn, service, exclude, nowMs)
      if (rank < UNAVAILABLE_RANK) liveOwners += 1
      if (rank >= bestRank) continue
      best = drawn
      bestRank = rank
    }
    return best
  }

  /** Utilization of a live owner; higher for owners that can only delegate, and infinite for unreachable or excluded ones. */
  private _rank (generated: GeneratedKey, service: types.ServiceTargets, exclude: ReadonlySet<base.NodeId>, nowMs: base.Millis): number {
    if (generated.location.kind !== 'found') return Infinity
    const row = generated.location.row
    if (exclude.has(row.nodeId)) return Infinity
    if (row.state !== 'ready' || !row.targetReady) return UNAVAILABLE_RANK
    const utilization = this._options.selector.utilizationOf(row.nodeId, service.config.slots, nowMs)
    return Math.min(utilization, UNAVAILABLE_RANK - 1)
  }

  private _draw (service: types.ServiceTargets, nowMs: base.Millis): GeneratedKey {
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

/** Whether another key of the same time would have no better location. */
function isFinalLocation (location: ownerLocator.OwnerLocation): boolean {
  return location.kind === 'beyond-horizon' || location.kind === 'no-table'
}
