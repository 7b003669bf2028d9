import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as workers from 'node:worker_threads'
import * as callerServer from './CallerServer.js'
import type * as callerExchange from './CallerExchange.js'

const REQUEST = 'GET /price HTTP/1.1\r\nhost: a\r\n\r\n'

const CONNECTIONS = 20

/** Opens connections and sends a request on each while the server's thread is blocked. `state` counts the requests. */
const CONNECT_SOURCE = `
  const { parentPort, workerData } = require('node:worker_threads')
  for (let i = 0; i < workerData.connections; i++) {
    const socket = require('node:net').connect(workerData.port, '127.0.0.1', () => {
      socket.write(workerData.request, () => {
        Atomics.add(workerData.state, 0, 1)
        Atomics.notify(workerData.state, 0)
      })
    })
    let text = ''
    socket.on('data', data => { text += data })
    socket.on('error', error => { text = error.code })
    socket.on('close', () => { parentPort.postMessage(text.slice(0, 15)) })
  }
`

test.describe('CallerServer', () => {
  let server: callerServer.CallerServer
  let port: number

  test.beforeEach(async () => {
    server = new callerServer.CallerServer({ address: { host: '127.0.0.1', port: 0 }, owner: new AnsweringOwner(), maxBodyBytes: () => 1024 })
    port = await server.listen()
  })
  test.afterEach(() => { server.dispose() })

  test.describe('close', () => {
    // Guards against a request that is lost because it was in flight when its idle connection was closed.
    test.it('answers on a connection that has been idle for less than the advertised time', async () => {
      const connection = new Connection(port)
      const first = await connection.send(REQUEST)
      assert.match(first, /keep-alive: timeout=5\r\n/i)
      const closed = server.close()
      await timers.setTimeout(50)
      assert.match(await connection.send(REQUEST), /elmpost-outcome: answered\r\n[^]*connection: close\r\n/i)
      await closed
    })

    // Guards against a reset of connections that the kernel has established and the process has not accepted yet.
    test.it('answers on connections that were established before `close` is called', async () => {
      const state = new Int32Array(new SharedArrayBuffer(4))
      const worker = new workers.Worker(CONNECT_SOURCE, { eval: true, workerData: { port, request: REQUEST, state, connections: CONNECTIONS } })
      const answers: string[] = []
      const ended = new Promise<void>(resolve => {
        worker.on('message', (text: string) => { if (answers.push(text) === CONNECTIONS) resolve() })
      })
      for (let opened = 0; opened < CONNECTIONS; opened = Atomics.load(state, 0)) Atomics.wait(state, 0, opened)
      await server.close()
      await ended
      assert.deepEqual(answers, Array.from({ length: CONNECTIONS }, () => 'HTTP/1.1 200 OK'))
    })

    test.it('resolves at once when no connection is open', async () => {
      await server.close()
      assert.equal(server.isClosing, true)
    })
  })
})

class AnsweringOwner implements callerExchange.IExchangeOwner {
  public begin (sink: Parameters<callerExchange.IExchangeOwner['begin']>[0]): ReturnType<callerExchange.IExchangeOwner['begin']> {
    sink.answer({ outcome: 'answered', reason: 'ok', status: 200, headers: {}, body: undefined, retryAfterMs: 0 } as never, undefined)
    return {} as never
  }

  public cancel (): void {}
  public handleWritable (): void {}
}

/** A client connection that sends one request after another. */
class Connection {
  private readonly _socket: net.Socket

  constructor (port: number) {
    this._socket = net.connect(port, '127.0.0.1')
  }

  /** Resolves with the answer, or with the error that ended the connection. */
  public send (request: string): Promise<string> {
    return new Promise(resolve => {
      this._socket.once('data', data => { resolve(String(data)) })
      this._socket.once('error', error => { resolve(String(error)) })
      this._socket.once('close', () => { resolve('closed') })
      this._socket.write(request)
    })
  }
}
