/** Safe access to JSON values from outside. */
import * as digests from '../base/Digest.js'

/** A document has 5 levels. Deeper values are refused before any recursive function sees them. */
const MAX_DEPTH = 32

/** Canonical JSON, or undefined if the value is no JSON or is nested too deeply. */
export function canonicalText (value: unknown): string | undefined {
  if (!isShallow(value)) return undefined
  try {
    return digests.canonicalJson(value) as string | undefined
  } catch {
    // Values such as BigInt, which a binary decoder can produce, have no JSON text.
    return undefined
  }
}

/** Digest of a JSON value, or undefined if the value is no JSON or is nested too deeply. */
export function safeDigest (value: unknown): string | undefined {
  const text = canonicalText(value)
  return text === undefined ? undefined : digests.digestText(text)
}

/** Whether a value from outside is a JSON object. */
export function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Walks level by level, so that nesting cannot exhaust the stack. */
function isShallow (value: unknown): boolean {
  let level: unknown[] = [value]
  for (let depth = 0; level.length > 0; depth++) {
    if (depth > MAX_DEPTH) return false
    level = level.flatMap(children)
  }
  return true
}

function children (value: unknown): unknown[] {
  if (typeof value !== 'object' || value === null) return []
  return Object.values(value).filter(child => typeof child === 'object' && child !== null)
}
