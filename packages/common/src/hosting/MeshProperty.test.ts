import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as mesh from './testing/MeshModel.js'
import type * as processes from './testing/ModelProcess.js'
import * as test from 'node:test'

const RUNS = Number(process.env['ELMPOST_MESH_RUNS'] ?? 1_000)

/** Upper limit; a check ends at the first counterexample. 3,000 runs with seed 31 did not detect that the horizon check was off. */
const RUNS_WITHOUT_MECHANISM = 20_000
const MAX_COMMANDS = 120
const SEED = Number(process.env['ELMPOST_MESH_SEED'] ?? 20_251)

type Command = fc.Command<object, mesh.MeshModel>

let steps = 0

/** The ledger throws inside the step when runs and answers contradict each other, so a command checks nothing itself. */
class Step implements Command {
  constructor (private readonly _name: string, private readonly _act: (real: mesh.MeshModel) => void) {}

  public check (): boolean {
    return true
  }

  public run (_model: object, real: mesh.MeshModel): void {
    steps++
    this._act(real)
  }

  public toString (): string {
    return this._name
  }
}

const index = fc.nat({ max: 11 })
const rarely = fc.constantFrom(false, false, false, false, false, true)
const mostly = fc.constantFrom(true, true, true, false)
const skewMs = fc.constantFrom(-20_000, -3_000, -500, -200, 0, 0, 0, 0, 1_000, 1_900, 2_100, 3_000, 7_000)
const spanMs = fc.constantFrom(1, 100, 600, 1_100, 1_600, 3_500, 9_000, 20_000)

function command<T extends unknown[]> (name: string, act: (real: mesh.MeshModel, ...args: T) => void, ...args: { [K in keyof T]: fc.Arbitrary<T[K]> }): fc.Arbitrary<Command> {
  return fc.tuple<T>(...args).map(values => new Step(`${name}(${values.join(', ')})`, real => { act(real, ...values) }))
}

const deliver = command('deliver', (real, i: number, again: boolean) => { real.deliver(i, again) }, index, fc.constantFrom(false, false, false, true))
const step = command('step', (real, i: number, lose: boolean) => { real.step(i, lose) }, index, fc.constantFrom(false, false, false, true))
const advance = command('advance', (real, ms: number) => { real.advance(ms) }, spanMs)
const resend = command('resend', (real, key: number, via: number, other: boolean, direct: boolean) => {
  real.send(key, via, other ? 'f2' : 'f1', direct)
}, index, index, rarely, rarely)
const sendNew = command('send', (real, via: number, skew: number, direct: boolean) => { real.sendNew(via, skew, direct) }, index, skewMs, rarely)
const restart = command('restart', (real, i: number) => { real.restart(i) }, index)
const moveCarelessly = command('moveCarelessly', (real, to: number, by: number, ahead: number) => { real.moveCarelessly(to, by, ahead) }, index, index, fc.constantFrom(0, 2_000, 9_000))

const deliverAll = command('deliverAll', real => { real.deliverAll() })
const stepAll = command('stepAll', real => { real.stepAll() })

/** A planned stop that continues without faults for some seconds. */
const stop = command('stop', (real, i: number, seconds: number) => {
  real.stop(i)
  for (let second = 0; second < seconds; second++) {
    real.advance(1_000)
    real.deliverAll()
  }
}, index, fc.integer({ min: 1, max: 5 }))

/** The target of an owner is not ready, so the owner delegates. */
const delegate = command('delegate', (real, i: number, choice: number) => {
  real.setTarget(i, false)
  real.chooseDelegates(choice)
}, index, fc.integer({ min: 1, max: 4 }))

const COMMANDS = [
  stop, delegate,
  sendNew, sendNew, sendNew, sendNew, resend, resend, resend, resend, deliver, deliver, deliver, deliver, deliverAll, deliverAll, deliverAll,
  step, step, step, step, stepAll, stepAll, stepAll, stepAll, advance, advance, advance, restart, moveCarelessly,
  command('drop', (real, i: number) => { real.drop(i) }, index),
  command('cancel', (real, i: number) => { real.cancel(i) }, index),
  command('crash', (real, i: number) => { real.crash(i) }, index),
  command('freeze', (real, i: number, frozen: boolean) => { real.freeze(i, frozen) }, index, fc.boolean()),
  command('suspect', (real, i: number) => { real.suspect(i) }, index),
  command('lag', (real, i: number, lagging: boolean) => { real.lag(i, lagging) }, index, rarely),
  command('setTarget', (real, i: number, ready: boolean) => { real.setTarget(i, ready) }, index, mostly),
  command('drain', (real, i: number) => { real.drain(i) }, index),
  command('beginStop', (real, i: number) => { real.stop(i) }, index),
  command('undrain', (real, i: number) => { real.undrain(i) }, index),
  command('push', (real, from: number, to: number) => { real.push(from, to) }, index, index),
  command('delegates', (real, choice: number) => { real.chooseDelegates(choice) }, fc.nat({ max: 4 })),
  command('logUp', (real, up: boolean) => { real.log.isUp = up }, mostly),
  command('slowLog', (real, slow: boolean) => { real.hasSlowLog = slow }, rarely)
]

interface Totals { runs: number, answered: number, 'not-run': number, unknown: number }

function check (off: readonly processes.Mechanism[], numRuns: number, totals?: Totals): fc.RunDetails<[number, Iterable<Command>]> {
  const property = fc.property(fc.integer({ min: 2, max: 5 }), fc.commands(COMMANDS, { maxCommands: MAX_COMMANDS, size: 'max' }), (nodes, commands) => {
    const real = new mesh.MeshModel(nodes, new Set(off))
    fc.modelRun(() => ({ model: {}, real }), commands)
    if (totals === undefined) return
    totals.runs += real.ledger.runCount
    for (const outcome of ['answered', 'not-run', 'unknown'] as const) totals[outcome] += real.ledger.answers[outcome]
  })
  return fc.check(property, { seed: SEED, numRuns, endOnFailure: off.length > 0 })
}

test.describe('A mesh of owners', () => {
  test.it('runs no key twice and gives no false not-run and no answer of another request, for any order of faults', context => {
    const totals = { runs: 0, answered: 0, 'not-run': 0, unknown: 0 }
    steps = 0
    const details = check([], RUNS, totals)
    assert.ok(!details.failed, fc.defaultReportMessage(details))
    context.diagnostic(`${details.numRuns} interleavings, ${steps} steps, ${JSON.stringify(totals)}`)
  })

  test.describe('checks', () => {
    const mechanisms: readonly processes.Mechanism[] = [
      'horizon-check', 'restart-guard', 'refusal-memory', 'key-table', 'stale-send', 'delegation-memory'
    ]
    for (const mechanism of mechanisms) {
      test.it(`fail when ${mechanism} is off, so that they cannot pass without checking anything`, () => {
        assert.ok(check([mechanism], RUNS_WITHOUT_MECHANISM).failed)
      })
    }
  })
})
