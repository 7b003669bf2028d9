import type * as base from '../base/Types.js'
import type * as membership from '../membership/Services.js'
import type * as messages from '../node/Messages.js'
import * as trees from './PushTree.js'

/** Time for a child to confirm receipt, after which the parent pushes to the child's range itself. */
const RECEIPT_TIMEOUT_MS = 400
/** Time for the summary of a child that has confirmed receipt. */
const SUMMARY_TIMEOUT_MS = 5_000
const RUN_TTL_MS = 8_000
const MAX_RUNS = 64
/** The push of a version that has been in force for longer is not forwarded, because the version has reached the zone in other ways. */
const FORWARD_WITHIN_MS = 10_000

/** Number of members of a zone that enforce a version, and the times at which the first and the last of them started to. */
export interface ZoneSummary {
  readonly version: number
  readonly count: number
  readonly firstAtMs: base.Millis
  readonly lastAtMs: base.Millis
}

export interface PusherOptions {
  readonly membership: membership.IMembership
  readonly send: (to: base.NodeId, message: messages.PushMessage | messages.PushAckMessage) => void
  readonly fanout: () => number
  /** Version in force on this node and the time at which it was enforced. */
  readonly enforced: () => { readonly version: number, readonly atMs: base.Millis }
  /** Called when a push that started at this node is complete. */
  readonly onSummary: (summary: ZoneSummary, nowMs: base.Millis) => void
}

interface Child {
  readonly untilId: base.NodeId
  isReceived: boolean
  deadlineMs: base.Millis
}

interface Run {
  readonly message: messages.PushMessage
  /** Empty at the root. */
  readonly parentId: base.NodeId
  readonly expiresAtMs: base.Millis
  readonly children: Map<base.NodeId, Child>
  isForwarded: boolean
  count: number
  firstAtMs: base.Millis
  lastAtMs: base.Millis
}

/** Sends new versions down the push tree, pushes to the ranges of children that do not confirm, and sums up how many members enforce them. */
export class Pusher {
  private readonly _options: PusherOptions
  private readonly _runs = new Map<string, Run>()
  private readonly _seen = new Map<string, base.Millis>()
  private _sequence = 0

  constructor (options: PusherOptions) {
    this._options = options
  }

  /** Starts a push at this node. */
  public start (message: Omit<messages.PushMessage, 'kind' | 'rootId' | 'sequence' | 'untilId'>, nowMs: base.Millis): void {
    const rootId = this._options.membership.self.nodeId
    const push: messages.PushMessage = { ...message, kind: 'push', rootId, sequence: ++this._sequence, untilId: '' }
    const run = this._addRun(push, '', nowMs)
    this._forward(run, this._tree(push).rootBranches(push.version + push.sequence), nowMs)
    this._finishIfDone(keyOf(push), run, nowMs)
  }

  /** Registers a received push. Returns false for a repeated one, which is confirmed and otherwise ignored. */
  public accept (from: base.NodeId, message: messages.PushMessage, nowMs: base.Millis): boolean {
    const key = keyOf(message)
    if (this._seen.has(key)) {
      this._acknowledge(from, message, true, 0, 0, 0)
      return false
    }
    this._remember(key, nowMs)
    this._addRun(message, from, nowMs)
    return true
  }

  /** Forwards an accepted push after its content has been applied. Confirms receipt unless the push is already complete. */
  public forwardAccepted (message: messages.PushMessage, nowMs: base.Millis): void {
    const key = keyOf(message)
    const run = this._runs.get(key)
    if (run === undefined) return
    this._forwardIfEnforced(run, nowMs)
    if (!this._finishIfDone(key, run, nowMs)) this._acknowledge(run.parentId, message, false, 0, 0, 0)
  }

  /** Forwards the pushes that waited for the version that has just been enforced. */
  public handleEnforced (nowMs: base.Millis): void {
    for (const [key, run] of this._runs) {
      if (run.isForwarded) continue
      this._forwardIfEnforced(run, nowMs)
      this._finishIfDone(key, run, nowMs)
    }
  }

  public receiveAck (from: base.NodeId, message: messages.PushAckMessage, nowMs: base.Millis): void {
    const key = keyOf(message)
    const run = this._runs.get(key)
    const child = run?.children.get(from)
    if (run === undefined || child === undefined) return
    child.isReceived = true
    child.deadlineMs = nowMs + SUMMARY_TIMEOUT_MS
    if (!message.final) return
    run.children.delete(from)
    addSummary(run, message.count, message.firstAtMs, message.lastAtMs)
    this._finishIfDone(key, run, nowMs)
  }

