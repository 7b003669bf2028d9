import * as timers from 'node:timers/promises'
import type * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'

const ASK_EACH_MS = 150
const DEADLINE_MS = 1_000

interface WatchedNode {
  readonly name: string
  readonly caller: callerStandIn.CallerStandIn
}

const PROBE_PREFIX = 'version-'

/** Whether a request is one by which versions are watched. */
export function isProbe (requestId: string): boolean {
  return requestId.startsWith(PROBE_PREFIX)
}

/** Path prefix of the route that only one version has. */
export function prefixOf (version: number): string {
  return `/at-${version}/`
}

/** Applies configurations, each with a route of its own, and checks that no node goes back to an earlier one in one life of its process. */
export class VersionWatch {
  public readonly problems: string[] = []
  private _version = 0
  /** Highest version that the present process of a node was seen to enforce. */
  private readonly _seen = new Map<string, number>()
  /** Counts the ends and pauses of a node's process. */
  private readonly _lives = new Map<string, number>()
  private _asked = 0

  constructor (private readonly _put: (version: number) => void) {}

  public apply (): void {
    this._version += 1
    this._put(this._version)
  }

  /** The process of the node has ended or stood still. */
  public interrupted (name: string): void {
    this._seen.delete(name)
    this._lives.set(name, (this._lives.get(name) ?? 0) + 1)
  }

  public async watch (nodes: readonly WatchedNode[], isOn: () => boolean): Promise<void> {
    while (isOn()) {
      await Promise.all(nodes.map(async node => { await this._ask(node) }))
      await timers.setTimeout(ASK_EACH_MS)
    }
  }

  public async isEverywhere (nodes: readonly WatchedNode[]): Promise<boolean> {
    const statuses = await Promise.all(nodes.map(async node => await this._statusAt(node, this._version)))
    return statuses.every(status => status !== 0 && status !== 404)
  }

  private async _ask (node: WatchedNode): Promise<void> {
    const version = this._version
    const life = this._lives.get(node.name)
    const status = await this._statusAt(node, version)
    // A later version has dropped the route, or another process may have answered.
    if (version !== this._version || life !== this._lives.get(node.name) || status === 0) return
    if (status === 200) this._seen.set(node.name, version)
    else if (status === 404 && this._seen.get(node.name) === version) this.problems.push(`${node.name} went back from version ${version}`)
  }

  private async _statusAt ({ caller }: WatchedNode, version: number): Promise<number> {
    this._asked += 1
    const answer = await caller.call({ requestId: `${PROBE_PREFIX}${this._asked}`, method: 'GET', path: `${prefixOf(version)}${this._asked}`, deadlineMs: DEADLINE_MS })
    return answer.kind === 'none' ? 0 : answer.status
  }
}
