/** Parsing of `host:port` settings and listening on them. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as services from './Services.js'
import type * as types from './Types.js'

const LOOPBACK = /^(localhost|::1|127(?:\.\d{1,3}){3})$/

/** Parses `host:port`, with an IPv6 host in brackets. */
export function parse (address: string): types.Address {
  const at = address.lastIndexOf(':')
  const host = address.slice(0, at).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(at + 1)) }
}

/** The reverse of `parse`. */
export function format ({ host, port }: types.Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}

export function isLoopback (address: string): boolean {
  return LOOPBACK.test(parse(address).host)
}

/** Binds a server to its address. Fails if the port is in use. */
export const immediateBinder: services.IServerBinder = { bind: listen }

export function listen (server: http.Server, address: types.Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, () => {
      server.off('error', reject)
      resolve((server.address() as net.AddressInfo).port)
    })
  })
}
