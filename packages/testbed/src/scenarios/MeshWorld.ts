import * as cucumber from '@cucumber/cucumber'
import * as caller from '../harness/Caller.js'
import * as fleet from '../harness/Fleet.js'
import * as institutions from '../harness/institutions.js'
import * as ledger from '../harness/Ledger.js'
import * as loadGenerator from '../harness/LoadGenerator.js'
import * as operator from '../harness/Operator.js'
import type * as managed from '../harness/ManagedProcess.js'
import type * as slowFetch from '../harness/SlowFetch.js'

const LOAD_SEED = 11

/** An operator with a changed file and an invalid one. */
export interface OperatorSession {
  readonly operator: operator.Operator
  readonly name: string
  readonly file: string
  readonly brokenFile: string
  readonly startedAtMs: number
}

/** State of one scenario: the processes of one institution, its callers and the ledger of runs. */
export class MeshWorld extends cucumber.World {
  public readonly ledger = new ledger.Ledger()
  public readonly caller = new caller.Caller(this.ledger)
  public load: loadGenerator.LoadGenerator | undefined
  public lastCommand: operator.CommandResult | undefined
  public lastCall: caller.CallResult | undefined
  public lastSpec: caller.CallSpec | undefined
  public session: OperatorSession | undefined
  public slowFetch: slowFetch.SlowFetch | undefined
  public stoppedAtMs = 0
  private _fleet: fleet.Fleet | undefined
  private _kinds: readonly loadGenerator.CallKind[] = []

  public get fleet (): fleet.Fleet {
    if (this._fleet === undefined) throw new Error('the scenario must start with the step: the institution "kartuli" runs')
    return this._fleet
  }

  /** Every node that was started, even if the start of the fleet failed. */
  public get startedNodes (): readonly managed.ManagedProcess[] {
    return this._fleet?.startedNodes ?? []
  }

  public get operator (): operator.Operator {
    return new operator.Operator('operator', this.fleet.logUrl)
  }

  public async startFleet (name: string, isRelayed = false): Promise<void> {
    const isKartuli = name === institutions.KARTULI.name
    this._kinds = isKartuli ? institutions.KARTULI_CALLS : institutions.LAKESHORE_CALLS
    this._fleet = new fleet.Fleet({ spec: isKartuli ? institutions.KARTULI : institutions.LAKESHORE, ledger: this.ledger, isRelayed })
    await this._fleet.start()
  }

  public startLoad (callsPerSecond: number): void {
    this.load = new loadGenerator.LoadGenerator({
      fleet: this.fleet,
      caller: this.caller,
      kinds: this._kinds,
      callsPerSecond,
      seed: LOAD_SEED
    })
    this.load.start()
  }

  /** Sends a call and stores it for steps that retry it. */
  public async send (nodeId: string, spec: caller.CallSpec): Promise<caller.CallResult> {
    this.lastSpec = spec
    this.lastCall = await loadGenerator.callUntilAccepted(this.caller, this.fleet.worker(nodeId).callerAddress, spec)
    return this.lastCall
  }

  public async stop (): Promise<void> {
    await this.load?.stop()
    // Graceful shutdown has its own step; after the checks there is no reason to drain.
    await this._fleet?.stop('SIGKILL')
    await this.caller.close()
  }
}
