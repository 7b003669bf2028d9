/** A message from a peer has a field of the wrong type or out of range, and is ignored as a whole. */
export class MalformedMessageError extends Error {
  constructor (from: string, kind: string, problem: string) {
    super(`message ${kind} from ${from || 'unknown peer'} ignored: ${problem}; check that both nodes run compatible versions of elmpost`)
    this.name = 'MalformedMessageError'
  }
}

/** The `kind` of a malformed message, truncated to 32 characters. */
export function messageKind (message: unknown): string {
  const kind = (message as { kind?: unknown } | undefined)?.kind
  return typeof kind === 'string' ? kind.slice(0, 32) : 'without kind'
}
