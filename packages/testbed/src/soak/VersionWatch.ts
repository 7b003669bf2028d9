import * as timers from 'node:timers/promises'
import type * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'

const PROBE_INTERVAL_MS = 150
const DEADLINE_MS = 1_000
/** Each node in touch enforces a version within this time after the store has taken it. */
const ENFORCED_MS = 2_000

interface WatchedNode {
  readonly name: string
  readonly caller: callerStandIn.CallerStandIn
}

const PROBE_PREFIX = 'version-'

/** Whether a request is a probe of a `VersionWatch`. */
export function isProbe (requestId: string): boolean {
  return requestId.startsWith(PROBE_PREFIX)
}

/** Path prefix of the route that only this version of the configuration has. */
export function getRoutePrefix (version: number): string {
  return `/at-${version}/`
}

/** Publishes configurations, each with its own route, and checks that no running process returns to an earlier one. */
export class VersionWatch {
  public readonly problems: string[] = []
  private _version = 0
  private _publishedAtMs = 0
  /** Highest version that the current process of a node was observed to enforce, by node name. */
  private readonly _enforcedVersions = new Map<string, number>()
  /** Number of ends and pauses of the process of each node. */
  private readonly _interruptions = new Map<string, number>()
  private _probeCount = 0

  /** `isInTouch`: whether promises with a time bound hold for the node in this period. */
  constructor (private readonly _publish: (version: number) => void, private readonly _isInTouch: (name: string, fromMs: number, toMs: number) => boolean) {}

  public publishNext (): void {
    this._version += 1
    this.publishAgain()
  }

  /** Publishes the newest configuration again, because the store has lost it. */
  public publishAgain (): void {
    this._publishedAtMs = performance.now()
    this._publish(this._version)
  }

  /** Records that the process of the node has ended or was paused. */
  public recordInterruption (name: string): void {
    this._enforcedVersions.delete(name)
    this._interruptions.set(name, (this._interruptions.get(name) ?? 0) + 1)
  }

  public async watch (nodes: readonly WatchedNode[], isOn: () => boolean): Promise<void> {
    while (isOn()) {
      await Promise.all(nodes.map(async node => { await this._probe(node) }))
      await timers.setTimeout(PROBE_INTERVAL_MS)
    }
  }

  public async isEnforcedOnAll (nodes: readonly WatchedNode[]): Promise<boolean> {
    const statuses = await Promise.all(nodes.map(async node => await this._getRouteStatus(node, this._version)))
    return statuses.every(status => status !== 0 && status !== 404)
  }

  private async _probe (node: WatchedNode): Promise<void> {
    const version = this._version
    const publishedAtMs = this._publishedAtMs
    const sentAtMs = performance.now()
    const interruptions = this._interruptions.get(node.name)
    const status = await this._getRouteStatus(node, version)
    // Ignored if a later version has dropped the route or another process may have answered.
    if (version !== this._version || interruptions !== this._interruptions.get(node.name) || status === 0) return
    if (status === 200) this._enforcedVersions.set(node.name, version)
    else if (status === 404 && this._enforcedVersions.get(node.name) === version) this.problems.push(`${node.name} went back from version ${version}`)
    else if (status === 404 && sentAtMs - publishedAtMs > ENFORCED_MS && this._isInTouch(node.name, sentAtMs, performance.now())) this.problems.push(`${node.name} handled a request as an earlier version ${Math.round(sentAtMs - publishedAtMs)} ms after version ${version}`)
  }

  private async _getRouteStatus ({ caller }: WatchedNode, version: number): Promise<number> {
    this._probeCount += 1
    const answer = await caller.call({ requestId: `${PROBE_PREFIX}${this._probeCount}`, method: 'GET', path: `${getRoutePrefix(version)}${this._probeCount}`, deadlineMs: DEADLINE_MS })
    return answer.kind === 'none' ? 0 : answer.status
  }
}
