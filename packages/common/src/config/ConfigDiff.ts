import type * as types from './Types.js'

export type ConfigChangeKind = 'added' | 'removed' | 'changed' | 'reordered'

/** One difference between two documents, in terms that operators use. */
export interface ConfigChange {
  readonly kind: ConfigChangeKind
  /** What changed, such as `route 'charge'` or `terms`. */
  readonly subject: string
  /** Dotted path within the subject; empty if the subject as a whole was added, removed or reordered. */
  readonly field: string
  readonly before: unknown
  readonly after: unknown
}

type Entity = Readonly<Record<string, unknown>>

/** Lists the differences between two documents for operators. Entries are matched by name, not by position. */
export class ConfigDiff {
  /** Without `from`, every part of `to` is reported as added. */
  public compare (from: types.ConfigDocument | undefined, to: types.ConfigDocument): readonly ConfigChange[] {
    return [
      ...compareValues('institution', '', from?.institution, to.institution),
      ...this._compareLists('service', 'services', from?.services, to.services, service => service.name),
      ...this._compareLists('target rule', 'target rules', from?.targets, to.targets, target => target.service),
      ...this._compareLists('route', 'routes', from?.routes, to.routes, route => route.name),
      ...compareValues('terms', '', from?.terms, to.terms)
    ]
  }

  private _compareLists<T extends object> (noun: string, plural: string, from: readonly T[] = [], to: readonly T[], nameOf: (entry: T) => string): ConfigChange[] {
    const before = new Map(from.map(entry => [nameOf(entry), entry]))
    const after = new Map(to.map(entry => [nameOf(entry), entry]))
    const found: ConfigChange[] = []
    for (const [name, entry] of before) {
      if (!after.has(name)) found.push(change('removed', `${noun} '${name}'`, '', entry, undefined))
    }
    for (const [name, entry] of after) {
      found.push(...compareValues(`${noun} '${name}'`, '', before.get(name), entry))
    }
    if (isReordered([...before.keys()], [...after.keys()])) found.push(change('reordered', plural, '', undefined, undefined))
    return found
  }
}

/** Formats a change as one line for operators. */
export function formatChange ({ kind, subject, field, before, after }: ConfigChange): string {
  const place = field === '' ? subject : `${subject} ${field}`
  switch (kind) {
    case 'added': return `+ ${place}: ${JSON.stringify(after)}`
    case 'removed': return `- ${place}: ${JSON.stringify(before)}`
    case 'changed': return `~ ${place}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
    case 'reordered': return `~ ${place}: other order, same entries`
  }
}

function compareValues (subject: string, field: string, before: unknown, after: unknown): ConfigChange[] {
  if (before === undefined && after === undefined) return []
  if (before === undefined) return [change('added', subject, field, before, after)]
  if (after === undefined) return [change('removed', subject, field, before, after)]
  if (Array.isArray(before) && Array.isArray(after)) return compareSets(subject, field, before, after)
  if (!isEntity(before) || !isEntity(after)) return before === after ? [] : [change('changed', subject, field, before, after)]
  const names = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...names].flatMap(name => compareValues(subject, field === '' ? name : `${field}.${name}`, before[name], after[name]))
}

/** Compares lists as sets: the only lists inside entries hold zone names, whose order has no meaning. */
function compareSets (subject: string, field: string, before: readonly unknown[], after: readonly unknown[]): ConfigChange[] {
  const found = [
    ...before.filter(value => !after.includes(value)).map(value => change('removed', subject, field, value, undefined)),
    ...after.filter(value => !before.includes(value)).map(value => change('added', subject, field, undefined, value))
  ]
  const isOtherOrder = found.length === 0 && before.some((value, index) => value !== after[index])
  return isOtherOrder ? [change('reordered', subject, field, undefined, undefined)] : found
}

function isReordered (before: readonly string[], after: readonly string[]): boolean {
  const [beforeSet, afterSet] = [new Set(before), new Set(after)]
  const kept = before.filter(name => afterSet.has(name))
  const expected = after.filter(name => beforeSet.has(name))
  return kept.some((name, index) => name !== expected[index])
}

function isEntity (value: unknown): value is Entity {
  return typeof value === 'object' && value !== null
}

function change (kind: ConfigChangeKind, subject: string, field: string, before: unknown, after: unknown): ConfigChange {
  return { kind, subject, field, before, after }
}
