import * as net from 'node:net'
import * as resets from '@elmpost/platform/standins/Reset.js'
import type * as faultPlan from './FaultPlan.js'

/** Delay in each direction during the `delay` fault. */
const DELAY_MS = 120

interface Pair {
  readonly caller: net.Socket
  readonly callee: net.Socket
}

/** Loopback TCP relay that delays, resets or silences the connections passing through it, in one or both directions. */
export class FaultRelay {
  private readonly _server = net.createServer(socket => { this._accept(socket) })
  private readonly _pairs = new Set<Pair>()
  private _fault: faultPlan.LinkFault | undefined

  constructor (private readonly _calleePort: () => number) {}

  public async listen (): Promise<number> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
    return (this._server.address() as net.AddressInfo).port
  }

  public setFault (fault: faultPlan.LinkFault): void {
    this._fault = fault
    if (fault === 'reset') this._resetAll()
  }

  /** Ends the fault. Connections that dropped data are reset, as after a network partition; new ones work. */
  public clearFault (): void {
    const wasDropping = this._fault === 'silent' || this._fault === 'one-way'
    this._fault = undefined
    if (wasDropping) this._resetAll()
  }

  public async close (): Promise<void> {
    for (const { caller, callee } of this._pairs) {
      caller.destroy()
      callee.destroy()
    }
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }

  private _accept (caller: net.Socket): void {
    const callee = net.connect(this._calleePort(), '127.0.0.1')
    const pair = { caller, callee }
    this._pairs.add(pair)
    this._forward(caller, callee, () => this._fault === 'silent' || this._fault === 'one-way')
    this._forward(callee, caller, () => this._fault === 'silent')
    for (const socket of [caller, callee]) {
      socket.setNoDelay(true)
      socket.on('error', () => { this._reset(pair) })
      socket.on('close', () => { this._pairs.delete(pair) })
    }
    if (this._fault === 'reset') this._reset(pair)
  }

  private _forward (from: net.Socket, to: net.Socket, isDropping: () => boolean): void {
    const queue = new DelayQueue()
    const schedule = (deliver: () => void): void => {
      if (!isDropping()) queue.add(this._fault === 'delay' ? DELAY_MS : 0, deliver)
    }
    from.on('data', (part: Buffer) => { schedule(() => { if (!to.destroyed) to.write(part) }) })
    from.on('end', () => { schedule(() => { to.end() }) })
  }

  private _resetAll (): void {
    for (const pair of [...this._pairs]) this._reset(pair)
  }

  private _reset (pair: Pair): void {
    this._pairs.delete(pair)
    resets.reset(pair.caller)
    resets.reset(pair.callee)
  }
}

/** Delays the data of one direction and keeps its order. */
class DelayQueue {
  private readonly _waiting: { readonly dueAtMs: number, readonly deliver: () => void }[] = []

  public add (delayMs: number, deliver: () => void): void {
    this._waiting.push({ dueAtMs: performance.now() + delayMs, deliver })
    if (this._waiting.length === 1) this._deliverDue()
  }

  private _deliverDue (): void {
    for (let [first] = this._waiting; first !== undefined; [first] = this._waiting) {
      const waitMs = first.dueAtMs - performance.now()
      if (waitMs > 0) {
        setTimeout(() => { this._deliverDue() }, waitMs)
        return
      }
      this._waiting.shift()
      first.deliver()
    }
  }
}
