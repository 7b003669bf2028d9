import * as crypto from 'node:crypto'
import * as net from 'node:net'

/**
 * Ports below the range that Linux gives to outgoing connections (32768 and up). A port of that range can be taken by
 * such a connection between its choice here and its use by a process.
 */
const FIRST_PORT = 10_000
const END_PORT = 32_000

/** Finds free loopback ports. All are held open until every one is known, so that none comes twice. */
export async function findFreePorts (count: number): Promise<number[]> {
  const held: net.Server[] = []
  const ports: number[] = []
  let candidate = crypto.randomInt(FIRST_PORT, END_PORT)
  while (ports.length < count) {
    const server = await tryListen(candidate)
    if (server !== undefined) {
      held.push(server)
      ports.push(candidate)
    }
    candidate = candidate + 1 < END_PORT ? candidate + 1 : FIRST_PORT
  }
  await Promise.all(held.map(server => new Promise<void>(resolve => { server.close(() => { resolve() }) })))
  return ports
}

/** Undefined if the port is in use. */
async function tryListen (port: number): Promise<net.Server | undefined> {
  const server = net.createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(undefined) })
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}
