import * as configSchema from './ConfigSchema.js'
import * as jsonText from './JsonText.js'
import type * as jsonSchema from '../base/JsonSchema.js'

type ListName = keyof typeof configSchema.MAX_ENTRIES
const LISTS = Object.keys(configSchema.MAX_ENTRIES) as readonly ListName[]

/**
 * Checks documents against the schema of rule set 1 and caches which list entries match it. The schema has no constraint
 * across entries, so a document that shares entries with an earlier one matches if and only if its other parts match and
 * its lists have an allowed length. Entries are immutable once they are part of a document.
 */
export class CheckedEntries {
  private readonly _matching: Readonly<Record<ListName, WeakSet<object>>> = {
    services: new WeakSet(),
    targets: new WeakSet(),
    routes: new WeakSet()
  }

  /** Gives the same result as the check of the whole document. If false, the errors of the check are those of the whole document. */
  public matches (matchesSchema: jsonSchema.Check, document: unknown): boolean {
    const reduced = this._omitMatching(document)
    const isMatch = (reduced !== undefined && matchesSchema(reduced)) || matchesSchema(document)
    if (isMatch) this._recordMatching(document as Record<ListName, readonly object[]>)
    return isMatch
  }

  /**
   * The document with the first entry of each list and the entries that are not yet known to match.
   * Undefined if checking that copy would not decide whether the whole document matches.
   */
  private _omitMatching (document: unknown): Readonly<Record<string, unknown>> | undefined {
    // The check also sees inherited keys, which a copy does not have.
    if (!jsonText.isObject(document) || Object.getPrototypeOf(document) !== Object.prototype) return undefined
    const reduced: Record<string, unknown> = { ...document }
    for (const name of LISTS) {
      const list = document[name]
      if (!Array.isArray(list) || list.length > configSchema.MAX_ENTRIES[name]) return undefined
      reduced[name] = this._entriesToCheck(name, list)
    }
    return reduced
  }

  /** The first entry is always included, so that only an empty list fails the check as empty. */
  private _entriesToCheck (name: ListName, list: readonly unknown[]): readonly unknown[] {
    const entries: unknown[] = list.slice(0, 1)
    // `filter` would skip the holes of sparse arrays, which the check must refuse.
    for (let index = 1; index < list.length; index++) {
      const entry = list[index]
      if (typeof entry !== 'object' || entry === null || !this._matching[name].has(entry)) entries.push(entry)
    }
    return entries
  }

  private _recordMatching (document: Readonly<Record<ListName, readonly object[]>>): void {
    for (const name of LISTS) {
      for (const entry of document[name]) this._matching[name].add(entry)
    }
  }
}
