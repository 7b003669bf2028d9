import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import * as msgpackr from 'msgpackr'
import * as peerRelay from './PeerRelay.js'
import * as test from 'node:test'
import * as ws from 'ws'

async function startServer (): Promise<{ server: ws.WebSocketServer, port: number }> {
  const server = new ws.WebSocketServer({ port: 0, host: '127.0.0.1' })
  await events.EventEmitter.once(server, 'listening')
  return { server, port: (server.address() as { port: number }).port }
}

test.describe('PeerRelay', () => {
  test.it('forwards messages, cuts only connections of separated nodes, and forwards their messages again after the separation', async () => {
    const { server, port } = await startServer()
    const received: string[] = []
    server.on('connection', socket => {
      socket.on('message', data => {
        received.push((msgpackr.unpack(data as Buffer) as { nodeId: string }).nodeId)
        socket.send('taken')
      })
    })
    const separated = new Set<string>()
    const relay = new peerRelay.PeerRelay({ nodeId: 'host', targetPort: port, isSeparated: from => separated.has(from) })
    const relayPort = await relay.listen()
    const greet = async (nodeId: string): Promise<ws.WebSocket> => {
      const socket = new ws.WebSocket(`ws://127.0.0.1:${relayPort}/`)
      socket.on('error', () => {})
      await events.EventEmitter.once(socket, 'open')
      socket.send(msgpackr.pack({ kind: 'hello', nodeId, padding: 'x'.repeat(200) }))
      await Promise.race([events.EventEmitter.once(socket, 'message'), events.EventEmitter.once(socket, 'close')])
      return socket
    }
    const other = await greet('a')
    const cut = await greet('b')
    separated.add('b')
    const closed = events.EventEmitter.once(cut, 'close')
    relay.closeSeparated()
    await closed
    const refused = await greet('b')
    assert.notEqual(refused.readyState, ws.WebSocket.OPEN)
    assert.equal(other.readyState, ws.WebSocket.OPEN)
    separated.clear()
    const again = await greet('b')
    assert.equal(again.readyState, ws.WebSocket.OPEN)
    assert.deepEqual(received, ['a', 'b', 'b'])
    relay.close()
    server.close()
  })
})
