import type * as base from '@elmpost/common/base/Types.js'
import type * as services from './Services.js'

/** System errors that mean that no byte of the request left this machine. */
const NOT_SENT_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH'])

export type HttpOutcome =
  | { readonly kind: 'answer', readonly status: number, readonly body: unknown }
  | { readonly kind: 'no-answer', readonly wasSent: boolean, readonly problem: string }

export interface JsonRequest {
  readonly method: 'GET' | 'POST'
  readonly url: string
  /** Time limit of the whole exchange. */
  readonly timeoutMs: base.Millis
  readonly body?: unknown
  readonly logger: services.ILogger
}

/** Sends one request with JSON bodies. Never throws. */
export async function requestJson (request: JsonRequest): Promise<HttpOutcome> {
  const { method, url, logger } = request
  logger.log('debug', 'request', { method, url })
  const startedAtMs = performance.now()
  const outcome = await exchange(request)
  const elapsedMs = Math.round(performance.now() - startedAtMs)
  if (outcome.kind === 'answer') logger.log('debug', 'answer', { method, url, status: outcome.status, elapsedMs })
  else logger.log('warn', 'no-answer', { method, url, problem: outcome.problem, wasSent: outcome.wasSent, elapsedMs })
  return outcome
}

async function exchange ({ method, url, timeoutMs, body }: JsonRequest): Promise<HttpOutcome> {
  try {
    const transport = await import('./HttpTransport.js')
    const response = await transport.request(new URL(url), {
      method,
      signal: AbortSignal.timeout(timeoutMs),
      // The signal limits the whole exchange; the default time-outs of undici would abort a longer one after 300 s.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    return { kind: 'answer', status: response.statusCode, body: parseJson(await response.body.text()) }
  } catch (error) {
    const code = codeOf(error)
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

function codeOf (error: unknown): string | undefined {
  const code = error instanceof Error && 'code' in error ? error.code : undefined
  return typeof code === 'string' ? code : undefined
}

function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
