import * as patches from 'fast-json-patch'
import type * as types from './Types.js'

export type Operation = patches.Operation
type ListName = 'services' | 'targets' | 'routes'

/** List entries are matched by these keys, so that an inserted entry does not produce changes to the entries after it. */
const KEYS: Readonly<Record<ListName, (document: types.ConfigDocument) => readonly string[]>> = {
  services: document => document.services.map(service => service.name),
  targets: document => document.targets.map(target => target.service),
  routes: document => document.routes.map(route => route.name)
}

/** Makes a JSON Patch from one valid document to another. Replaces the whole document if that is shorter. */
export function makePatch (from: types.ConfigDocument, to: types.ConfigDocument): readonly Operation[] {
  const operations: Operation[] = []
  const aligned = {
    ...from,
    services: alignEntries('services', from, to, operations),
    targets: alignEntries('targets', from, to, operations),
    routes: alignEntries('routes', from, to, operations)
  }
  operations.push(...patches.default.compare(aligned, to))
  return isShorter(operations, to) ? operations : [{ op: 'replace', path: '', value: to }]
}

/** Emits the removals and insertions of whole entries and returns the resulting list. Emits none if entries were reordered. */
function alignEntries (list: ListName, from: types.ConfigDocument, to: types.ConfigDocument, operations: Operation[]): readonly unknown[] {
  const [oldKeys, newKeys] = [KEYS[list](from), KEYS[list](to)]
  const [oldSet, newSet] = [new Set(oldKeys), new Set(newKeys)]
  const kept = oldKeys.filter(key => newSet.has(key))
  const expected = newKeys.filter(key => oldSet.has(key))
  if (kept.some((key, index) => key !== expected[index])) return from[list]
  for (let index = oldKeys.length - 1; index >= 0; index--) {
    if (!newSet.has(oldKeys[index] ?? '')) operations.push({ op: 'remove', path: `/${list}/${index}` })
  }
  newKeys.forEach((key, index) => {
    if (!oldSet.has(key)) operations.push({ op: 'add', path: `/${list}/${index}`, value: to[list][index] })
  })
  const oldEntries = new Map<string, unknown>(oldKeys.map((key, index) => [key, from[list][index]]))
  return newKeys.map((key, index) => oldEntries.get(key) ?? to[list][index])
}

function isShorter (operations: readonly Operation[], document: types.ConfigDocument): boolean {
  return operations.length === 0 || JSON.stringify(operations).length < JSON.stringify(document).length
}
