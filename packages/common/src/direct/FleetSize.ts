/**
 * Number of nodes that share a budget of the whole fleet. It is unknown until the records of all nodes have been read: the
 * nodes that this one knows by then may be only a few, and its share of the budget would be too large.
 */
export class FleetSize {
  private _recordCount: number | undefined

  /** `knownCount`: nodes in this node's table. Nodes removed from it may still run on the other side of a network partition. */
  constructor (private readonly _knownCount: () => number) {}

  public get isKnown (): boolean {
    return this._recordCount !== undefined
  }

  public get nodeCount (): number | undefined {
    return this._recordCount === undefined ? undefined : Math.max(1, this._recordCount, this._knownCount())
  }

  /** Sets the number of node records, after all of them have been read. */
  public setRecordCount (recordCount: number): void {
    this._recordCount = recordCount
  }
}
