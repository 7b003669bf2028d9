import * as random from '@elmpost/common/base/Random.js'
import type * as documents from '@elmpost/platform/standins/Documents.js'

/** Limit of the customer that sends about three times as much. */
export const LIMIT = { maxCallsPerS: 20, burstCalls: 20 }
/** Share of the calls of the customer with a limit: 24 of 120 a second, of which those that are refused are sent again up to twice. */
const LIMITED_SHARE = 0.2
const UNKNOWN_SHARE = 0.05
const ABSENT_SHARE = 0.05
/** Share of the calls with the key of one version, which the next one withdraws. */
const TEMPORARY_SHARE = 0.15
const OTHER_SHARE = 0.25
/** Share of the calls whose callers send a name, which nodes must replace. */
const NAMED_SHARE = 0.3
const UNKNOWN_KEYS = ['key-none', 'KEY-NORTH', '__proto__', '', 'key-south-900', 'key-north,key-south']
const NORTH_KEY = 'key-north'
/** The random numbers of customers are apart from the others, so that these stay the same. */
const CUSTOMER_SEED = 0xc057
/** Seeds with customers come in threes, so that each of the settings of targets is combined with them. */
const SEEDS_IN_TURN = 3

/** What a caller sends to state its customer. */
export interface CustomerClaim {
  readonly customerKey?: string
  readonly claimedCustomer?: string
}

/** Customers of a soak, and the keys that their callers send. */
export class CustomerLoad {
  /** For calls that must be served. */
  public readonly steady: CustomerClaim
  private readonly _isOn: boolean
  private readonly _random: random.Random
  private _version = 0

  constructor (seed: number) {
    this._isOn = Math.floor(seed / SEEDS_IN_TURN) % SEEDS_IN_TURN === 1
    this._random = new random.Random(seed ^ CUSTOMER_SEED)
    this.steady = this._isOn ? { customerKey: NORTH_KEY } : {}
  }

  /** Customers that a version of the configuration declares; undefined if the seed has none. Each version has a key that no other one has. */
  public declare (version: number): readonly documents.TestCustomer[] | undefined {
    this._version = version
    return this._isOn ? [{ name: 'north', keys: [NORTH_KEY] }, { name: 'south', keys: ['key-south', temporaryKey(version)] }, { name: 'east', keys: ['key-east'], ...LIMIT }] : undefined
  }

  public draw (): CustomerClaim {
    if (!this._isOn) return this.steady
    const customerKey = this._drawKey()
    const claimed = this._random.nextFloat() < NAMED_SHARE ? { claimedCustomer: 'west' } : {}
    return customerKey === undefined ? claimed : { ...claimed, customerKey }
  }

  private _drawKey (): string | undefined {
    let left = this._random.nextFloat()
    if ((left -= LIMITED_SHARE) < 0) return 'key-east'
    if ((left -= UNKNOWN_SHARE) < 0) return UNKNOWN_KEYS[this._random.nextInt(UNKNOWN_KEYS.length)]
    if ((left -= ABSENT_SHARE) < 0) return undefined
    if ((left -= TEMPORARY_SHARE) < 0) return temporaryKey(1 + this._random.nextInt(this._version))
    return left < OTHER_SHARE ? 'key-south' : NORTH_KEY
  }
}

function temporaryKey (version: number): string {
  return `key-south-${version}`
}
