/**
 * Nodes that share what the whole fleet may spend. A node that has not read the records of all nodes does not know, and
 * must not take those that it has met for the fleet.
 */
export class FleetSize {
  private _recordCount: number | undefined

  /** `metCount`: nodes that this one knows now. Those that it has forgotten may still live on the other side of a cut. */
  constructor (private readonly _metCount: () => number) {}

  public get isKnown (): boolean {
    return this._recordCount !== undefined
  }

  public get nodeCount (): number | undefined {
    return this._recordCount === undefined ? undefined : Math.max(1, this._recordCount, this._metCount())
  }

  /** The records of all nodes have been read. */
  public read (recordCount: number): void {
    this._recordCount = recordCount
  }
}
