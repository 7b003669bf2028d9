/** Reads the bodies of callers' requests. */
import * as pieceBuffer from './PieceBuffer.js'
import type * as http from 'node:http'

export interface BodyEvents {
  /** The whole body; undefined if it is empty. */
  onComplete(body: Buffer | undefined): void
  /** The body is larger than allowed. The rest of the body is not read. */
  onTooLarge(): void
  /** A piece of the body has been received. Returns false if the rest of the body is to be discarded, with what was received. */
  onPiece?(lengthBytes: number): boolean
}

/** Reads a body of at most `maxBytes`. If `maxBytes` is undefined, no body is accepted. */
export function readBody (request: http.IncomingMessage, maxBytes: number | undefined, events: BodyEvents): void {
  const lengthBytes = Number(request.headers['content-length'] ?? 0)
  if (lengthBytes === 0 && request.headers['transfer-encoding'] === undefined) events.onComplete(undefined)
  else if (maxBytes === undefined || lengthBytes > maxBytes) events.onTooLarge()
  else collect(request, lengthBytes, maxBytes, events)
}

function collect (request: http.IncomingMessage, lengthBytes: number, maxBytes: number, events: BodyEvents): void {
  const pieces = new pieceBuffer.PieceBuffer(lengthBytes)
  const abandon = (): void => {
    pieces.clear()
    request.removeAllListeners('data').removeAllListeners('end')
  }
  request.on('data', (part: Buffer) => {
    if (pieces.lengthBytes + part.length > maxBytes) {
      abandon()
      events.onTooLarge()
      return
    }
    if (events.onPiece?.(part.length) === false) {
      abandon()
      request.resume()
      return
    }
    pieces.add(part)
    // Completes at the declared length instead of waiting for `end`, which is emitted one event later.
    if (lengthBytes > 0 && pieces.lengthBytes === lengthBytes) events.onComplete(pieces.take())
  })
  if (lengthBytes === 0) request.on('end', () => { events.onComplete(pieces.take()) })
}
