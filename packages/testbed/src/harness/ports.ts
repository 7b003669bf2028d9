import * as crypto from 'node:crypto'
import * as net from 'node:net'

/**
 * Ports below the range that Linux gives to outgoing connections (32768 and up). A port of that range can be taken by
 * such a connection between its choice here and its use by a process.
 */
const FIRST_PORT = 10_000
const END_PORT = 32_000
/** A process takes ports in blocks and listens on the first port of each, so that other runs on the machine leave them alone. */
const BLOCK_PORTS = 100
/** With more ports than these a process uses its own ones again. */
const MAX_BLOCKS = 20
const MAX_TRIES = 2_000

/** First ports of the blocks of this process. */
const blocks: Promise<number>[] = []
let taken = 0

/** Finds free loopback ports. All are held open until every one is known, so that none comes twice. */
export async function findFreePorts (count: number): Promise<number[]> {
  const held: net.Server[] = []
  const ports: number[] = []
  for (let tries = 0; ports.length < count; tries++) {
    if (tries === MAX_TRIES + count) throw new Error(`no ${count} free ports were found between ${FIRST_PORT} and ${END_PORT}; end other runs`)
    const candidate = await nextCandidate()
    const server = await tryListen(candidate)
    if (server === undefined) continue
    held.push(server)
    ports.push(candidate)
  }
  await Promise.all(held.map(server => new Promise<void>(resolve => { server.close(() => { resolve() }) })))
  return ports
}

async function nextCandidate (): Promise<number> {
  const usable = BLOCK_PORTS - 1
  const place = taken++ % (MAX_BLOCKS * usable)
  const block = Math.floor(place / usable)
  blocks[block] ??= claimBlock()
  return await blocks[block] + 1 + place % usable
}

async function claimBlock (): Promise<number> {
  const count = (END_PORT - FIRST_PORT) / BLOCK_PORTS
  const start = crypto.randomInt(count)
  for (let step = 0; step < count; step++) {
    const first = FIRST_PORT + (start + step) % count * BLOCK_PORTS
    const guard = await tryListen(first)
    if (guard === undefined) continue
    guard.unref()
    return first
  }
  throw new Error(`all blocks of ports between ${FIRST_PORT} and ${END_PORT} are taken; end other runs`)
}

/** Undefined if the port is in use. */
async function tryListen (port: number): Promise<net.Server | undefined> {
  const server = net.createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(undefined) })
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}
