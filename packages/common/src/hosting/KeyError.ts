/** The idempotency key is not a UUIDv7. */
export class KeyError extends Error {
  public readonly kind = 'bad-key'

  constructor (key: string) {
    super(`The idempotency key "${key.slice(0, 64)}" is not a UUIDv7. Send a UUIDv7 in the Idempotency-Key header, or leave the header out.`)
    this.name = 'KeyError'
  }
}
