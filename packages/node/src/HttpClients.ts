/**
 * Loads only the parts of undici that the node uses. The whole library with fetch and WebSocket takes
 * about 8 MB more of resident memory, and the budget of a node is 64 MB.
 */
import * as apiRequest from 'undici/lib/api/api-request.js'
import * as connectModule from 'undici/lib/core/connect.js'
import * as dispatcherModule from 'undici/lib/dispatcher/dispatcher.js'
import * as poolModule from 'undici/lib/dispatcher/pool.js'
import type * as net from 'node:net'
import type * as undici from 'undici'

// The entry point of undici adds its API methods in the same way.
Object.assign(dispatcherModule.default.prototype, { request: apiRequest.default })

export const Pool = poolModule.default
export const buildConnector = connectModule.default

/** Error code for a reset connection. The HTTP client does not treat this code as the end of an answer. */
const RESET_CODE = 'TARGET_RESET'

/**
 * Opens connections to a target. An answer without a length ends with its connection. The HTTP client also takes a reset for such
 * an end and would report a truncated answer as complete, so a reset is reported under another error code.
 */
export function connectToTarget (timeoutMs: number): undici.buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    connect(options, (...result) => {
      const [failure, socket] = result
      if (failure === null) {
        socket.prependListener('error', (error: NodeJS.ErrnoException) => {
          if (error.code === 'ECONNRESET') error.code = RESET_CODE
        })
        reportHiddenResets(socket)
      }
      callback(...result)
    })
  }
}

/**
 * Node.js reports the end of a connection when a reset is read in one turn of the event loop with the bytes before it. The
 * system has no peer address for a connection that was reset, and still has it for one whose peer has only ended it.
 */
function reportHiddenResets (socket: net.Socket): void {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean
  socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
    if (event !== 'end' || socket.remoteAddress !== undefined) return emit(event, ...values)
    socket.destroy(Object.assign(new Error('the connection was reset'), { code: RESET_CODE }))
    return true
  }
}
