import type * as base from '@elmpost/common/base/Types.js'

/** Errors of which the system says that no byte left this machine. */
const NOT_SENT_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH'])

export type HttpOutcome =
  | { readonly kind: 'answer', readonly status: number, readonly body: unknown }
  | { readonly kind: 'no-answer', readonly wasSent: boolean, readonly problem: string }

/** Sends one request with JSON bodies and a time limit for the whole exchange. Never throws. */
export async function requestJson (url: string, timeoutMs: base.Millis, body?: unknown, method: string = body === undefined ? 'GET' : 'POST'): Promise<HttpOutcome> {
  try {
    const response = await fetch(url, {
      method,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    return { kind: 'answer', status: response.status, body: parseJson(await response.text()) }
  } catch (error) {
    const code = causeCode(error)
    return { kind: 'no-answer', wasSent: !NOT_SENT_CODES.has(code), problem: code ?? messageOf(error) }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function causeCode (error: unknown): string | undefined {
  const cause = error instanceof Error ? error.cause : undefined
  const code = typeof cause === 'object' && cause !== null && 'code' in cause ? cause.code : undefined
  return typeof code === 'string' ? code : undefined
}

function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
