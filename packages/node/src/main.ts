import * as args from './Arguments.js'
import * as crypto from 'node:crypto'
import * as digests from '@elmpost/common/base/Digest.js'
import * as fingerprint from './Fingerprint.js'
import * as logger from './Logger.js'
import * as metricsAddon from '@elmpost/addon-metrics'
import * as nativeDigest from './NativeDigest.js'
import * as nodeComposition from '@elmpost/common/node/NodeComposition.js'
import * as nodeProcess from './NodeProcess.js'
import * as random from '@elmpost/common/base/Random.js'
import * as settings from './Settings.js'
import type * as types from './Types.js'

/** Exit codes; `docs/operators.md` lists them. */
const EXIT_FAILED = 1
const EXIT_USAGE = 2

/** Runs a node until it is stopped by a signal. */
export async function main (argv: readonly string[], environment: NodeJS.ProcessEnv): Promise<void> {
  const parsed = args.parse(argv)
  if (parsed.isErr()) {
    fail(EXIT_USAGE, parsed.error.message)
    return
  }
  if (parsed.value.help) {
    process.stdout.write(`${args.USAGE}\n`)
    return
  }
  const loaded = await settings.load(parsed.value.settings, environment)
  if (loaded.isErr()) fail(EXIT_USAGE, loaded.error.message)
  else if (parsed.value.check) process.stdout.write(`The settings of ${parsed.value.settings} are valid.\n`)
  else await run(loaded.value)
}

async function run (nodeSettings: types.NodeSettings): Promise<void> {
  digests.useTextDigest(nativeDigest.digestText)
  const node = create(nodeSettings)
  // Further signals have no effect: a stop that has begun always completes.
  process.on('SIGTERM', () => { node.stop() })
  process.on('SIGINT', () => { node.stop() })
  try {
    await node.start()
  } catch (error) {
    fail(EXIT_FAILED, `The node cannot listen: ${(error as Error).message}. Check the addresses in the settings and which process uses them.`)
    node.dispose()
    return
  }
  await node.stopped
}

function create (nodeSettings: types.NodeSettings): nodeProcess.NodeProcess {
  const log = new logger.Logger({
    level: nodeSettings.logLevel,
    nodeId: nodeSettings.nodeId,
    zone: nodeSettings.zone,
    version: () => composition.core.services.enforcement.current?.version ?? 0,
    write: line => { process.stdout.write(`${line}\n`) }
  })
  const randomSource = new random.Random(crypto.randomInt(2 ** 31))
  const composition = new nodeComposition.NodeComposition({
    self: announcementOf(nodeSettings),
    seeds: nodeSettings.seeds,
    random: randomSource,
    fingerprint: fingerprint.fingerprintOf,
    onRefused: error => {
      log.log('warn', 'state-refused', { problem: error.message })
      node.reportCoreRefusal(error)
    },
    onRecordSkipped: ({ stream, offset, problem }) => { log.log('warn', 'record-skipped', { stream, offset, problem }) }
  })
  process.on('uncaughtException', error => {
    log.log('fatal', 'unexpected-error', { problem: error.stack ?? String(error) })
    process.exit(EXIT_FAILED)
  })
  const node: nodeProcess.NodeProcess = new nodeProcess.NodeProcess({
    settings: nodeSettings,
    core: composition.core,
    effects: composition.effects,
    logger: log,
    random: randomSource,
    nowMs: Date.now,
    addons: [new metricsAddon.metricsAddon.MetricsAddon()],
    details: () => ({ verdicts: composition.lastVerdicts })
  })
  return node
}

function announcementOf (nodeSettings: types.NodeSettings): nodeComposition.NodeCompositionOptions['self'] {
  const { nodeId, zone, service, callerAddress, announcedPeerAddress, adminAddress } = nodeSettings
  return {
    nodeId,
    incarnation: Date.now(),
    peerAddress: announcedPeerAddress,
    callerAddress,
    adminAddress,
    zone,
    service,
    targetReady: false,
    targetReadySinceMs: 0,
    enforcedVersion: 0
  }
}

function fail (code: number, message: string): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = code
}
