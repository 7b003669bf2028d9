/** A long body, in blocks that are not joined, because joining them would take the memory of the body twice. */
export class BlockBody {
  public readonly length: number

  constructor (public readonly blocks: readonly Uint8Array[]) {
    this.length = blocks.reduce((sum, { length }) => sum + length, 0)
  }
}

/** Body of a request. */
export type Body = Uint8Array | BlockBody

export function blocksOf (body: Body): readonly Uint8Array[] {
  return body instanceof BlockBody ? body.blocks : [body]
}
