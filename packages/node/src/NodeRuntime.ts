import * as deadlineTimer from './DeadlineTimer.js'
import * as entryGateway from './EntryGateway.js'
import * as hostGateway from './HostGateway.js'
import * as localLink from './LocalLink.js'
import * as nodeEvents from './NodeEvents.js'
import * as peerCodec from './PeerCodec.js'
import * as peerLinks from './PeerLinks.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as nodeCore from '@elmpost/common/node/NodeCore.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'
import type * as services from './Services.js'

export interface NodeRuntimeOptions {
  readonly core: nodeCore.NodeCore
  readonly effects: nodeServices.IEffectQueue
  readonly logClient: services.ILogClient
  readonly logger: services.ILogger
  readonly random: base.IRandom
  readonly nowMs: () => base.Millis
}

/** Connects the core to links, gateways and the log: delivers messages to the core and executes its effects. */
export class NodeRuntime implements services.ILinkReceiver, base.IDisposable {
  public readonly events = new nodeEvents.NodeEvents()
  public readonly links: peerLinks.PeerLinks
  public readonly entry: entryGateway.EntryGateway
  public readonly host: hostGateway.HostGateway
  private readonly _options: NodeRuntimeOptions
  private readonly _deadlines: deadlineTimer.DeadlineTimer

  constructor (options: NodeRuntimeOptions) {
    this._options = options
    const { core, logger, random, nowMs } = options
    const { membership, entry, host } = core.services
    const nodeId = membership.self.nodeId
    const stepped = (): void => { this._runEffects() }
    this._deadlines = new deadlineTimer.DeadlineTimer({ nowMs, expire: () => this._expire() })
    const deadlineAt = (atMs: base.Millis): void => { this._deadlines.arm(atMs) }
    this.links = new peerLinks.PeerLinks({
      local: new localLink.LocalLink(nodeId, this),
      hello: () => this._hello(),
      codec: new peerCodec.PeerCodec(),
      receiver: this,
      random,
      nowMs,
      logger
    })
    this.entry = new entryGateway.EntryGateway({
      entry,
      links: this.links,
      nowMs,
      onStep: stepped,
      scheduleExpiry: deadlineAt,
      onCallEnd: call => { this.events.fireCallFinished(call) }
    })
    this.host = new hostGateway.HostGateway({
      nodeId,
      host,
      links: this.links,
      nowMs,
      onStep: stepped,
      scheduleExpiry: deadlineAt,
      onTargetDied: call => { logger.log('error', 'target-died', { requestId: call.key, route: call.route, path: call.path }) }
    })
    membership.onChange(change => {
      const { previous, current } = change
      if (current.state === 'dead') this.links.terminate(current.nodeId)
      else if (previous?.state === 'dead' || previous?.state === 'suspect') this.links.resetBackoff(current.peerAddress)
    })
  }

  /** Runs the periodic work of the core, the gateways and the links. */
  public tick (): void {
    const nowMs = this._options.nowMs()
    const { decisions, updates } = this._options.core.tick(nowMs)
    this.host.update(updates)
    this.entry.expire(decisions)
    this.host.expire(nowMs)
    this.links.tick(nowMs)
    this._runEffects()
  }

  /** Refuses new work for the target until the drain is ended. */
  public beginDrain (): void {
    this.host.update(this._options.core.services.lifecycle.beginDrain(this._options.nowMs()))
    this._runEffects()
  }

  /** Begins to drain the target, hand over its keys and leave the mesh. */
  public beginStop (): void {
    this.host.update(this._options.core.services.lifecycle.beginStop(this._options.nowMs()))
    this._runEffects()
  }

  public handleTargetChange (ready: boolean): void {
    this._options.core.handleTargetChange(ready, this._options.nowMs())
    this._runEffects()
  }

  public handleMessage (link: services.IPeerLink, message: messages.PeerMessage): void {
    switch (message.kind) {
      case 'call':
        this.host.accept(link, message)
        return
      case 'answer':
        // Negative ids mark calls that this node has delegated to another node.
        if (message.callId < 0) this.host.handleDelegateAnswer(link, message)
        else this.entry.handleAnswer(link, message)
        return
      case 'chunk':
        if (message.callId < 0) this.host.handleDelegateChunk(link, message)
        else this.entry.handleChunk(link, message)
        return
      case 'cancel':
        this.host.cancel(link, message.callId)
        return
      case 'chunk-credit':
        this.host.handleCredit(link, message.callId, message.sequence)
        return
      case 'hello':
        return
      default:
        this._options.core.receive(link.nodeId, message, this._options.nowMs())
        this._runEffects()
    }
  }

