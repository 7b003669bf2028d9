/**
 * Loads only the parts of undici that the node uses. The whole library with fetch and WebSocket takes
 * about 8 MB more of resident memory, and the budget of a node is 64 MB.
 */
import * as apiRequest from 'undici/lib/api/api-request.js'
import * as connectModule from 'undici/lib/core/connect.js'
import * as dispatcherModule from 'undici/lib/dispatcher/dispatcher.js'
import * as poolModule from 'undici/lib/dispatcher/pool.js'

// The entry point of undici adds its API methods in the same way.
Object.assign(dispatcherModule.default.prototype, { request: apiRequest.default })

export const Pool = poolModule.default
export const buildConnector = connectModule.default
