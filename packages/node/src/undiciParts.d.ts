/** Types of the undici modules that are loaded without the rest of the package, which saves about 8 MB of resident memory. */
declare module 'undici/lib/dispatcher/pool.js' {
  import * as undici from 'undici'

  const pool: typeof undici.Pool
  export default pool
}

declare module 'undici/lib/core/connect.js' {
  import * as undici from 'undici'

  const buildConnector: typeof undici.buildConnector
  export default buildConnector
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  import * as undici from 'undici'

  const dispatcher: typeof undici.Dispatcher
  export default dispatcher
}

declare module 'undici/lib/api/api-request.js' {
  import * as undici from 'undici'

  const request: undici.Dispatcher['request']
  export default request
}