  public tick (nowMs: base.Millis): void {
    for (const [key, run] of this._runs) {
      this._expireChildren(run, nowMs)
      if (nowMs >= run.expiresAtMs) run.children.clear()
      if (nowMs >= run.expiresAtMs && !run.isForwarded) this._runs.delete(key)
      else this._finishIfDone(key, run, nowMs)
    }
    for (const [key, atMs] of this._seen) {
      if (nowMs - atMs < FORWARD_WITHIN_MS) return
      this._seen.delete(key)
    }
  }

  private _expireChildren (run: Run, nowMs: base.Millis): void {
    for (const [childId, child] of [...run.children]) {
      if (child.deadlineMs > nowMs) continue
      run.children.delete(childId)
      if (!child.isReceived) this._forward(run, this._tree(run.message).branchesAfter(childId, child.untilId), nowMs)
    }
  }

  private _forwardIfEnforced (run: Run, nowMs: base.Millis): void {
    const { version, atMs } = this._options.enforced()
    if (run.isForwarded || version < run.message.version) return
    run.isForwarded = true
    if (run.message.version > 0) addSummary(run, 1, atMs, atMs)
    const isOld = nowMs - atMs > FORWARD_WITHIN_MS && run.message.ownership === undefined
    if (isOld) return
    const selfId = this._options.membership.self.nodeId
    this._forward(run, this._tree(run.message).branchesAfter(selfId, run.message.untilId), nowMs)
  }

  private _forward (run: Run, branches: readonly trees.Branch[], nowMs: base.Millis): void {
    for (const { headId, untilId } of branches) {
      run.children.set(headId, { untilId, isReceived: false, deadlineMs: nowMs + RECEIPT_TIMEOUT_MS })
      this._options.send(headId, { ...run.message, untilId })
    }
  }

  private _finishIfDone (key: string, run: Run, nowMs: base.Millis): boolean {
    if (!run.isForwarded || run.children.size > 0) return false
    this._runs.delete(key)
    const { count, firstAtMs, lastAtMs } = run
    if (run.parentId !== '') this._acknowledge(run.parentId, run.message, true, count, firstAtMs, lastAtMs)
    else if (count > 0) this._options.onSummary({ version: run.message.version, count, firstAtMs, lastAtMs }, nowMs)
    return true
  }

  private _acknowledge (to: base.NodeId, push: messages.PushMessage, final: boolean, count: number, firstAtMs: number, lastAtMs: number): void {
    const { rootId, sequence } = push
    this._options.send(to, { kind: 'push-ack', rootId, sequence, final, count, firstAtMs, lastAtMs })
  }

  private _addRun (message: messages.PushMessage, parentId: base.NodeId, nowMs: base.Millis): Run {
    const isRoot = parentId === ''
    const atMs = isRoot ? this._options.enforced().atMs : 0
    const run: Run = {
      message,
      parentId,
      expiresAtMs: nowMs + RUN_TTL_MS,
      children: new Map(),
      isForwarded: isRoot,
      count: isRoot && message.version > 0 ? 1 : 0,
      firstAtMs: atMs,
      lastAtMs: atMs
    }
    this._runs.set(keyOf(message), run)
    this._remember(keyOf(message), nowMs)
    return run
  }

  private _remember (key: string, nowMs: base.Millis): void {
    this._seen.set(key, nowMs)
    const [oldest] = this._runs.keys()
    if (this._runs.size > MAX_RUNS && oldest !== undefined) this._runs.delete(oldest)
  }

  private _tree (message: messages.PushMessage): trees.PushTree {
    const { membership } = this._options
    return new trees.PushTree({
      ids: membership.liveIdsInZone(membership.self.zone),
      rootId: message.rootId,
      fanout: this._options.fanout()
    })
  }
}

function keyOf (push: { readonly rootId: base.NodeId, readonly sequence: number }): string {
  return `${push.rootId}/${push.sequence}`
}

function addSummary (run: Run, count: number, firstAtMs: base.Millis, lastAtMs: base.Millis): void {
  if (count === 0) return
  run.firstAtMs = run.count === 0 ? firstAtMs : Math.min(run.firstAtMs, firstAtMs)
  run.lastAtMs = Math.max(run.lastAtMs, lastAtMs)
  run.count += count
}
