/**
 * Canonical text of documents that share most of their entries with earlier ones. The text of each entry is cached for as
 * long as the entry exists: serializing all entries for every change takes half of the time of applying the change.
 */
import * as jsonText from './JsonText.js'

const LISTS: ReadonlySet<string> = new Set(['services', 'targets', 'routes'])
const FIELDS: ReadonlySet<string> = new Set([...LISTS, 'institution', 'terms'])
/** Depth of the entries of the lists; the document has depth 0. */
const ENTRY_DEPTH = 2

/** Cached texts stay valid because entries are immutable once they are part of a document. */
const entryTexts = new WeakMap<object, jsonText.SizedText>()
const textLengths = new WeakMap<object, number>()

/** Returns the same text as `canonicalText`. The document and its parts must not be modified afterwards. */
export function documentText (document: unknown): string | undefined {
  const text = isDocumentShaped(document) ? textOf(document) : jsonText.canonicalText(document)
  if (text !== undefined && typeof document === 'object' && document !== null) textLengths.set(document, text.length)
  return text
}

/** Length of the text of a document that was passed to `documentText` before; undefined for any other. */
export function cachedTextLength (document: object): number | undefined {
  return textLengths.get(document)
}

/** Documents with other keys are left to `canonicalText`: JavaScript orders integer-like keys before all others. */
function isDocumentShaped (document: unknown): document is Readonly<Record<string, unknown>> {
  return jsonText.isObject(document) && Object.keys(document).every(key => FIELDS.has(key))
}

function textOf (document: Readonly<Record<string, unknown>>): string | undefined {
  try {
    return new TextBuilder().build(document)
  } catch {
    // As in `canonicalText`, there is no text for a value that is not JSON or exceeds the limits.
    return undefined
  }
}

class TextBuilder {
  private readonly _budget = new jsonText.ContainerBudget()

  public build (document: Readonly<Record<string, unknown>>): string {
    this._budget.consume(1)
    const fields: string[] = []
    for (const key of Object.keys(document).sort()) {
      const value = document[key]
      const text = LISTS.has(key) && Array.isArray(value) ? this._listText(value) : this._sizedText(value, ENTRY_DEPTH - 1).text
      if (text !== undefined) fields.push(`"${key}":${text}`)
    }
    return `{${fields.join(',')}}`
  }

  private _listText (list: readonly unknown[]): string {
    this._budget.consume(1)
    const texts: string[] = []
    for (let index = 0; index < list.length; index++) texts.push(this._entryText(list[index]) ?? 'null')
    return `[${texts.join(',')}]`
  }

  private _entryText (entry: unknown): string | undefined {
    if (typeof entry !== 'object' || entry === null) return JSON.stringify(entry) as string | undefined
    const known = entryTexts.get(entry)
    if (known !== undefined) {
      this._budget.consume(known.containers)
      return known.text
    }
    const sized = this._sizedText(entry, ENTRY_DEPTH)
    entryTexts.set(entry, sized)
    return sized.text
  }

  private _sizedText (value: unknown, depth: number): jsonText.SizedText {
    const sized = jsonText.sizedText(value, depth)
    this._budget.consume(sized.containers)
    return sized
  }
}
