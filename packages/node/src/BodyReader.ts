/** Reads the bodies of callers' requests. */
import * as pieceBuffer from './PieceBuffer.js'
import type * as http from 'node:http'

export interface BodyEvents<Body = Buffer> {
  /** The whole body; undefined if it is empty. */
  onComplete(body: Body | undefined): void
  /** The body is larger than allowed. The rest of the body is not read. */
  onTooLarge(): void
  /** A piece of the body has been received. */
  onPiece?(lengthBytes: number): void
}

/** Collects the pieces of a body. */
export interface IBodyCollector<Body> {
  readonly lengthBytes: number
  add(piece: Buffer): void
  take(): Body | undefined
  clear(): void
}

/** Releases what was received of a body, and discards the rest of it. */
export type AbandonBody = () => void

/** Reads a body of at most `maxBytes`. If `maxBytes` is undefined, no body is accepted. */
export function readBody (request: http.IncomingMessage, maxBytes: number | undefined, events: BodyEvents): AbandonBody {
  return readBodyInto(() => new pieceBuffer.PieceBuffer(announcedBytes(request)), request, maxBytes, events)
}

/** As `readBody`, with the collector of the caller. */
export function readBodyInto<Body> (newCollector: () => IBodyCollector<Body>, request: http.IncomingMessage, maxBytes: number | undefined, events: BodyEvents<Body>): AbandonBody {
  const lengthBytes = announcedBytes(request)
  if (lengthBytes === 0 && request.headers['transfer-encoding'] === undefined) events.onComplete(undefined)
  else if (maxBytes === undefined || lengthBytes > maxBytes) events.onTooLarge()
  else return collect(request, newCollector(), maxBytes, events)
  return () => {}
}

function announcedBytes (request: http.IncomingMessage): number {
  return Number(request.headers['content-length'] ?? 0)
}

function collect<Body> (request: http.IncomingMessage, pieces: IBodyCollector<Body>, maxBytes: number, events: BodyEvents<Body>): AbandonBody {
  const lengthBytes = announcedBytes(request)
  let isAbandoned = false
  const clear = (): void => {
    isAbandoned = true
    pieces.clear()
    request.removeAllListeners('data').removeAllListeners('end')
  }
  let readBytes = 0
  request.on('data', (part: Buffer) => {
    if (pieces.lengthBytes + part.length > maxBytes) {
      clear()
      events.onTooLarge()
      return
    }
    readBytes += part.length
    events.onPiece?.(part.length)
    // It may have been abandoned for this piece.
    if (isAbandoned) return
    pieces.add(part)
    // Completes at the declared length instead of waiting for `end`, which is emitted one event later.
    if (lengthBytes > 0 && pieces.lengthBytes === lengthBytes) events.onComplete(pieces.take())
  })
  if (lengthBytes === 0) request.on('end', () => { events.onComplete(pieces.take()) })
  return () => {
    clear()
    discard(request, maxBytes - readBytes)
  }
}

/** Reads the rest of a body, so that its caller gets the answer, and closes the connection of a body that is too long. */
function discard (request: http.IncomingMessage, maxBytes: number): void {
  let leftBytes = maxBytes
  request.on('data', (part: Buffer) => {
    leftBytes -= part.length
    if (leftBytes < 0) request.socket.destroy()
  })
  request.resume()
}
