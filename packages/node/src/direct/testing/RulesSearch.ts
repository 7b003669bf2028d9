import * as random from '@elmpost/common/base/Random.js'
import * as rulesFleet from './RulesFleet.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as virtualRulesNode from './VirtualRulesNode.js'

/** Time within which each node without a fault has to enforce an acknowledged version. */
export const BOUND_MS = 2_000
/** A node counts as free of faults from this time after the end of its fault on. */
export const CONTACT_MS = 3_000
/** Until all nodes have the first version and know who reads. */
const CALM_MS = 4_000
const FEW_FAULTS = 4
const MANY_FAULTS = 12
const MAX_VERSIONS = 6
/** Of so many nodes, all but one are the most. */
const MOST_OF = 3
const SEED_STEP = 7_919
const ZONES = ['vake', 'saburtalo', 'didube', 'gldani', 'isani']
/** Time after the last version in which it has to be in force. */
const REST_MS = 2_500
const LONGEST_REST_MS = 9_000

export const ROLES = ['reader', 'second-reader', 'candidate', 'last-candidate', 'follower'] as const
/** What a faulty node is in the plan of the readers, when the fault begins. */
export type Role = typeof ROLES[number]

/** Groups of nodes that have a fault together: an outage of the store, a power failure, the loss of most nodes or of a zone. */
export const GROUPS = ['all', 'most', 'zone'] as const
export type Group = typeof GROUPS[number]

export const KINDS = ['freeze', 'suspend', 'starve', 'no-store', 'no-links', 'cut-off', 'restart', 'silent-copies', 'damaged-copies', 'older-copies'] as const
export type Kind = typeof KINDS[number]

const PLACES = [...ROLES, ...ROLES, ...GROUPS]

export interface Fault {
  readonly kind: Kind
  /** A role, a group, or the position of any node. */
  readonly node: Role | Group | number
  /** After the first version that is accepted in the case; before it if negative. */
  readonly atMs: base.Millis
  readonly forMs: base.Millis
}

export interface Case {
  readonly nodeCount: number
  readonly zoneCount: number
  readonly faults: readonly Fault[]
  /** When each version is accepted, after the first one. */
  readonly versionsAtMs: readonly base.Millis[]
}

export interface CaseResult {
  /** Nodes that were late, with the version and by how much. Empty if all were in time. */
  readonly problems: readonly string[]
  readonly trace: readonly string[]
}

/** Times of the faults of a node, on the clock of the fleet. */
interface Harm {
  readonly fromMs: base.Millis
  readonly untilMs: base.Millis
}

/** A case with random faults and versions. */
export function caseOf (seed: number): Case {
  // Neighbouring seeds begin alike.
  const draw = new random.Random(new random.Random(seed * SEED_STEP).nextInt(2 ** 31))
  const nodeCount = draw.nextInt(5) === 0 ? 9 + draw.nextInt(52) : 9 + draw.nextInt(12)
  const faultCount = 1 + draw.nextInt(draw.nextInt(3) === 0 ? MANY_FAULTS : FEW_FAULTS)
  const faults: Fault[] = []
  for (let count = 0; count < faultCount; count++) {
    const place = PLACES[draw.nextInt(PLACES.length + 2)]
    faults.push({
      kind: KINDS[draw.nextInt(KINDS.length)] ?? 'freeze',
      node: place ?? draw.nextInt(nodeCount),
      atMs: 5 * draw.nextInt(900) - 3_000,
      forMs: 50 + 5 * draw.nextInt(draw.nextInt(2) === 0 ? 300 : 1_200)
    })
  }
  const versionsAtMs = [0]
  for (let more = draw.nextInt(MAX_VERSIONS); more > 0; more--) versionsAtMs.push((versionsAtMs.at(-1) ?? 0) + 20 + 5 * draw.nextInt(600))
  return { nodeCount, zoneCount: 3 + draw.nextInt(3), faults, versionsAtMs }
}

/** Plays a case and finds the nodes without a fault that did not enforce a version within the bound. */
export async function play (played: Case, isTraced = false): Promise<CaseResult> {
  const fleet = new rulesFleet.RulesFleet(played.nodeCount, ZONES.slice(0, played.zoneCount))
  try {
    const firstAtMs = CALM_MS + Math.max(0, ...played.faults.map(({ atMs }) => -atMs))
    const harms = new Map<base.NodeId, Harm[]>()
    fleet.isTraced = isTraced
    for (const fault of played.faults) fleet.after(firstAtMs + fault.atMs, () => { begin(fleet, fault, harms) })
    const problems: string[] = []
    const acceptedAtMs = played.versionsAtMs.map(atMs => firstAtMs + atMs)
    acceptedAtMs.forEach((atMs, index) => {
      const version = index + 2
      fleet.after(atMs, () => {
        if (isTraced) fleet.trace.push(`${String(fleet.nowMs).padStart(6)} ms the store accepts version ${version}`)
        fleet.store.accept(version)
        for (const { nodeId } of fleet.nodes) checkWhenDue(fleet, { nodeId, version, acceptedAtMs: fleet.nowMs }, BOUND_MS, harms, problems)
      })
    })
    const lastAtMs = acceptedAtMs.at(-1) ?? 0
    const harmEndMs = Math.max(0, ...played.faults.map(({ atMs, forMs }) => firstAtMs + atMs + forMs + CONTACT_MS))
    await fleet.run(Math.max(lastAtMs + REST_MS, Math.min(harmEndMs + REST_MS, lastAtMs + LONGEST_REST_MS)))
    return { problems, trace: fleet.trace }
  } finally {
    fleet.dispose()
  }
}

