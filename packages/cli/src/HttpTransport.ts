/** Loads only the parts of undici that requests need; the whole library takes about 200 ms longer to load. */
import * as agentModule from 'undici/lib/dispatcher/agent.js'
import * as apiRequest from 'undici/lib/api/api-request.js'
import type * as undici from 'undici'

const Agent = agentModule.default
const agent = new Agent()

/** `undici.request` with a pool of connections for each origin. */
export async function request (url: URL, options: Omit<undici.Dispatcher.RequestOptions, 'origin' | 'path'>): Promise<undici.Dispatcher.ResponseData<unknown>> {
  return await apiRequest.default.call(agent, { ...options, origin: url.origin, path: url.pathname + url.search })
}
