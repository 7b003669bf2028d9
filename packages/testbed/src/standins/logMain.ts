/** Runs the log stand-in as a separate process. The first argument contains the options as JSON. */
import * as logServer from './LogServer.js'

const options = JSON.parse(process.argv[2] ?? '{}') as logServer.LogServerOptions
const server = new logServer.LogServer(options)
process.on('disconnect', () => { process.exit(0) })
const port = await server.listen()
process.send?.({ kind: 'listening', port })
