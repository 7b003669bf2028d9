// Stand-in for a worker, as a process of its own. It takes its options from the environment (WORKER, as JSON) and reports what
// it runs to its parent.
import * as http from 'node:http'

const options = { slots: 6, queue: 24, beatMs: 1500, workMs: 60, ...JSON.parse(process.env.WORKER) }
const { id, service, address, control, born, zone } = options
let sequence = 0
let running = 0
const queue = []
const tell = message => { if (process.connected) process.send(message) }

const server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
  let bytes = 0
  request.on('data', part => { bytes += part.length })
  request.on('end', () => handle(request, response, bytes))
})

function handle (request, response, bytes) {
  const requestId = request.headers['request-id']
  if (request.url === '/health') {
    response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end()
    return
  }
  if (requestId === undefined) return decline(response, 400, {})
  const expected = request.headers['expect-instance']
  if (expected !== undefined && expected !== id) return decline(response, 421, { 'Request-Id': requestId, 'Instance-Id': id })
  if (running >= options.slots && queue.length >= options.queue) return decline(response, 503, { 'Request-Id': requestId, 'Not-Executed': '1' })
  const begin = () => run(request, response, requestId, bytes)
  if (running < options.slots) begin()
  else queue.push(begin)
}

function decline (response, status, headers) {
  response.writeHead(status, { 'Not-Executed': '1', ...headers, 'Content-Length': 0 }).end()
}

function run (request, response, requestId, bytes) {
  running += 1
  tell({ kind: 'run', id, requestId, path: request.url, bytes, deadlineMs: Number(request.headers['deadline-ms']), atMs: Date.now() })
  const workMs = Number(/work=(\d+)/.exec(request.url)?.[1] ?? options.workMs)
  const timer = setTimeout(() => {
    end()
    answer(request, response, requestId)
  }, workMs)
  let hasEnded = false
  const end = () => {
    if (hasEnded) return
    hasEnded = true
    running -= 1
    queue.shift()?.()
  }
  response.on('close', () => {
    if (response.writableEnded || hasEnded) return
    // The connection was closed before the answer.
    clearTimeout(timer)
    end()
  })
}

function answer (request, response, requestId) {
  const isUnframed = options.unframedBytes !== undefined && request.url.includes('without-length')
  const text = `${id} ${request.url} `
  const body = text.padEnd((isUnframed ? options.unframedBytes : options.answerBytes) ?? 0, 'x')
  tell({ kind: 'answered', id, requestId, path: request.url, bytes: body.length, atMs: Date.now() })
  if (isUnframed) {
    // An answer without a length, which ends with its connection.
    response.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Stamp: stamp.${id}\r\nConnection: close\r\n\r\n${body}`)
    return
  }
  response.writeHead(200, { 'Request-Id': requestId, 'Server-Stamp': `stamp.${id}`, 'Content-Length': Buffer.byteLength(body) }).end(body)
}

async function call (path, body) {
  const [host, port] = control.split(':')
  return await new Promise(resolve => {
    const text = JSON.stringify(body)
    const request = http.request({ host, port, path, method: 'POST', agent: false, timeout: 1_000, headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) } }, response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
    request.end(text)
  })
}

async function beat () {
  sequence += 1
  const body = { address, born, 'node-info': { service, version: 'v1', zone, 'slot-count': options.slots }, status: { state: 'ready', sequence, 'cold-left': '0ms' } }
  const status = await call(`/v1/Instances.Heartbeat/${id}`, body)
  tell({ kind: 'beat', id, sequence: body.status.sequence, status, atMs: Date.now() })
}

process.on('disconnect', () => process.exit(0))

const [host, port] = address.split(':')
server.listen(Number(port), host, () => {
  tell({ kind: 'up', id, atMs: Date.now() })
  beat()
  setInterval(beat, options.beatMs)
})
