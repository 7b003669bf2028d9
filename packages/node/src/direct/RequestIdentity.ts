import * as blockBody from '../BlockBody.js'
import * as crypto from 'node:crypto'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** Bytes of each of the two digests. Requests that are taken for one another by accident are out of the question. */
const DIGEST_BYTES = 12

/** What makes two requests the same one under another id. */
export interface IdentifiedRequest {
  readonly method: string
  readonly path: string
  readonly headers: types.RawHeaders
  readonly body: blockBody.Body | undefined
}

/**
 * Recognizes a request that comes again under another id: by method, host, path, caller and body. The head is compared
 * first, because the digest of a long body takes a node's time from other calls.
 */
export class RequestIdentity {
  /** Digests of requests that are looked up several times on their way. */
  private readonly _heads = new WeakMap<IdentifiedRequest, string>()
  private readonly _fingerprints = new WeakMap<IdentifiedRequest, string>()

  constructor (private readonly _dialect: Pick<services.ICallDialect, 'callerOf'>) {}

  /** Digest of all but the content of the body; the fingerprint begins with it. */
  public headOf (request: IdentifiedRequest): string {
    let head = this._heads.get(request)
    if (head === undefined) {
      const { method, path, headers, body } = request
      head = digestOf([JSON.stringify([method, hostOf(headers), path, this._dialect.callerOf(headers), body?.length ?? 0])])
      this._heads.set(request, head)
    }
    return head
  }

  public fingerprintOf (request: IdentifiedRequest): string {
    const head = this.headOf(request)
    const { body } = request
    if (body === undefined || body.length === 0) return head
    let fingerprint = this._fingerprints.get(request)
    if (fingerprint === undefined) {
      fingerprint = head + digestOf(blockBody.blocksOf(body))
      this._fingerprints.set(request, fingerprint)
    }
    return fingerprint
  }
}

/** Digest of the head in a fingerprint. */
export function headOf (fingerprint: string): string {
  return fingerprint.slice(0, DIGEST_BYTES * 4 / 3)
}

function digestOf (parts: ReadonlyArray<string | Uint8Array>): string {
  const hash = crypto.createHash('sha256')
  for (const part of parts) hash.update(part)
  return hash.digest().toString('base64url', 0, DIGEST_BYTES)
}

function hostOf (headers: types.RawHeaders): string {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === 'host') return headers[at + 1]?.toLowerCase() ?? ''
  }
  return ''
}
