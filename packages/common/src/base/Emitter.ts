import type * as types from './Types.js'

/** Synchronous event source. Subscribers receive `event`; only the owner calls `fire`. */
export class Emitter<T> implements types.IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()

  public readonly event: types.IEvent<T> = listener => {
    this._listeners.add(listener)
    return { dispose: () => { this._listeners.delete(listener) } }
  }

  public fire (value: T): void {
    for (const listener of [...this._listeners]) listener(value)
  }

  public dispose (): void {
    this._listeners.clear()
  }
}
