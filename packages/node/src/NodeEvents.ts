import * as disposable from '@elmpost/common/base/Disposable.js'
import * as emitter from '@elmpost/common/base/Emitter.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as nodeServices from '@elmpost/common/node/Services.js'

type Bytes = Parameters<Parameters<nodeServices.INodeView['onBytes']>[0]>[0]

const CALL_KINDS: ReadonlySet<messages.PeerMessage['kind']> = new Set(['call', 'cancel', 'answer', 'chunk', 'chunk-credit'])

/** Events that a node fires for its addons. */
export class NodeEvents extends disposable.Disposable {
  private readonly _callFinished = this._register(new emitter.Emitter<nodeServices.CallFinished>())
  private readonly _bytes = this._register(new emitter.Emitter<Bytes>())
  private readonly _messageRefused = this._register(new emitter.Emitter<nodeServices.MessageRefused>())

  public readonly onCallFinished = this._callFinished.event
  public readonly onBytes = this._bytes.event
  public readonly onMessageRefused = this._messageRefused.event

  public fireCallFinished (call: nodeServices.CallFinished): void {
    this._callFinished.fire(call)
  }

  public fireBytes (direction: Bytes['direction'], kind: messages.PeerMessage['kind'], bytes: number): void {
    this._bytes.fire({ direction, traffic: CALL_KINDS.has(kind) ? 'call' : 'control', bytes })
  }

  public fireMessageRefused (refused: nodeServices.MessageRefused): void {
    this._messageRefused.fire(refused)
  }
}
