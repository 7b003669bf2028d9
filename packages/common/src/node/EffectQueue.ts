import type * as messages from './Messages.js'
import type * as services from './Services.js'

const NO_EFFECTS: readonly messages.Effect[] = []

/** First-in first-out list of effects. */
export class EffectQueue implements services.IEffectQueue {
  private _effects: messages.Effect[] = []

  public get length (): number {
    return this._effects.length
  }

  public push (effect: messages.Effect): void {
    this._effects.push(effect)
  }

  public drain (): readonly messages.Effect[] {
    if (this._effects.length === 0) return NO_EFFECTS
    const drained = this._effects
    this._effects = []
    return drained
  }
}
