import * as acceptance from '../config/Acceptance.js'
import * as configDelta from '../config/ConfigDelta.js'
import * as configValidator from '../config/ConfigValidator.js'
import * as crashTable from '../hosting/CrashTable.js'
import * as delegateSelector from './DelegateSelector.js'
import * as distribution from '../distribution/Distribution.js'
import * as effectQueue from './EffectQueue.js'
import * as enforcement from '../distribution/Enforcement.js'
import * as entryCalls from '../routing/EntryCalls.js'
import * as hostCalls from '../hosting/HostCalls.js'
import * as lifecycle from '../hosting/Lifecycle.js'
import * as membership from '../membership/Membership.js'
import * as nodeCore from './NodeCore.js'
import * as ownershipLogs from '../hosting/OwnershipLog.js'
import * as ownershipTable from '../hosting/OwnershipTable.js'
import * as readerSelection from '../distribution/ReaderSelection.js'
import * as targetSelector from '../routing/TargetSelector.js'
import * as terms from '../distribution/Terms.js'
import * as cachingValidator from '../distribution/CachingValidator.js'
import type * as base from '../base/Types.js'
import type * as config from '../config/Types.js'
import type * as nodeServices from './Services.js'
import type * as memberTypes from '../membership/Types.js'
import type * as routing from '../routing/Types.js'

/** A node with a target becomes ready only when the issue times of all keys that its previous process may have run have passed. */
const READY_DELAY_MS = 2000

/** Drain time while no configuration is known. */
const DEFAULT_DRAIN_MS = 10_000

export interface NodeCompositionOptions {
  readonly self: memberTypes.SelfAnnouncement
  /** Peer addresses to join through. */
  readonly seeds: readonly string[]
  readonly random: base.IRandom
  /** SHA-256 of method, path and body. The process can pass a faster implementation than that of the core. */
  readonly fingerprint?: (request: routing.EntryRequest) => string
  /** Called for each message or state that is refused. */
  readonly onRefused: (error: Error) => void
  /** Called for each record of the log that has no effect on this node. */
  readonly onRecordSkipped?: (skipped: nodeServices.RecordSkipped) => void
}

/** Creates and connects the services of one node from its settings. */
export class NodeComposition {
  public readonly effects = new effectQueue.EffectQueue()
  public readonly core: nodeCore.NodeCore
  private readonly _distribution: distribution.Distribution

  constructor (options: NodeCompositionOptions) {
    const { effects } = this
    const { self, random } = options
    const validator = new cachingValidator.CachingValidator({ validator: new configValidator.ConfigValidator() })
    const enforced = new enforcement.Enforcement({
      validator,
      onRefused: (version, reason) => { options.onRefused(new Error(`Version ${version} is not enforced: ${reason}`)) }
    })
    const table = new ownershipTable.OwnershipTable()
    const crashes = new crashTable.CrashTable()
    const members = new membership.Membership({
      self,
      seeds: options.seeds,
      random,
      effects,
      terms: () => terms.termsOf(enforced.current),
      ownership: table,
      crashes,
      onMalformed: options.onRefused
    })
    this._distribution = new distribution.Distribution({
      membership: members,
      enforcement: enforced,
      readers: new readerSelection.ReaderSelection({ membership: members }),
      acceptance: new acceptance.Acceptance(validator),
      delta: new configDelta.ConfigDelta(validator),
      random,
      effects,
      ownership: table,
      onMalformed: options.onRefused,
      onVerdict: verdict => { reportSkipped(verdict, options.onRecordSkipped) }
    })
    const configuration = (): config.ConfigDocument | undefined => enforced.current?.document
    const ownershipLog = new ownershipLogs.OwnershipLog({
      table,
      membership: members,
      effects,
      random,
      configuration,
      onSkipped: (offset, error) => { options.onRecordSkipped?.({ stream: 'ownership', offset, problem: error.message }) }
    })
    const selector = new targetSelector.TargetSelector({ membership: members, enforcement: enforced, random })
    const slotsOf = (service: string): number => enforced.current?.document.services.find(({ name }) => name === service)?.slots ?? 1
    const host = new hostCalls.HostCalls({
      self: { nodeId: self.nodeId, incarnation: self.incarnation },
      currentIncarnation: () => members.self.incarnation,
      service: self.service,
      startedAtMs: self.incarnation,
      configuration,
      targetReady: () => members.self.targetReady,
      table,
      isCaughtUp: () => ownershipLog.isCaughtUp,
      crashes,
      delegates: new delegateSelector.DelegateSelector({ membership: members, selector, slotsOf })
    })
    const entry = new entryCalls.EntryCalls({
      membership: members,
      enforcement: enforced,
      ownership: table,
      selector,
      random,
      crashes,
      ...(options.fingerprint === undefined ? {} : { fingerprint: options.fingerprint })
    })
    this.core = new nodeCore.NodeCore({
      services: {
        membership: members,
        enforcement: enforced,
        distribution: this._distribution,
        ownershipTable: table,
        ownershipLog,
        crashTable: crashes,
        host,
        entry,
        lifecycle: new lifecycle.Lifecycle({
          calls: host,
          membership: members,
          effects,
          service: self.service,
          drainMs: () => configuration()?.terms.drainMs ?? DEFAULT_DRAIN_MS
        })
      },
      earliestReadyMs: self.service === '' ? 0 : self.incarnation + READY_DELAY_MS
    })
  }

  /** Latest verdicts on proposals, shown to operators. */
  public get lastVerdicts (): readonly config.Verdict[] {
    return this._distribution.lastVerdicts
  }
}

/** Verdicts that do not depend on the state in force, each with a remedy unless its reason already names one. */
const REMEDIES: Partial<Record<config.VerdictKind, string>> = {
  'unsupported-rules': '',
  invalid: ' If newer software appended the record, upgrade elmpost on this machine. Otherwise find out who appended it.',
  'too-large': ' Propose documents with elmpost apply, which checks them first.'
}

function reportSkipped (verdict: config.Verdict, report: NodeCompositionOptions['onRecordSkipped']): void {
  const remedy = REMEDIES[verdict.kind]
  if (remedy !== undefined) report?.({ stream: 'config', offset: verdict.offset, problem: verdict.reason + remedy })
}
