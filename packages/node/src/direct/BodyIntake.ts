import * as bodyTransfers from '@elmpost/common/direct/BodyTransfers.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as blockBody from '../BlockBody.js'
import type * as bodyBlocks from '../BodyBlocks.js'
import type * as bodyMemory from './BodyMemory.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Most bytes of bodies that are requested or in use, unless a single one is longer. */
const MAX_HELD_BYTES = 16 * 1024 * 1024

/** A node that offers calls with long bodies and sends the bodies on request. */
export interface IOfferingCaller extends services.IHostCaller {
  requestBody(callId: number): void
}

interface OfferedCall extends bodyTransfers.OfferedBody {
  readonly from: IOfferingCaller
  readonly call: types.CallMessage
  readonly offeredAtMs: base.Millis
  /** What has arrived, if the body comes in parts. */
  readonly blocks: bodyBlocks.BodyBlocks
  /** The whole body, when it has arrived. */
  body: blockBody.Body | undefined
}

/** Wait of a call that finds the memory full of bodies of callers. */
const FULL_WAIT_MS = 100

export interface BodyIntakeOptions {
  readonly bodies: bodyMemory.BodyMemory
  readonly host: services.IOfferedHost
  readonly nodeId: base.NodeId
  /** Capacity of this VM's link, in Mbit/s; 0 if it is not known. */
  readonly linkMbps: number
  readonly nowMs: () => base.Millis
}

/**
 * Takes calls with long bodies from other nodes: first the head, which the host may refuse at once, and then the body when the
 * link has room for it. Bodies that are not needed use no capacity of the link, and short calls do not wait behind those that are.
 */
export class BodyIntake {
  private readonly _options: BodyIntakeOptions
  private readonly _transfers: bodyTransfers.BodyTransfers<OfferedCall>
  private readonly _callers = new Map<IOfferingCaller, CallerOfBodies>()

  constructor (options: BodyIntakeOptions) {
    this._options = options
    this._transfers = new bodyTransfers.BodyTransfers(options.linkMbps, MAX_HELD_BYTES, lengthBytes => options.bodies.makeRoom(lengthBytes))
  }

  /** Calls whose bodies have not arrived. */
  public get size (): number {
    return this._transfers.size
  }

  public offer (from: IOfferingCaller, call: types.CallMessage, lengthBytes: number): void {
    const { host, nodeId, nowMs, bodies } = this._options
    const offeredAtMs = nowMs()
    const full: direct.HostRefusal | undefined = bodies.isFullOfCallers(lengthBytes) ? { reason: 'busy', reachedTarget: false, waitMs: FULL_WAIT_MS } : undefined
    if (full !== undefined) host.recordRefusal(call, full)
    const refusal = full ?? host.refusalOf(call, this._transfers.expectedMs({ lengthBytes, priority: call.priority }, offeredAtMs))
    if (refusal !== undefined) {
      from.handleHostResult(nodeId, call.callId, { kind: 'refused', refusal }, host.load)
      return
    }
    const offered = { from, call, lengthBytes, priority: call.priority, offeredAtMs, deadlineAtMs: offeredAtMs + call.remainingMs, blocks: bodies.newBlocks(), body: undefined }
    this._callerOf(from).offered.set(call.callId, offered)
    this._transfers.offer(offered)
    this._requestNext()
  }

  /** The body that was requested has arrived. Ignored if its call has been taken back. */
  public deliver (from: IOfferingCaller, callId: number, body: blockBody.Body): void {
    const { host, nodeId, nowMs } = this._options
    const caller = this._callers.get(from)
    const offered = caller?.offered.get(callId)
    if (caller === undefined || offered === undefined || !this._transfers.arrive(offered)) return
    if (body.length !== offered.lengthBytes) {
      // The body is not the one that was offered, so the call must not run with it.
      caller.handleHostResult(nodeId, callId, { kind: 'refused', refusal: { reason: 'no-target', reachedTarget: false, waitMs: 0 } }, host.load)
      return
    }
    const lostMs = nowMs() - offered.offeredAtMs
    const { call } = offered
    offered.body = body
    caller.delivered.add(callId)
    host.accept(caller, { ...call, body, remainingMs: call.remainingMs - lostMs, elapsedMs: call.elapsedMs + lostMs })
    this._requestNext()
  }

