import type * as types from './Types.js'

/** Checks references between the parts of a document that already satisfies the schema. */
export class ReferenceRules {
  /** Returns one problem for each violation. */
  public check (document: types.ConfigDocument): readonly types.ConfigProblem[] {
    return [
      ...this._checkUniqueNames(document),
      ...this._checkTargets(document),
      ...this._checkRouteServices(document),
      ...this._checkRouteMatches(document),
      ...this._checkRetries(document),
      ...this._checkDrain(document)
    ]
  }

  private _checkUniqueNames (document: types.ConfigDocument): types.ConfigProblem[] {
    return [
      ...findRepetitions(document.services.map(service => service.name)).map(({ index, first, value }) => problem(
        `/services/${index}/name`, `The service name '${value}' is already used by /services/${first}.`,
        'Rename or remove one of the two services.')),
      ...findRepetitions(document.routes.map(route => route.name)).map(({ index, first, value }) => problem(
        `/routes/${index}/name`, `The route name '${value}' is already used by /routes/${first}.`,
        'Rename or remove one of the two routes.'))
    ]
  }

  private _checkTargets (document: types.ConfigDocument): types.ConfigProblem[] {
    const declared = new Set(document.services.map(service => service.name))
    const ruled = new Set(document.targets.map(target => target.service))
    const problems: types.ConfigProblem[] = []
    document.targets.forEach((target, index) => {
      if (declared.has(target.service)) return
      problems.push(undeclaredService(`/targets/${index}/service`, target.service))
    })
    document.services.forEach((service, index) => {
      if (ruled.has(service.name)) return
      problems.push(problem(`/services/${index}/name`, `The service '${service.name}' has no target rule.`,
        `Add { "service": "${service.name}", "zones": [...] } to /targets.`))
    })
    for (const { index, first, value } of findRepetitions(document.targets.map(target => target.service))) {
      problems.push(problem(`/targets/${index}/service`, `The service '${value}' already has the target rule /targets/${first}.`,
        'Merge the zones into one rule.'))
    }
    return problems
  }

  private _checkRouteServices (document: types.ConfigDocument): types.ConfigProblem[] {
    const declared = new Set(document.services.map(service => service.name))
    return document.routes.flatMap((route, index) =>
      declared.has(route.service) ? [] : [undeclaredService(`/routes/${index}/service`, route.service)])
  }

  private _checkRouteMatches (document: types.ConfigDocument): types.ConfigProblem[] {
    const matches = document.routes.map(route => `${route.match.method} ${route.match.pathPrefix}`)
    return findRepetitions(matches).map(({ index, first, value }) => problem(
      `/routes/${index}/match`, `The match '${value}' is already taken by /routes/${first}.`,
      'Change the method or the path prefix of one of the two routes.'))
  }

  private _checkRetries (document: types.ConfigDocument): types.ConfigProblem[] {
    return document.routes.flatMap((route, index) => route.idempotent || route.retry.maxAttempts === 1
      ? []
      : [problem(`/routes/${index}/retry/maxAttempts`,
        `The route '${route.name}' is not idempotent but allows ${route.retry.maxAttempts} attempts.`,
        'Set maxAttempts to 1, or set idempotent to true if running a call twice does no harm.')])
  }

  private _checkDrain (document: types.ConfigDocument): types.ConfigProblem[] {
    const drainMs = document.terms.drainMs
    const slowest = document.routes.reduce((a, b) => b.timeoutMs > a.timeoutMs ? b : a)
    if (slowest.timeoutMs <= drainMs) return []
    return [problem('/terms/drainMs',
      `drainMs is ${drainMs}, but the route '${slowest.name}' has a timeoutMs of ${slowest.timeoutMs}, so a planned stop would interrupt its calls.`,
      `Set drainMs to at least ${slowest.timeoutMs}, or lower the timeoutMs of the route.`)]
  }
}

interface Repetition {
  readonly index: number
  readonly first: number
  readonly value: string
}

function findRepetitions (values: readonly string[]): Repetition[] {
  const firsts = new Map<string, number>()
  const repetitions: Repetition[] = []
  values.forEach((value, index) => {
    const first = firsts.get(value)
    if (first === undefined) firsts.set(value, index)
    else repetitions.push({ index, first, value })
  })
  return repetitions
}

function problem (pointer: string, message: string, remedy: string): types.ConfigProblem {
  return { kind: 'reference', pointer, message, remedy }
}

function undeclaredService (pointer: string, service: string): types.ConfigProblem {
  return problem(pointer, `The service '${service}' is not declared.`,
    'Declare it in /services or correct the name.')
}
