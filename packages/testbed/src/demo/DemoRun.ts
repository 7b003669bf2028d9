import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as uuid from 'uuid'
import type * as config from '@elmpost/common/config/Types.js'
import * as caller from '../harness/Caller.js'
import * as fleet from '../harness/Fleet.js'
import type * as institutions from '../harness/institutions.js'
import * as ledger from '../harness/Ledger.js'
import * as loadGenerator from '../harness/LoadGenerator.js'
import type * as managed from '../harness/ManagedProcess.js'
import * as operator from '../harness/Operator.js'

const START_TIMEOUT_MS = 40_000
const CONVERGENCE_TIMEOUT_MS = 5000
const LOAD_MS = 5000
const SEED = 1
/** Number of last output lines shown after an unexpected exit. */
const MAX_EXIT_LINES = 20

export interface DemoOptions {
  readonly spec: institutions.InstitutionSpec
  readonly kinds: readonly loadGenerator.CallKind[]
  readonly callsPerSecond: number
  readonly print: (line: string) => void
}

/**
 * Starts one institution as separate processes, applies its configuration file, sends a payment, changes
 * the configuration under load, stops one node gracefully and checks the outcomes that callers received.
 */
export class DemoRun {
  private readonly _ledger = new ledger.Ledger()
  private readonly _caller = new caller.Caller(this._ledger)
  private readonly _fleet: fleet.Fleet
  private readonly _failures: string[] = []

  constructor (private readonly _options: DemoOptions) {
    this._fleet = new fleet.Fleet({ spec: _options.spec, ledger: this._ledger })
  }

  /** Returns the failures; empty if the run succeeded. */
  public async run (): Promise<readonly string[]> {
    try {
      await this._fleet.start()
      this._print(`${this._fleet.workers.length} nodes and targets started in ${this._options.spec.zones.join(', ')}`)
      await this._applyAndWait(this._options.spec.configFile, 1, START_TIMEOUT_MS)
      await this._sendOneKeyedCall()
      await this._changeUnderLoad()
    } catch (error) {
      this._failures.push(error instanceof Error ? error.message : String(error))
    } finally {
      await this._stop()
    }
    this._failures.push(...this._ledger.check())
    this._report()
    return this._failures
  }

  private async _applyAndWait (file: string, version: number, timeoutMs: number): Promise<void> {
    const operators = new operator.Operator('demo', this._fleet.logUrl)
    const result = await operators.apply(file)
    if (result.exitCode !== 0) throw new Error(`apply ended with ${result.exitCode}: ${result.stdout}${result.stderr}`)
    const elapsedMs = await this._fleet.waitForVersion(version, timeoutMs)
    this._print(`version ${version} accepted, in force on every node ${Math.round(elapsedMs)} ms after the command ended`)
  }

  private async _sendOneKeyedCall (): Promise<void> {
    const kind = this._options.kinds.find(candidate => candidate.keyed)
    const entry = this._fleet.workers[0]
    if (kind === undefined || entry === undefined) return
    const spec: caller.CallSpec = { method: kind.method, path: kind.path, key: uuid.v7(), body: '{"amount":40}', timeoutMs: kind.timeoutMs }
    const result = await loadGenerator.callUntilAccepted(this._caller, entry.callerAddress, spec)
    this._print(`${kind.method} ${kind.path} through ${entry.nodeId}: ${result.outcome} (${result.status}) ${result.bodyText}`)
    if (result.outcome !== 'answered') this._failures.push(`the first keyed call was not answered: ${result.outcome} ${result.reason}`)
    const repeated = await this._caller.call(this._fleet.workers.at(-1)?.callerAddress ?? '', spec)
    this._print(`the same key through another node: ${repeated.outcome}, ${repeated.bodyText === result.bodyText ? 'the same answer' : 'another answer'}`)
  }

  private async _changeUnderLoad (): Promise<void> {
    const load = new loadGenerator.LoadGenerator({
      fleet: this._fleet,
      caller: this._caller,
      kinds: this._options.kinds,
      callsPerSecond: this._options.callsPerSecond,
      seed: SEED
    })
    const running = load.runFor(LOAD_MS)
    await this._applyAndWait(await this._writeChangedFile(), 2, CONVERGENCE_TIMEOUT_MS)
    await this._stopOneNode()
    await running
    this._print(`load: ${JSON.stringify(load.totals)}`)
    if (load.totals.answered !== load.totals.started) {
      this._failures.push(`${load.totals.started - load.totals.answered} of ${load.totals.started} calls were not answered`)
    }
  }

  private async _stopOneNode (): Promise<void> {
    const worker = this._fleet.workers.at(-1)
    if (worker === undefined) return
    const exit = await worker.node.stop()
    this._print(`planned stop of ${worker.nodeId} under load: exit code ${exit.code}`)
  }

  private async _writeChangedFile (): Promise<string> {
    const document = JSON.parse(await fs.readFile(this._options.spec.configFile, 'utf8')) as config.ConfigDocument
    const routes = document.routes.map(route => ({ ...route, timeoutMs: route.timeoutMs + 500 }))
    const file = path.join(await fs.mkdtemp(path.join(os.tmpdir(), 'elmpost-demo-')), 'changed.json')
    await fs.writeFile(file, JSON.stringify({ ...document, routes }))
    return file
  }

  private async _stop (): Promise<void> {
    const stopped = await this._fleet.stop()
    await this._caller.close()
    const failed = stopped.filter(({ exit }) => exit.code !== 0)
    this._failures.push(...failed.map(({ node, exit }) => describeExit(node, exit)))
  }

  private _report (): void {
    const p50Ms = this._caller.elapsedMicros.getValueAtPercentile(50) / 1000
    const p99Ms = this._caller.elapsedMicros.getValueAtPercentile(99) / 1000
    this._print(`outcomes of single sends: ${JSON.stringify(this._caller.counts)}`)
    this._print(`reasons: ${JSON.stringify(Object.fromEntries(this._caller.reasons))}`)
    this._print(`answered calls: p50 ${p50Ms} ms, p99 ${p99Ms} ms, of which 20 ms are spent in the target, 40 ms during its cold start`)
    this._print(`keyed runs: ${this._ledger.keyedRuns}, violations: ${this._ledger.check().length}`)
  }

  private _print (line: string): void {
    this._options.print(`${this._options.spec.name}: ${line}`)
  }
}

function describeExit (node: managed.ManagedProcess, exit: managed.ProcessExit): string {
  const lines = node.output.slice(-MAX_EXIT_LINES).join('\n')
  return `${node.name} ended with ${JSON.stringify(exit)}; its last output:\n${lines}`
}