  /** A part of the body that was requested has arrived. */
  public deliverPart (from: IOfferingCaller, callId: number, part: Uint8Array): void {
    const offered = this._callers.get(from)?.offered.get(callId)
    if (offered === undefined || !this._transfers.isUnderWay(offered)) return
    const { blocks, lengthBytes } = offered
    blocks.add(Buffer.from(part.buffer, part.byteOffset, part.length))
    if (blocks.lengthBytes < lengthBytes) return
    const body = blocks.take()
    if (body !== undefined) this.deliver(from, callId, body)
  }

  /** Takes a call back. False if it was not offered. */
  public cancel (from: IOfferingCaller, callId: number): boolean {
    const caller = this._callers.get(from)
    if (caller === undefined || !caller.offered.has(callId)) return false
    this._takeBack(caller, callId)
    return true
  }

  /** Takes back all calls of a node whose link is lost. */
  public abandon (from: IOfferingCaller): void {
    const caller = this._callers.get(from)
    if (caller === undefined) return
    for (const callId of [...caller.offered.keys()]) this._takeBack(caller, callId)
    this._callers.delete(from)
  }

  /** Refuses calls whose bodies have not come in time, or that the host takes no more, and requests bodies in place of those that are held up. */
  public tick (): void {
    const { host, nodeId, nowMs } = this._options
    for (const { from, call, deadlineAtMs } of this._transfers.pending) {
      const refusal = host.refusalAtArrival({ ...call, remainingMs: deadlineAtMs - nowMs() })
      if (refusal !== undefined) this._callers.get(from)?.handleHostResult(nodeId, call.callId, { kind: 'refused', refusal }, host.load)
    }
    this._requestNext()
  }

  /** A run that goes on holds its body until it ends. */
  private _takeBack (caller: CallerOfBodies, callId: number): void {
    const isRunning = caller.delivered.has(callId) && !this._options.host.cancel(caller, callId)
    if (!isRunning) caller.release(callId)
  }

  private _requestNext (): void {
    const nowMs = this._options.nowMs()
    for (let next = this._transfers.next(nowMs); next !== undefined; next = this._transfers.next(nowMs)) {
      this._options.bodies.reserve(next, next.lengthBytes)
      next.from.requestBody(next.call.callId)
    }
  }

  private _callerOf (from: IOfferingCaller): CallerOfBodies {
    let caller = this._callers.get(from)
    if (caller === undefined) {
      const { bodies } = this._options
      caller = new CallerOfBodies(from, offered => {
        this._transfers.release(offered)
        bodies.remove(offered)
        offered.blocks.clear()
        bodies.release(offered.body)
        offered.body = undefined
        this._requestNext()
      })
      this._callers.set(from, caller)
    }
    return caller
  }
}

/** Passes results on to a node, and releases the bodies of calls that have ended. */
class CallerOfBodies implements services.IHostCaller {
  public readonly offered = new Map<number, OfferedCall>()
  /** Calls that the host has accepted with their bodies. */
  public readonly delivered = new Set<number>()

  constructor (private readonly _from: IOfferingCaller, private readonly _onReleased: (offered: OfferedCall) => void) {}

  public handleHostResult (nodeId: base.NodeId, callId: number, result: types.HostResult, load: direct.TargetLoad): void {
    this.release(callId)
    this._from.handleHostResult(nodeId, callId, result, load)
  }

  public release (callId: number): void {
    this.delivered.delete(callId)
    const offered = this.offered.get(callId)
    if (offered === undefined) return
    this.offered.delete(callId)
    this._onReleased(offered)
  }
}
