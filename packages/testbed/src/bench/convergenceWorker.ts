/** Runs one case of the convergence benchmark in a worker thread, so that its memory is released afterwards. */
import * as workerThreads from 'node:worker_threads'
import * as cases from './ConvergenceCase.js'
import * as baselines from './PollingBaseline.js'
import type * as types from './convergenceTypes.js'

const spec = workerThreads.workerData as types.CaseSpec
const result = spec.strategy === 'every-node-polls' ? baselines.runPollingBaseline(spec) : new cases.ConvergenceCase(spec).run()
workerThreads.parentPort?.postMessage(result)
