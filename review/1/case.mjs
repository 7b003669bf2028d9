/** An answer that does not end and comes in chunks of one byte uses up the memory of the node beside the worker. */
import * as path from 'node:path'
import * as url from 'node:url'
import * as deployment from '../standins/deployment.mjs'

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url))
/** `photo-fetch` and `card-charge` of kpd-booths-grown: 712 and 227 ms of work. */
const PHOTO_FETCH = { kind: 'idempotent', timeoutMs: 8_064, objectiveMs: 2_016, priority: 2 }
const CARD_CHARGE = { kind: 'non_idempotent', timeoutMs: 2_561, objectiveMs: 615, priority: 1 }
const workMs = target => target.startsWith('/charge/') ? 227 : 712
const BOUNDS = { ack: '5000ms', 'catch-up': '6s', drain: '2500ms', 'config-apply': '2500ms', 'budget-slack': 174 }
const PAUSE_MS = 200
const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000))
/** More such requests break the rule. */
const ALLOWED_LOST = 3

/** The head of an answer, and then chunks of one byte until the caller closes. */
function answerWithoutEnd (run, request, response) {
  const { socket } = request
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${run.id}\r\nServer-Stamp: stamp.${run.worker}\r\nTransfer-Encoding: chunked\r\n\r\n`
  let sentBytes = 0
  const fill = () => {
    while (!socket.destroyed && socket.write(CHUNKS)) sentBytes += CHUNKS.length
  }
  socket.on('drain', fill)
  socket.once('close', () => { console.log(`the endless answer: ${sentBytes} bytes were taken`) })
  socket.write(head)
  fill()
  return response
}

await deployment.runCase(FOLDER, async (fleet, ledger, isTrouble) => {
  const routes = [deployment.route('/photo/', 'vault', PHOTO_FETCH), deployment.route('/charge/', 'till', CARD_CHARGE), deployment.route('/receipt/', 'till', PHOTO_FETCH)]
  let isFaulty = false
  const onRun = (run, request, response) => {
    if (!isFaulty || run.path !== '/photo/endless') return false
    ledger.write(`worker ${run.worker} answers ${run.id} without end`)
    return answerWithoutEnd(run, request, response)
  }
  await fleet.start([
    { service: 'vault', zone: 'vake', onRun, workMs },
    { service: 'till', zone: 'vake', workMs },
    { service: 'till', zone: 'vake', workMs },
    { service: 'till', zone: 'didube', workMs }
  ], routes, ['till', 'vault'], BOUNDS)
  const [clients] = fleet.clients
  const [node] = fleet.nodes
  // Clients on the machine of the faulty worker, with kept connections. Their requests go to sound workers of the other service.
  const traffic = { isOver: false }
  const press = async (client, method, prefix, body) => {
    for (let at = 0; !traffic.isOver; at++) {
      const { answer } = await clients.call({ method, path: `${prefix}${client}-${at}`, body, deadlineMs: 8_064, isQuiet: true })
      if (answer.status !== 200) await deployment.sleep(PAUSE_MS)
    }
  }
  const pressing = Array.from({ length: 36 }, (_none, client) => client < 12 ? press(client, 'POST', '/charge/', 'amount=40') : press(client, 'GET', '/receipt/'))
  await deployment.sleep(4_000)
  isFaulty = isTrouble
  // One in twenty of the answers of the faulty worker is spoilt.
  const photos = Array.from({ length: 20 }, async (_none, at) => {
    await deployment.sleep(at * 200)
    await clients.call({ path: at === 5 ? '/photo/endless' : `/photo/${at}`, deadlineMs: 8_064 })
  })
  await Promise.all(photos)
  traffic.isOver = true
  await Promise.all(pressing)
  const sound = new Map(fleet.workers.slice(1).flatMap(({ runs }) => runs).map(run => [run.id, run]))
  const lost = clients.calls.filter(({ id, answer }) => answer.status === 0 && answer.isKept && sound.has(id))
  for (const { id, answer } of lost) ledger.write(`${id} ${sound.get(id).path} was passed on to sound worker ${sound.get(id).worker}; its connection was closed without an answer: ${answer.problem}`)
  for (const end of node.exits) ledger.write(`${node.name} ended by itself: ${JSON.stringify(end)}`)
  if (lost.length <= ALLOWED_LOST) return undefined
  return `${lost.length} requests from kept connections, passed on to sound workers, have no answer`
})
