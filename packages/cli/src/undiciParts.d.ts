/** Parts of undici that are loaded without the rest of it. */
declare module 'undici/lib/dispatcher/agent.js' {
  import * as undici from 'undici'

  const agent: typeof undici.Agent
  export default agent
}

declare module 'undici/lib/api/api-request.js' {
  import * as undici from 'undici'

  const request: undici.Dispatcher['request']
  export default request
}
