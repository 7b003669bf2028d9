/**
 * Runs one target as a separate process. The first argument contains the options as JSON. Runs are reported to the
 * parent over the process channel, so that they are recorded even when the target is killed.
 */
import * as targetServer from './TargetServer.js'

export interface TargetProcessOptions {
  readonly name: string
  readonly port: number
  readonly connections: number
  readonly behaviour: targetServer.TargetBehaviour
}

const options = JSON.parse(process.argv[2] ?? '{}') as TargetProcessOptions
const server = new targetServer.TargetServer({
  ...options,
  onRun: event => { process.send?.(event) },
  // Kills the process only after the run was reported, so that the ledger misses no run.
  crash: () => { process.send?.({ kind: 'crashing' }, undefined, undefined, () => { process.kill(process.pid, 'SIGKILL') }) }
})
process.on('message', change => { Object.assign(server.behaviour, change) })
process.on('disconnect', () => { process.exit(0) })
const port = await server.listen()
process.send?.({ kind: 'listening', port })
