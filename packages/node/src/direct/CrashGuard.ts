import * as crashHistory from '@elmpost/common/direct/CrashHistory.js'
import * as requestIdentity from './RequestIdentity.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as callLog from './CallLog.js'
import type * as crashWatches from './CrashWatch.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'
import type * as nodeLinks from './NodeLinks.js'
import type * as services from './Services.js'

/** Answers to requests with a longer body are noted only while the request is under suspicion, because the digest of the body takes time. */
const MAX_NOTED_BODY_BYTES = 64 * 1024
/** Errors say nothing about whether the request crashes targets. */
const FIRST_ERROR_STATUS = 500
/** Nodes that each node tells what is new, so that all nodes learn of it within a few ticks. */
const FANOUT = 8
/** Crashes of the target beside this node that its next process finds in the store. */
const MAX_STORED = 4

export interface CrashGuardOptions {
  readonly dialect: Pick<services.ICallDialect, 'callerOf'>
  /** Service of the target beside the node. */
  readonly service: string
  readonly nowMs: () => base.Millis
  /** Wall clock, for the ages of crashes in the store. */
  readonly timeOfDayMs: () => base.Millis
  readonly callLog: Pick<callLog.CallLog, 'log'>
  readonly links: () => Pick<nodeLinks.NodeLinks, 'broadcast' | 'sendToSome'>
  /** The crashes of the target beside this node have changed. */
  readonly onOwnCrash: () => void
}

/** What this node knows of requests that crash targets: of its own target, and from other nodes. */
export class CrashGuard implements services.ICrashGuard {
  private readonly _options: CrashGuardOptions
  private readonly _identity: requestIdentity.RequestIdentity
  private readonly _history = new crashHistory.CrashHistory(requestIdentity.headOf)
  /** Crashes of the target beside this node, the oldest first. */
  private _own: direct.StoredCrash[] = []
  private _standings = new Map<string, direct.Standing>()

  constructor (options: CrashGuardOptions) {
    this._options = options
    this._identity = new requestIdentity.RequestIdentity(options.dialect)
  }

  /** Crashes of the target beside this node, for its next process. */
  public get stored (): readonly direct.StoredCrash[] {
    return this._own
  }

  public standingOf (request: requestIdentity.IdentifiedRequest): direct.Standing {
    return this._isKnown(request) ? this._history.standingOf(this._identity.fingerprintOf(request)) : 'free'
  }

  public historyOf (request: requestIdentity.IdentifiedRequest): direct.IRequestHistory {
    return new RequestHistory(
      () => this._identity.fingerprintOf(request),
      () => this.standingOf(request),
      () => this._history.blockedForMs(this._identity.fingerprintOf(request), this._options.nowMs())
    )
  }

  public reportsOf (request: requestIdentity.IdentifiedRequest): readonly direct.CrashReport[] | undefined {
    if (!this._isKnown(request)) return undefined
    const reports = this._history.of(this._identity.fingerprintOf(request), this._options.nowMs())
    return reports.length === 0 ? undefined : reports
  }

  public recordAnswer (request: requestIdentity.IdentifiedRequest, status: number): void {
    if (status >= FIRST_ERROR_STATUS) return
    if ((request.body?.length ?? 0) > MAX_NOTED_BODY_BYTES && !this._isKnown(request)) return
    if (this._history.recordAnswer(this._identity.fingerprintOf(request), this._options.nowMs())) this._logStandings()
  }

  public recordCrash ({ id, runs }: crashWatches.TargetCrash): void {
    const { service, nowMs, timeOfDayMs, onOwnCrash } = this._options
    const requests = runs.slice(0, crashHistory.MAX_REQUESTS).map(({ call, isTrial }) => ({ fingerprint: this._identity.fingerprintOf(call), isTrial, answered: 'never' as const }))
    this._history.record({ id, service, ageMs: 0, requests }, nowMs())
    const earlier = this._own.find(crash => crash.id === id)
    const own = { id, atMs: timeOfDayMs(), requests: [...earlier?.requests ?? [], ...requests] }
    this._own = [...this._own.filter(crash => crash.id !== id), own].slice(-MAX_STORED)
    this._tellAll()
    this._logStandings()
    onOwnCrash()
  }

  public recordReports (reports: readonly direct.CrashReport[]): void {
    let isNew = false
    for (const report of reports) isNew = this._history.record(report, this._options.nowMs()) || isNew
    if (isNew) this._logStandings()
  }

  /** Takes over the crashes that a node has written to the store. */
  public restore (crashes: readonly direct.StoredCrash[], service: string, isOwn: boolean): void {
    const nowMs = this._options.timeOfDayMs()
    if (isOwn && this._own.length === 0) this._own = crashes.slice(-MAX_STORED)
    this.recordReports(crashes.map(({ id, atMs, requests }) => ({ id, service, ageMs: Math.max(0, nowMs - atMs), requests })))
  }

  /** Tells a node that has just connected, and may have restarted, what it needs. */
  public greet (send: (message: linkCodec.NodesMessage) => void): void {
    if (this._history.isEmpty) return
    const reports = this._history.summary(this._options.nowMs())
    if (reports.length > 0) send(messageOf(reports))
  }

  /** Requests that run in trials only, or not at all. */
  public get restricted (): crashHistory.RequestRecord[] {
    return this._history.restricted(this._options.nowMs())
  }

  /** Lifts the block of a request on all nodes. False if nothing is held against it. */
  public lift (fingerprint: string): boolean {
    const isLifted = this._history.lift(fingerprint)
    if (isLifted) this._options.callLog.log('info', 'request-lifted', { fingerprint })
    this._tellAll()
    return isLifted
  }

  public tick (): void {
    const untold = this._history.takeUntold(this._options.nowMs())
    if (untold.length > 0) this._options.links().sendToSome(messageOf(untold), FANOUT)
    this._history.tick(this._options.nowMs())
  }

  private _isKnown (request: requestIdentity.IdentifiedRequest): boolean {
    return !this._history.isEmpty && this._history.hasHead(this._identity.headOf(request))
  }

  /** Tells all nodes that have a link to this one, and some others, each of which tells some more. */
  private _tellAll (): void {
    const untold = this._history.takeUntold(this._options.nowMs())
    if (untold.length === 0) return
    this._options.links().broadcast(messageOf(untold))
    this._options.links().sendToSome(messageOf(untold), FANOUT)
  }

  /** Logs each change of what a request may do, beyond the first suspicion. */
  private _logStandings (): void {
    const standings = new Map<string, direct.Standing>()
    for (const { fingerprint, service, standing, crashes, trials, isKnown } of this.restricted) {
      standings.set(fingerprint, standing)
      if (this._standings.get(fingerprint) !== standing) this._options.callLog.log('warn', 'request-restricted', { fingerprint, service, standing, crashes, trials, answeredBefore: isKnown })
    }
    for (const fingerprint of this._standings.keys()) if (!standings.has(fingerprint)) this._options.callLog.log('info', 'request-cleared', { fingerprint })
    this._standings = standings
  }
}

function messageOf (crashes: readonly direct.CrashReport[]): linkCodec.NodesMessage {
  return { kind: 'nodes', nodes: [], crashes }
}

class RequestHistory implements direct.IRequestHistory {
  constructor (private readonly _fingerprint: () => string, private readonly _standing: () => direct.Standing, private readonly _blockedForMs: () => base.Millis) {}

  public get fingerprint (): string {
    return this._fingerprint()
  }

  public get standing (): direct.Standing {
    return this._standing()
  }

  public get blockedForMs (): base.Millis {
    return this._blockedForMs()
  }
}