/** A node that has to enforce a version. */
interface Duty {
  readonly nodeId: base.NodeId
  readonly version: number
  readonly acceptedAtMs: base.Millis
}

/** Checks the node when the time is over, or later if it has a fault then. */
function checkWhenDue (fleet: rulesFleet.RulesFleet, duty: Duty, afterMs: base.Millis, harms: ReadonlyMap<base.NodeId, readonly Harm[]>, problems: string[]): void {
  fleet.after(afterMs, () => {
    const { nodeId, version, acceptedAtMs } = duty
    const dueAtMs = dueOf(fleet.nowMs, harms.get(nodeId) ?? [])
    if (dueAtMs > fleet.nowMs) {
      checkWhenDue(fleet, duty, dueAtMs - fleet.nowMs, harms, problems)
      return
    }
    const enforced = fleet.nodes.find(node => node.nodeId === nodeId)?.version ?? 0
    if (enforced < version) problems.push(`${nodeId} enforces version ${enforced} at ${fleet.nowMs} ms, ${fleet.nowMs - acceptedAtMs} ms after version ${version} was acknowledged`)
  })
}

/** The first time from `dueAtMs` on at which the node has been without a fault for long enough. */
function dueOf (dueAtMs: base.Millis, harms: readonly Harm[]): base.Millis {
  let dueMs = dueAtMs
  for (const { fromMs, untilMs } of [...harms].sort((one, other) => one.fromMs - other.fromMs)) {
    if (fromMs <= dueMs && untilMs + CONTACT_MS > dueMs) dueMs = untilMs + CONTACT_MS
  }
  return dueMs
}

function begin (fleet: rulesFleet.RulesFleet, fault: Fault, harms: Map<base.NodeId, Harm[]>): void {
  for (const node of nodesOf(fleet, fault.node)) if (!node.hasEnded) beginAt(fleet, node, fault, harms)
}

function beginAt (fleet: rulesFleet.RulesFleet, node: virtualRulesNode.VirtualRulesNode, fault: Fault, harms: Map<base.NodeId, Harm[]>): void {
  const harm = { fromMs: fleet.nowMs, untilMs: fleet.nowMs + fault.forMs }
  harms.set(node.nodeId, [...harms.get(node.nodeId) ?? [], harm])
  fleet.record(node, `(${String(fault.node)}) ${fault.kind} for ${fault.forMs} ms`)
  const end = (undo: () => void): void => {
    fleet.after(fault.forMs, () => {
      fleet.record(node, `${fault.kind} ends`)
      undo()
    })
  }
  switch (fault.kind) {
    case 'freeze':
      node.heldUntilMs = Math.max(node.heldUntilMs, harm.untilMs)
      break
    case 'suspend':
      node.heldUntilMs = Math.max(node.heldUntilMs, harm.untilMs)
      node.suspendedMs += fault.forMs
      break
    case 'starve':
      node.lagMs = 700
      end(() => { node.lagMs = 0 })
      break
    case 'no-store':
      node.isWithoutStore = true
      end(() => { node.isWithoutStore = false })
      break
    case 'no-links':
      node.isWithoutLinks = true
      end(() => { node.isWithoutLinks = false })
      break
    case 'cut-off':
      node.isWithoutLinks = node.isWithoutStore = true
      end(() => { node.isWithoutLinks = node.isWithoutStore = false })
      break
    case 'restart':
      fleet.restart(node.nodeId, fault.forMs)
      break
    case 'silent-copies':
      node.copyMode = 'none'
      end(() => { node.copyMode = 'whole' })
      break
    case 'damaged-copies':
      node.copyMode = 'damaged'
      end(() => { node.copyMode = 'whole' })
      break
    case 'older-copies':
      node.copyMode = 'older'
      end(() => { node.copyMode = 'whole' })
  }
}

function nodesOf (fleet: rulesFleet.RulesFleet, place: Fault['node']): readonly virtualRulesNode.VirtualRulesNode[] {
  const { candidates, nodes } = fleet
  switch (place) {
    case 'reader': return candidates.slice(0, 1)
    case 'second-reader': return candidates.slice(1, 2)
    case 'candidate': return candidates.slice(2, 3)
    case 'last-candidate': return candidates.slice(-1)
    case 'follower': return nodes.filter(node => !candidates.includes(node)).slice(0, 1)
    case 'all': return [...nodes]
    case 'most': return nodes.filter((_node, at) => at % MOST_OF !== MOST_OF - 1)
    case 'zone': return nodes.filter(({ zone }) => zone === nodes[0]?.zone)
    default: return nodes.slice(place, place + 1)
  }
}
