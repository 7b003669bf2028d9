import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'

/**
 * Ports below the range that Linux assigns to outgoing connections (32768 and up). An outgoing connection could take a
 * port of that range after it was chosen here and before a process listens on it. The stand-ins of the platform have those
 * below, because their nodes would take the port of a process of the soak that is down for a moment.
 */
const FIRST_PORT = 15_000
const END_PORT = 32_000
/** A process claims ports in blocks and listens on the first port of each, so that other runs on the machine skip the block. */
const BLOCK_PORTS = 100
/** A process that needs more ports than these blocks hold reuses its own ports. */
const MAX_BLOCKS = 20
const MAX_TRIES = 2_000

/** First port of each block claimed by this process. */
const blocks: Promise<number>[] = []
let candidateCount = 0

/** Finds free loopback ports. Listens on each until all are found, so that none is returned twice. */
export async function findFreePorts (count: number): Promise<number[]> {
  const held: net.Server[] = []
  const ports: number[] = []
  for (let tries = 0; ports.length < count; tries++) {
    if (tries === MAX_TRIES + count) throw new Error(`found fewer than ${count} free ports between ${FIRST_PORT} and ${END_PORT}; end other runs`)
    const candidate = await nextCandidate()
    const server = await tryListen(candidate)
    if (server === undefined) continue
    held.push(server)
    ports.push(candidate)
  }
  await Promise.all(held.map(server => new Promise<void>(resolve => { server.close(() => { resolve() }) })))
  return ports
}

/** Sockets on the machine that use the port at either end, with their states, as the system lists them. */
export function socketsOf (port: number): string[] {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`
  return fs.readFileSync('/proc/net/tcp', 'utf8').split('\n').map(line => line.trim()).filter(line => line.includes(`${suffix} `))
}

async function nextCandidate (): Promise<number> {
  const usable = BLOCK_PORTS - 1
  const place = candidateCount++ % (MAX_BLOCKS * usable)
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

/** Listens on a port; returns undefined if it is in use. */
async function tryListen (port: number): Promise<net.Server | undefined> {
  const server = net.createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(undefined) })
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}
