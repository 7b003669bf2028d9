import type * as base from '@elmpost/common/base/Types.js'
import type * as connectionLimits from '../ConnectionLimits.js'
import type * as nodeServices from '../Services.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

export interface DirectNodeOptions {
  readonly settings: types.DirectSettings
  readonly binder?: nodeServices.IServerBinder
  /** Limits of the connections of all servers of the process. */
  readonly limits?: connectionLimits.ConnectionLimits
  readonly dialect: services.ICallDialect
  readonly store: services.IKeyedStore
  readonly rulesFormat: services.IRulesFormat
  /** Undefined if services are not rolled out. */
  readonly rolloutFormat?: services.IRolloutFormat
  readonly logger: nodeServices.ILogger
  readonly random: base.IRandom
  /** Monotonic clock. */
  readonly nowMs: () => base.Millis
  /** Wall clock. Used for audit records, to order reports across restarts, and as a mere hint that the VM may have been suspended. */
  readonly timeOfDayMs: () => base.Millis
}
