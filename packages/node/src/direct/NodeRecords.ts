/** Checks what is read of other nodes, from whichever writer: the records in the store, records that nodes pass on, greetings, seeds. */
import * as crashReports from './CrashReports.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as direct from '@elmpost/common/direct/Types.js'

const ADDRESS = /^[^\s/?#@\\]+:(\d{1,5})$/
const MAX_PORT = 65_535
const MAX_NAME_LENGTH = 256
const MAX_LINK_MBPS = 1_000_000
/** Far more calls than a target runs at the same time. */
export const MAX_SLOTS = 100_000
/** Year 2200. A start that is later would take precedence over each real one. */
export const MAX_STARTED_AT_MS = 7_258_118_400_000

/** Whether a link can be opened to it: `host:port`. */
export function isAddress (text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[1] ?? 0)
  return port >= 1 && port <= MAX_PORT && text.length <= MAX_NAME_LENGTH && URL.canParse(`ws://${text}/`)
}

export function isName (value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH
}

export function isLinkMbps (value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_LINK_MBPS
}

/** Checks a decoded record. Returns an error that states the problem. */
export function check (value: unknown): direct.NodeRecord | Error {
  if (value === null || typeof value !== 'object') return new Error('the record is not an object')
  const { nodeId, zone, service, linkMbps = 0, target, crashes } = value as { readonly [name in keyof direct.NodeRecord]?: unknown }
  if (typeof nodeId !== 'string' || !isAddress(nodeId)) return new Error('nodeId is not an address such as 10.0.0.1:7380')
  if (!isName(zone)) return new Error('zone is not a name')
  if (!isName(service)) return new Error('service is not a name')
  if (!isLinkMbps(linkMbps)) return new Error('linkMbps is not a bandwidth')
  return { nodeId, zone, service, linkMbps, target: targetOf(target), ...crashReports.storedFieldOf(crashes) }
}

/** Undefined if no valid target is recorded. */
function targetOf (value: unknown): direct.KnownTarget | undefined {
  if (value === null || typeof value !== 'object') return undefined
  // Earlier versions do not record the start.
  const { targetId, slots, isLeaving, startedAtMs = 0, softwareVersion } = value as { readonly [name in keyof direct.KnownTarget]?: unknown }
  if (!isName(targetId) || typeof isLeaving !== 'boolean' || !isWhole(slots, 1, MAX_SLOTS) || !isWhole(startedAtMs, 0, MAX_STARTED_AT_MS)) return undefined
  return { targetId, startedAtMs, slots, isLeaving, ...(isName(softwareVersion) ? { softwareVersion } : {}) }
}

function isWhole (value: unknown, least: number, most: base.Millis): value is number {
  return Number.isSafeInteger(value) && (value as number) >= least && (value as number) <= most
}
