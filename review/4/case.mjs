/** A request that crashes the workers that run it is retried on further workers however often it has crashed some. */
import * as path from 'node:path'
import * as url from 'node:url'
import * as deployment from '../standins/deployment.mjs'

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url))
/** `browse` and `book` of lte-mesh: 60 and 78 ms of work. */
const BROWSE = { kind: 'idempotent', timeoutMs: 1_200, objectiveMs: 200, priority: 2 }
const BOOK = { kind: 'non_idempotent', timeoutMs: 1_500, objectiveMs: 250, priority: 1 }
const CONTACT_MS = 3_000
/** More retries break the rule. */
const ALLOWED_RETRIES = 3
const CRASHES = 3
/** The harmful request comes again at this interval, and a worker is back after this time. */
const POISON_INTERVAL_MS = 2_000
const POISON_COUNT = 15
const DOWN_MS = 2_000
const WARM_UP_MS = 6_000

await deployment.runCase(FOLDER, async (fleet, ledger, isTrouble) => {
  const crashes = []
  const lost = []
  let starts = 0
  const onRun = run => {
    if (run.path !== '/browse/tutors?page=-1') return false
    run.isHarmful = true
    if (!isTrouble) return false
    const index = fleet.workers.findIndex(({ id }) => id === run.worker)
    const worker = fleet.workers[index]
    setTimeout(() => {
      if (fleet.workers[index] !== worker) return
      crashes.push(ledger.now())
      ledger.write(`worker ${worker.id} crashes as it runs ${run.id}`)
      lost.push(...worker.runs.filter(other => other.endedAtMs === undefined && !other.isHarmful))
      worker.crash()
      const next = new deployment.Worker({ ...worker.options, id: `${worker.options.id}-${++starts}` })
      next.options = worker.options
      next.runs = worker.runs
      fleet.workers[index] = next
      setTimeout(() => { next.listen().then(() => { next.startBeats() }, () => {}) }, DOWN_MS)
    }, 20)
    return true
  }
  const machine = { service: 'booking', slots: 6, workMs: target => target.startsWith('/book/') ? 78 : 60, onRun }
  await fleet.start([
    { ...machine, zone: 'ann' }, { ...machine, zone: 'ann' }, { ...machine, zone: 'tol' }, { ...machine, zone: 'det' }, { ...machine, zone: 'det', service: 'tutor' }
  ], [deployment.route('/browse/', 'booking', BROWSE), deployment.route('/book/', 'booking', BOOK)], ['booking', 'tutor'])
  for (const worker of fleet.workers) worker.options = { ...machine, id: worker.id, service: worker.service, zone: worker.zone, address: worker.address, control: worker.control, ledger }
  const traffic = { isOver: false }
  const press = async (clients, client) => {
    for (let at = 0; !traffic.isOver; at++) {
      await clients.call({ method: 'POST', path: `/book/${client}-${at}`, body: 'hour=17', deadlineMs: 1_500, isQuiet: true })
      await deployment.sleep(120)
    }
  }
  const pressing = fleet.clients.flatMap(clients => [press(clients, 1), press(clients, 2), press(clients, 3)])
  await deployment.sleep(WARM_UP_MS)
  const poisons = []
  for (let at = 0; at < POISON_COUNT; at++) {
    poisons.push(fleet.clients[at % fleet.clients.length].call({ path: '/browse/tutors?page=-1', deadlineMs: 1_200 }))
    await deployment.sleep(POISON_INTERVAL_MS)
  }
  const harmful = new Set((await Promise.all(poisons)).map(({ id }) => id))
  traffic.isOver = true
  await Promise.all(pressing)
  const boundMs = (crashes[CRASHES - 1] ?? Infinity) + CONTACT_MS
  const seen = new Set()
  const retries = []
  const runs = [...new Set(fleet.workers.flatMap(({ runs: all }) => all))].filter(({ id }) => harmful.has(id)).sort((one, other) => one.atMs - other.atMs)
  for (const run of runs) {
    if (seen.has(run.id) && run.atMs > boundMs) retries.push(run)
    seen.add(run.id)
  }
  for (const { id, worker, atMs } of retries) ledger.write(`${id} was sent once more, to ${worker}, ${Math.round(atMs - boundMs)} ms after the bound`)
  ledger.write(`${crashes.length} crashes, ${lost.length} other requests that the workers were running were lost with them`)
  if (retries.length <= ALLOWED_RETRIES) return undefined
  return `${retries.length} retries of a harmful request reached workers later than contact after its third crash; ${crashes.length} crashes in all, with ${lost.length} other requests lost`
})