  public handleLost (link: services.IPeerLink, calls: Iterable<number>, unsent: readonly messages.CallMessage[], planned: boolean): void {
    this.host.handleLinkLost(link)
    for (const call of unsent) this._handleCallFailure(link, call.callId, 'not-sent')
    // After a planned close, the peer does not accept calls that were still in transit.
    for (const callId of [...calls]) this._handleCallFailure(link, callId, planned ? 'not-sent' : 'peer-lost')
    if (planned || link.nodeId === '') return
    this._options.logger.log('debug', 'peer-lost', { peer: link.nodeId })
    this._options.core.services.membership.handleConnectionLost(link.nodeId, this._options.nowMs())
    this._runEffects()
  }

  public handleRefusal (link: services.IPeerLink, error: Error): void {
    this._options.logger.log('warn', 'peer-message-refused', { peer: link.nodeId, problem: error.message })
    this.events.fireMessageRefused({ source: 'peer', reason: error.message })
  }

  /** True for nodes that may be stopping, because only they send handovers. 120,000 keys take 32 MB, so no smaller size limit fits them all. */
  public mayHandOver (link: services.IPeerLink): boolean {
    const row = this._options.core.services.membership.get(link.nodeId)
    return row?.state === 'draining' || row?.state === 'suspect'
  }

  public recordBytes (direction: 'sent' | 'received', kind: messages.PeerMessage['kind'], bytes: number): void {
    this.events.fireBytes(direction, kind, bytes)
  }

  public dispose (): void {
    this._deadlines.dispose()
    this.links.dispose()
    this.events.dispose()
  }

  /** Ends calls whose deadline has passed, and returns the next deadline. */
  private _expire (): base.Millis {
    const nowMs = this._options.nowMs()
    const { entry, host } = this._options.core.services
    this.host.update(host.expire(nowMs))
    this.entry.expire(entry.expire(nowMs))
    this.host.expire(nowMs)
    this._runEffects()
    return Math.min(entry.nextDeadlineMs, host.nextDeadlineMs, this.host.nextDeadlineMs)
  }

  private _handleCallFailure (link: services.IPeerLink, callId: number, failure: 'not-sent' | 'peer-lost'): void {
    if (callId < 0) this.host.handleDelegateFailure(link, callId, failure)
    else this.entry.handleFailure(callId, failure, link)
  }

  private _runEffects (): void {
    if (this._options.effects.length === 0) return
    for (const effect of this._options.effects.drain()) {
      if (effect.kind === 'send') this.links.sendControl(effect.to, effect.address, effect.message)
      else if (effect.kind === 'read-log') this._runTask(this._readLog(effect))
      else this._runTask(this._appendLog(effect))
    }
  }

  private async _readLog (effect: messages.Effect & { readonly kind: 'read-log' }): Promise<void> {
    const result = await this._options.logClient.read(effect.stream, effect.fromOffset, effect.limit, effect.waitMs)
    if (!result.ok) this._options.logger.log('debug', 'log-read-failed', { stream: effect.stream })
    this._options.core.logRead(result, this._options.nowMs())
    this._runEffects()
  }

  private async _appendLog (effect: messages.Effect & { readonly kind: 'append-log' }): Promise<void> {
    const result = await this._options.logClient.append(effect.stream, effect.requestId, effect.data)
    if (result.status !== 'appended') this._options.logger.log('warn', 'log-append-failed', { stream: effect.stream, requestId: effect.requestId, status: result.status })
    this._options.core.logAppended(result, this._options.nowMs())
    this._runEffects()
  }

  /** The log client never rejects, so a rejection is a bug in the core. */
  private _runTask (task: Promise<void>): void {
    task.catch(error => { this._options.logger.log('error', 'unexpected-error', { problem: String(error) }) })
  }

  private _hello (): messages.HelloMessage {
    const { nodeId, incarnation, zone, enforcedVersion } = this._options.core.services.membership.self
    return { kind: 'hello', nodeId, incarnation, zone, version: enforcedVersion, sentAtMs: this._options.nowMs() }
  }
}
