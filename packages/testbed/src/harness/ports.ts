import * as net from 'node:net'

/** Finds free loopback ports. All are held open until every one is known, so that none comes twice. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listenOnFreePort()))
  const ports = servers.map(server => (server.address() as net.AddressInfo).port)
  await Promise.all(servers.map(server => new Promise<void>(resolve => { server.close(() => { resolve() }) })))
  return ports
}

async function listenOnFreePort (): Promise<net.Server> {
  const server = net.createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', resolve)
  })
  return server
}
