/**
 * Forwards bytes between a caller and a target without parsing them. Two relays in a row show the minimum cost of two
 * additional processes on the path. Started by the latency benchmark.
 */
import * as net from 'node:net'

const options = JSON.parse(process.argv[2] ?? '{}') as { readonly port: number }

const server = net.createServer({ noDelay: true }, socket => {
  const upstream = net.connect({ port: options.port, host: '127.0.0.1', noDelay: true })
  socket.pipe(upstream).pipe(socket)
  socket.on('error', () => { upstream.destroy() })
  upstream.on('error', () => { socket.destroy() })
})
process.on('disconnect', () => { process.exit(0) })
server.listen(0, '127.0.0.1', () => {
  process.send?.({ kind: 'listening', port: (server.address() as net.AddressInfo).port })
})
