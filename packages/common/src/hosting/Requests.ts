import * as digest from '../base/Digest.js'

/** What tells one request from another that carries the same key. */
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
