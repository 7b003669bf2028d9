/** Readiness of a node with regard to its configuration. */
import type * as configServices from '../config/Services.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface ReadinessSources {
  readonly enforcement: services.IEnforcement
  readonly acceptance: configServices.IAcceptance
  /** Highest version that the node has received; it may not be in force yet. */
  readonly bestVersion: number
  readonly isJoined: boolean
}

export function readinessOf (sources: ReadinessSources): types.Readiness {
  const enforcedVersion = sources.enforcement.current?.version ?? 0
  const { floorVersion } = sources.enforcement
  const ready = enforcedVersion > 0 && enforcedVersion >= floorVersion
  const reason = ready ? 'ready' : notReadyReason(sources, floorVersion)
  return { ready, reason, floorVersion, enforcedVersion, ...upgradeOf(sources.acceptance, enforcedVersion) }
}

function notReadyReason ({ bestVersion, isJoined }: ReadinessSources, floorVersion: number): types.ReadinessReason {
  if (floorVersion > bestVersion) return 'behind-version-in-force'
  return isJoined && bestVersion === 0 ? 'no-configuration-known' : 'joining'
}

/** No upgrade is reported if the node got the blocked version from a peer, although it cannot read its record. */
function upgradeOf ({ blockedVersion, upgradeReason }: configServices.IAcceptance, enforcedVersion: number): Pick<types.Readiness, 'upgradeReason'> {
  return upgradeReason === undefined || (blockedVersion ?? 0) <= enforcedVersion ? {} : { upgradeReason }
}
