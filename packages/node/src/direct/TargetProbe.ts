import * as addresses from '../Addresses.js'
import * as net from 'node:net'
import type * as base from '@elmpost/common/base/Types.js'
import type * as crashWatches from './CrashWatch.js'

/** A connection that nobody serves is closed within this time. */
const CLOSED_MS = 15

/**
 * Finds out whether the address takes a connection. One that does not answer in time may take it: only a refusal says that
 * nothing listens. Something between the node and the target may accept connections that it cannot pass on, and closes them.
 */
export function probe (address: string, timeoutMs: base.Millis, onResult: (result: crashWatches.ProbeResult) => void): void {
  const { host, port } = addresses.parse(address)
  const socket = net.connect({ host, port }).resume()
  let isConnected = false
  let timer: NodeJS.Timeout | undefined
  const end = (result: crashWatches.ProbeResult): void => {
    clearTimeout(timer)
    socket.removeAllListeners()
    // A reset after the result concerns nobody.
    socket.on('error', () => {})
    socket.destroy()
    onResult(result)
  }
  timer = setTimeout(() => { end('up') }, timeoutMs)
  socket.on('connect', () => {
    isConnected = true
    clearTimeout(timer)
    timer = setTimeout(() => { end('up') }, CLOSED_MS)
  })
  socket.on('end', () => { end('closed') })
  socket.on('close', () => { end('closed') })
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNREFUSED') end('refused')
    else end(isConnected || error.code === 'ECONNRESET' ? 'closed' : 'up')
  })
}
