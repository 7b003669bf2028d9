import * as patches from 'fast-json-patch'
import * as results from 'ts-results-es'

/**
 * Applies the operations of a JSON Patch to a copy-on-write document. Only the parts on the path of an operation are
 * copied: nodes keep the documents of many versions, and these share all unchanged parts.
 */
export class PatchedDocument {
  private _document: unknown
  /** Parts that only this document refers to and that may be modified. */
  private readonly _ownedParts = new WeakSet<object>()

  constructor (document: unknown) {
    this._document = this._copy(document)
  }

  public get document (): unknown {
    return this._document
  }

  /** Throws if the operation cannot be applied. Its value becomes part of the document and must not be modified later. */
  public apply (operation: patches.Operation): void {
    this._copyPath(operation.path)
    const result: unknown = patches.default.applyOperation(this._document, operation, true, true).newDocument
    // After a replacement of the root, the result is the value of the operation itself, which later operations must not modify.
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
    if (!isContainer(value) || this._ownedParts.has(value)) return value
    const copy = Array.isArray(value) ? [...value] : { ...value }
    this._ownedParts.add(copy)
    return copy
  }
}

/** Applies the operations in order. The error says why one could not be applied; the base is never modified. */
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
