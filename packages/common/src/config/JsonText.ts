/** Safe access to JSON values from outside. */
import * as digests from '../base/Digest.js'

/** A document has 5 levels. Deeper values are refused, so that nesting cannot exhaust the stack. */
const MAX_DEPTH = 32

/** Lists and objects in a value. A valid document has fewer, because each takes several bytes of its 1 MiB. */
const MAX_CONTAINERS = 200_000

/**
 * Canonical JSON as `canonicalJson` gives it, or undefined if the value is no JSON or is nested too deeply.
 * Sorting a copy first halves the time of a serialization with a replacer function.
 */
export function canonicalText (value: unknown): string | undefined {
  try {
    return JSON.stringify(new SortedCopy(new ContainerBudget()).of(value, 0)) as string | undefined
  } catch {
    // Values such as BigInt, which a binary decoder can produce, have no JSON text.
    return undefined
  }
}

/** Canonical text of a part of a value. */
export interface SizedText {
  /** Undefined if the value has no JSON text, as `undefined` has none. */
  readonly text: string | undefined
  /** Lists and objects in the value. */
  readonly containers: number
}

/** Canonical text of a part that lies at a depth of the whole value. Throws where `canonicalText` gives undefined. */
export function sizedText (value: unknown, depth: number): SizedText {
  const budget = new ContainerBudget()
  const text = JSON.stringify(new SortedCopy(budget).of(value, depth)) as string | undefined
  return { text, containers: budget.taken }
}

/** Counts lists and objects. */
export class ContainerBudget {
  private _taken = 0

  public get taken (): number {
    return this._taken
  }

  /** Throws if the value has too many parts. */
  public take (count: number): void {
    this._taken += count
    if (this._taken > MAX_CONTAINERS) throw new RangeError('The value has too many parts.')
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

/** Copies a value with sorted object keys, within limits. */
class SortedCopy {
  constructor (private readonly _budget: ContainerBudget) {}

  public of (value: unknown, depth: number): unknown {
    if (typeof value !== 'object' || value === null) return value
    if (depth > MAX_DEPTH) throw new RangeError('The value is nested too deeply.')
    this._budget.take(1)
    if (Array.isArray(value)) return value.map(item => this.of(item, depth + 1))
    const source = value as Record<string, unknown>
    const copy: Record<string, unknown> = {}
    for (const key of Object.keys(source).sort()) {
      if (key === '__proto__') throw new TypeError('The value has a key that is not allowed.')
      copy[key] = this.of(source[key], depth + 1)
    }
    return copy
  }
}
