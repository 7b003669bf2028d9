import * as addresses from '../Addresses.js'
import * as net from 'node:net'
import type * as base from '@elmpost/common/base/Types.js'

/** Finds out whether the address accepts a connection. One that does not answer in time may: only a refusal says that nothing listens. */
export function probe (address: string, timeoutMs: base.Millis, onResult: (isUp: boolean) => void): void {
  const { host, port } = addresses.parse(address)
  const socket = net.connect({ host, port })
  const end = (isUp: boolean): void => {
    clearTimeout(timer)
    socket.removeAllListeners()
    // A reset after the result concerns nobody.
    socket.on('error', () => {})
    socket.destroy()
    onResult(isUp)
  }
  const timer = setTimeout(() => { end(true) }, timeoutMs)
  socket.on('connect', () => { end(true) })
  socket.on('error', (error: NodeJS.ErrnoException) => { end(error.code !== 'ECONNREFUSED' && error.code !== 'ECONNRESET') })
}
