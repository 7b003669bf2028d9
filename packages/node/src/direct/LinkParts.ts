/** Sending of messages in parts on the connections between nodes. */
import type * as ws from 'ws'

/** Sends the parts as one message. No other message can come between them, because they are written at once. `onSent`: the system has taken them, or the connection has failed. */
export function send (socket: ws.WebSocket, parts: readonly Uint8Array[], onSent?: () => void): void {
  parts.forEach((part, at) => {
    const fin = at === parts.length - 1
    socket.send(part, { binary: true, fin }, fin ? onSent : undefined)
  })
}

export function bytesOf (parts: readonly Uint8Array[]): number {
  return parts.reduce((sum, { length }) => sum + length, 0)
}

/**
 * Clears the masking key of a frame, so that the library does not copy the frame. Masks protect proxies from scripts in
 * browsers, and there are neither between nodes.
 */
export function clearMask (mask: Buffer): void {
  mask.fill(0)
}
