import * as configSchema from './ConfigSchema.js'
import * as jsonText from './JsonText.js'
import type * as jsonSchema from '../base/JsonSchema.js'

type ListName = keyof typeof configSchema.MAX_ENTRIES
const LISTS = Object.keys(configSchema.MAX_ENTRIES) as readonly ListName[]

/**
 * Checks documents against the schema of rule set 1 and remembers which entries of the lists match it. The schema states
 * nothing about two entries together, so a document that shares entries with an earlier one matches exactly if the rest
 * does and its lists have an allowed length. Entries are never changed once they are part of a document.
 */
export class CheckedEntries {
  private readonly _matching: Readonly<Record<ListName, WeakSet<object>>> = {
    services: new WeakSet(),
    targets: new WeakSet(),
    routes: new WeakSet()
  }

  /** The verdict of the check on the whole document. If it is false, the errors are those of the whole document. */
  public matches (matchesSchema: jsonSchema.Check, document: unknown): boolean {
    const reduced = this._withoutKnown(document)
    const isMatch = (reduced !== undefined && matchesSchema(reduced)) || matchesSchema(document)
    if (isMatch) this._remember(document as Record<ListName, readonly object[]>)
    return isMatch
  }

  /** The document with one entry of each list and those that are not known to match, or undefined if that says nothing about the whole. */
  private _withoutKnown (document: unknown): Readonly<Record<string, unknown>> | undefined {
    // The check also sees inherited keys, which a copy does not have.
    if (!jsonText.isObject(document) || Object.getPrototypeOf(document) !== Object.prototype) return undefined
    const reduced: Record<string, unknown> = { ...document }
    for (const name of LISTS) {
      const list = document[name]
      if (!Array.isArray(list) || list.length > configSchema.MAX_ENTRIES[name]) return undefined
      reduced[name] = this._unknown(name, list)
    }
    return reduced
  }

  /** An empty list stays empty, so that the check refuses it. */
  private _unknown (name: ListName, list: readonly unknown[]): readonly unknown[] {
    const unknown: unknown[] = list.slice(0, 1)
    // Not `filter`, which passes over holes that the check refuses.
    for (let index = 1; index < list.length; index++) {
      const entry = list[index]
      if (typeof entry !== 'object' || entry === null || !this._matching[name].has(entry)) unknown.push(entry)
    }
    return unknown
  }

  private _remember (document: Readonly<Record<ListName, readonly object[]>>): void {
    for (const name of LISTS) {
      for (const entry of document[name]) this._matching[name].add(entry)
    }
  }
}
