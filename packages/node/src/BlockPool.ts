/** Length of each block. */
export const BLOCK_BYTES = 256 * 1024
/** Most bytes of unused blocks that are kept. */
const MAX_UNUSED_BYTES = 8 * 1024 * 1024

/**
 * Blocks of memory that are used again. The garbage collector leaves buffers that are no longer used in memory for a while,
 * so refused bodies would add to the memory of the bodies that are held.
 */
export class BlockPool {
  private readonly _unused: Buffer[] = []

  public take (): Buffer {
    return this._unused.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  /** Takes back blocks that nothing refers to. Returns the bytes that are not kept and left to the garbage collector. */
  public giveBack (blocks: readonly Buffer[]): number {
    const kept = blocks.slice(0, Math.max(0, MAX_UNUSED_BYTES / BLOCK_BYTES - this._unused.length))
    this._unused.push(...kept)
    return (blocks.length - kept.length) * BLOCK_BYTES
  }
}
