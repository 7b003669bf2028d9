import * as pureRand from 'pure-rand'
import type * as types from './Types.js'

const FLOAT_RANGE = 2 ** 32

/** Seeded generator (xoroshiro128+). The same seed gives the same sequence. */
export class Random implements types.IRandom {
  private readonly _generator: pureRand.RandomGenerator

  constructor (seed: number) {
    this._generator = pureRand.default.xoroshiro128plus(seed)
  }

  public nextInt (bound: number): number {
    return Math.floor(this.nextFloat() * bound)
  }

  public nextFloat (): number {
    return (this._generator.unsafeNext() >>> 0) / FLOAT_RANGE
  }
}
