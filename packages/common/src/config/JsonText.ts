/** Safe handling of JSON values from untrusted sources. */
import * as digests from '../base/Digest.js'

/** A document has 5 levels. Values deeper than this limit are refused, so that nesting cannot exhaust the stack. */
const MAX_DEPTH = 32

/** Maximum lists and objects in a value. A valid document has fewer, because each takes several bytes of its 1 MiB. */
const MAX_CONTAINERS = 200_000

/**
 * Canonical JSON as returned by `canonicalJson`, or undefined if the value is not JSON or exceeds the limits.
 * Sorting a copy first takes half the time of serializing with a replacer function.
 */
export function canonicalText (value: unknown): string | undefined {
  try {
    return JSON.stringify(new SortedCopier(new ContainerBudget()).copy(value, 0)) as string | undefined
  } catch {
    // Values such as BigInt, which a binary decoder can produce, have no JSON text.
    return undefined
  }
}

/** Canonical text of a part of a value, with the size of the part. */
export interface SizedText {
  /** Undefined for values without JSON text, such as `undefined`. */
  readonly text: string | undefined
  /** Lists and objects in the value. */
  readonly containers: number
}

/** Canonical text of a part at the given depth of a value. Throws where `canonicalText` returns undefined. */
export function sizedText (value: unknown, depth: number): SizedText {
  const budget = new ContainerBudget()
  const text = JSON.stringify(new SortedCopier(budget).copy(value, depth)) as string | undefined
  return { text, containers: budget.consumed }
}

/** Counts lists and objects against `MAX_CONTAINERS`. */
export class ContainerBudget {
  private _taken = 0

  public get consumed (): number {
    return this._taken
  }

  /** Throws if the total exceeds the limit. */
  public consume (count: number): void {
    this._taken += count
    if (this._taken > MAX_CONTAINERS) throw new RangeError('The value has too many parts.')
  }
}

/** Digest of a JSON value, or undefined if the value is not JSON or exceeds the limits. */
export function safeDigest (value: unknown): string | undefined {
  const text = canonicalText(value)
  return text === undefined ? undefined : digests.digestText(text)
}

/** Whether an untrusted value is a JSON object. */
export function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Copies a value with sorted object keys, within limits. */
class SortedCopier {
  constructor (private readonly _budget: ContainerBudget) {}

  public copy (value: unknown, depth: number): unknown {
    if (typeof value !== 'object' || value === null) return value
    if (depth > MAX_DEPTH) throw new RangeError('The value is nested too deeply.')
    this._budget.consume(1)
    if (Array.isArray(value)) return value.map(item => this.copy(item, depth + 1))
    const source = value as Record<string, unknown>
    const sorted: Record<string, unknown> = {}
    for (const key of Object.keys(source).sort()) {
      if (key === '__proto__') throw new TypeError('The value has a key that is not allowed.')
      sorted[key] = this.copy(source[key], depth + 1)
    }
    return sorted
  }
}
