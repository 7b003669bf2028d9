import type * as types from './Types.js'

/** Base class that disposes everything registered with it. */
export abstract class Disposable implements types.IDisposable {
  private readonly _registered: types.IDisposable[] = []
  private _isDisposed = false

  public get isDisposed (): boolean {
    return this._isDisposed
  }

  public dispose (): void {
    if (this._isDisposed) return
    this._isDisposed = true
    for (const disposable of this._registered.splice(0)) disposable.dispose()
  }

  protected _register<T extends types.IDisposable> (disposable: T): T {
    if (this._isDisposed) disposable.dispose()
    else this._registered.push(disposable)
    return disposable
  }
}
