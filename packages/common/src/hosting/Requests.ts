import type * as base from '../base/Types.js'
import * as digest from '../base/Digest.js'
import type * as messages from '../node/Messages.js'

export type KeyedCall = messages.CallMessage & { readonly key: string }

/** Properties that distinguish requests with the same key. */
interface Request {
  readonly service: string
  readonly fingerprint: string
}

interface RequestIdentity {
  readonly service: string
  readonly fingerprint: number
}

const LOW_BITS_DROPPED = 11

/** 53 bits of the fingerprint, which take a quarter of the memory of the text. */
export function shortFingerprint (fingerprint: string): number {
  const high = digest.placementHash(fingerprint)
  const low = digest.placementHash(`${fingerprint}.`) >>> LOW_BITS_DROPPED
  return high * 2 ** (32 - LOW_BITS_DROPPED) + low
}

export function identityOf ({ service, fingerprint }: Request): RequestIdentity {
  return { service, fingerprint: shortFingerprint(fingerprint) }
}

export function isSameRequest (known: RequestIdentity, request: Request): boolean {
  return known.service === request.service && known.fingerprint === shortFingerprint(request.fingerprint)
}

/** Sends older than this by the owner's clock are refused. With clocks up to 250 ms apart, a send is in transit for at most 1,250 ms. */
export const MAX_SEND_AGE_MS = 1_000

/** Whether the send is so old that a refusal of its key may have been forgotten. */
export function isStale (call: messages.CallMessage, nowMs: base.Millis): boolean {
  return nowMs - call.sentAtMs > MAX_SEND_AGE_MS
}
