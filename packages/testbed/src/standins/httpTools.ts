/** Small helpers shared by the stand-ins' HTTP servers. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'

/** Listens on the loopback interface and returns the port. */
export async function listen (server: http.Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return (server.address() as net.AddressInfo).port
}

export async function close (server: http.Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}

export async function sleep (delayMs: number): Promise<void> {
  await timers.setTimeout(delayMs)
}

/** Reads a body; returns undefined if it is longer than `maxBytes`. */
export async function readBody (request: http.IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length <= maxBytes) chunks.push(chunk)
  }
  return length <= maxBytes ? Buffer.concat(chunks) : undefined
}

export function sendJson (response: http.ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Runs a handler and answers 400 if it throws, so that the process does not end. */
export function run (response: http.ServerResponse, handler: () => Promise<void>): void {
  handler().catch((error: unknown) => {
    if (response.headersSent) response.destroy()
    else sendJson(response, 400, { error: String(error) })
  })
}
