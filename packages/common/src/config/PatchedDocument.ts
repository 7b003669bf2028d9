import * as patches from 'fast-json-patch'
import * as results from 'ts-results-es'

/**
 * A document under a JSON Patch. Only the parts on the path of an operation are copied: nodes keep the documents of
 * many versions, and these share everything that did not change.
 */
export class PatchedDocument {
  private _document: unknown
  /** Parts that belong to this copy alone and may be changed. */
  private readonly _copied = new WeakSet<object>()

  constructor (document: unknown) {
    this._document = this._copy(document)
  }

  public get document (): unknown {
    return this._document
  }

  /** Throws if the operation does not fit the document. Its value becomes part of the document and must not be changed later. */
  public apply (operation: patches.Operation): void {
    this._copyPath(operation.path)
    const result: unknown = patches.default.applyOperation(this._document, operation, true, true).newDocument
    // A replaced root is the value of the operation, which later operations must not change.
    this._document = this._copy(result)
  }

  private _copyPath (path: unknown): void {
    if (typeof path !== 'string') return
    const names = path.split('/').slice(1, -1).map(patches.default.unescapePathComponent)
    let parent = this._document
    for (const name of names) {
      if (!isContainer(parent) || !Object.hasOwn(parent, name)) return
      const child = this._copy(parent[name])
      parent[name] = child
      parent = child
    }
  }

  private _copy (value: unknown): unknown {
    if (!isContainer(value) || this._copied.has(value)) return value
    const copy = Array.isArray(value) ? [...value] : { ...value }
    this._copied.add(copy)
    return copy
  }
}

/** Applies the operations in order. The error says why they do not fit; the base is unchanged in every case. */
export function applyPatch (base: unknown, patch: readonly patches.Operation[]): results.Result<unknown, string> {
  try {
    const patched = new PatchedDocument(base)
    for (const operation of patch) patched.apply(operation)
    return results.Ok(patched.document)
  } catch (error) {
    return results.Err(`The patch does not fit the document (${firstLine(error)}).`)
  }
}

function firstLine (error: unknown): string {
  return (error instanceof Error ? error.message : String(error)).split('\n', 1)[0] ?? ''
}

function isContainer (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
