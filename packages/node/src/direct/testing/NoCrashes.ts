import type * as services from '../Services.js'

/** For tests in which no target crashes. */
export const NO_CRASHES: services.ICrashGuard = {
  standingOf: () => 'free',
  historyOf: () => ({ fingerprint: '', standing: 'free', blockedForMs: 0 }),
  reportsOf: () => undefined,
  recordAnswer: () => {},
  recordCrash: () => {},
  recordReports: () => {}
}
