/**
 * Canonical text of documents that share most of their entries with earlier ones. The text of each entry is kept as long
 * as the entry, because serializing all entries again took half of the time of applying a change.
 */
import * as jsonText from './JsonText.js'

const LISTS: ReadonlySet<string> = new Set(['services', 'targets', 'routes'])
const FIELDS: ReadonlySet<string> = new Set([...LISTS, 'institution', 'terms'])
/** Depth of the entries of the lists; the document has depth 0. */
const ENTRY_DEPTH = 2

/** Entries are never changed once they are part of a document. */
const entries = new WeakMap<object, jsonText.SizedText>()
const lengths = new WeakMap<object, number>()

/** The same as `canonicalText`. The document and its parts must never change afterwards. */
export function documentText (document: unknown): string | undefined {
  const text = isDocumentShaped(document) ? textOf(document) : jsonText.canonicalText(document)
  if (text !== undefined && typeof document === 'object' && document !== null) lengths.set(document, text.length)
  return text
}

/** Length of the text of a document that `documentText` has seen. */
export function knownLength (document: object): number | undefined {
  return lengths.get(document)
}

/** Other keys are left to `canonicalText`: keys that look like integers have an order of their own. */
function isDocumentShaped (document: unknown): document is Readonly<Record<string, unknown>> {
  return jsonText.isObject(document) && Object.keys(document).every(key => FIELDS.has(key))
}

function textOf (document: Readonly<Record<string, unknown>>): string | undefined {
  try {
    return new TextBuilder().of(document)
  } catch {
    // As in `canonicalText`, a value without JSON text or beyond the limits has none.
    return undefined
  }
}

class TextBuilder {
  private readonly _budget = new jsonText.ContainerBudget()

  public of (document: Readonly<Record<string, unknown>>): string {
    this._budget.take(1)
    const fields: string[] = []
    for (const key of Object.keys(document).sort()) {
      const value = document[key]
      const text = LISTS.has(key) && Array.isArray(value) ? this._list(value) : this._sized(value, ENTRY_DEPTH - 1).text
      if (text !== undefined) fields.push(`"${key}":${text}`)
    }
    return `{${fields.join(',')}}`
  }

  private _list (list: readonly unknown[]): string {
    this._budget.take(1)
    const texts: string[] = []
    for (let index = 0; index < list.length; index++) texts.push(this._entry(list[index]) ?? 'null')
    return `[${texts.join(',')}]`
  }

  private _entry (entry: unknown): string | undefined {
    if (typeof entry !== 'object' || entry === null) return JSON.stringify(entry) as string | undefined
    const known = entries.get(entry)
    if (known !== undefined) {
      this._budget.take(known.containers)
      return known.text
    }
    const sized = this._sized(entry, ENTRY_DEPTH)
    entries.set(entry, sized)
    return sized.text
  }

  private _sized (value: unknown, depth: number): jsonText.SizedText {
    const sized = jsonText.sizedText(value, depth)
    this._budget.take(sized.containers)
    return sized
  }
}
