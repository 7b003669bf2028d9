import * as v8 from 'node:v8'
import * as vm from 'node:vm'

/** Bytes of buffers that may be garbage at the same time, by age. A collection of young ones takes about a millisecond. */
const MAX_READ_BYTES = 2 * 1024 * 1024
const MAX_RELEASED_BYTES = 16 * 1024 * 1024

type Collect = (options: { readonly type: 'minor' | 'major' }) => void

/**
 * Collects the garbage of buffers in time. Node.js counts their objects and hardly their content, so that buffers without use
 * would take as much memory as all bodies together before they are freed.
 */
export class BufferCollector {
  private readonly _collect: Collect
  private _readBytes = 0
  private _releasedBytes = 0

  constructor (collect: Collect = collector()) {
    this._collect = collect
  }

  /** Bytes were read into a buffer that is used for a moment. */
  public recordRead (bytes: number): void {
    this._readBytes += bytes
    if (this._readBytes < MAX_READ_BYTES) return
    this._readBytes = 0
    this._collect({ type: 'minor' })
  }

  /** Buffers that have been in use for longer are not needed any more when the present work has ended. */
  public recordReleased (bytes: number): void {
    if (this._isReleasedDue(bytes)) setImmediate(() => { this._collect({ type: 'major' }) })
  }

  /** Nothing refers to such buffers any more. Many may be dropped in one turn of the event loop. */
  public recordDropped (bytes: number): void {
    if (this._isReleasedDue(bytes)) this._collect({ type: 'major' })
  }

  private _isReleasedDue (bytes: number): boolean {
    this._releasedBytes += bytes
    if (this._releasedBytes < MAX_RELEASED_BYTES) return false
    this._releasedBytes = 0
    return true
  }
}

function collector (): Collect {
  v8.setFlagsFromString('--expose-gc')
  return vm.runInNewContext('gc') as Collect
}
